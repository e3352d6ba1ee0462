#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace sapphirecove::load {

/** Kind of request and its share of the request mix. */
struct RequestClass
{
    std::string name;
    double share = 0;
    std::string tier; /**< name of the tier; sent as X-Tier */
    bool isChat = true;
    int promptTokens = 0; /**< median of the log-normally distributed prompt lengths */
    int maxPromptTokens = 0; /**< upper bound of prompt lengths, so that every target can accept every prompt */
    int templateBytes = 0; /**< length of the prompt prefix that all requests of this class and customer share */
    int maxTokens = 0;
    std::string method; /**< plain-service requests only */
    std::string path; /**< plain-service requests only, below /services/ */
    bool hasIdempotencyKey = false; /**< an Idempotency-Key is sent */
    int deadlineMs = 0;
};

/** Customer on whose behalf requests are sent. */
struct LoadCustomer
{
    std::string name;
    std::string key; /**< bearer key */
    double share = 1; /**< weight in the choice of the customer of a request */
};

/** Request to send. */
struct LoadRequest
{
    const RequestClass *requestClass = nullptr;
    const LoadCustomer *customer = nullptr;
    std::string method;
    std::string target;
    std::string body;
    std::string idempotencyKey;
    std::string expectedContent; /**< complete text of the stand-in engine; chat requests only */
};

/** Returns the request classes of user @p user ("adinkra" or "daegu"); empty if the name is unknown. */
std::vector<RequestClass> requestClassesFor(const std::string &user);

/** Generates random requests of a mix; the same seed gives the same requests, except for idempotency keys. */
class Workload
{
public:
    Workload(std::vector<RequestClass> classes,
             std::vector<LoadCustomer> customers,
             std::string model,
             double promptScale,
             std::uint64_t seed);

    LoadRequest next();
    const std::vector<RequestClass> &classes() const
    {
        return m_classes;
    }

private:
    void fillChat(LoadRequest &request);
    void fillService(LoadRequest &request);

    std::vector<RequestClass> m_classes;
    std::vector<LoadCustomer> m_customers;
    std::string m_model;
    double m_promptScale;
    std::mt19937_64 m_random;
    std::string m_runId; /**< random; keeps the idempotency keys of different runs distinct */
    int m_requestNumber = 0;
};

} // namespace sapphirecove::load
