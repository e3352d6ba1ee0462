#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace sapphirecove::load {

/** Kind of request with its share of the mix. */
struct RequestClass
{
    std::string name;
    double share = 0;
    std::string tier; /**< name of the tier; sent as X-Tier */
    bool isChat = true;
    int promptTokens = 0; /**< median; lengths are spread log-normally around it */
    int maxPromptTokens = 0; /**< longer draws are cut, as every target must be able to take a prompt */
    int templateBytes = 0; /**< start of the prompt that all requests of this class and customer share */
    int maxTokens = 0;
    std::string method; /**< plain-service calls only */
    std::string path; /**< plain-service calls only, below /services/ */
    bool hasIdempotencyKey = false; /**< sends an Idempotency-Key */
    int deadlineMs = 0;
};

/** Customer that requests are sent for. */
struct LoadCustomer
{
    std::string name;
    std::string key; /**< bearer key */
    double share = 1; /**< of the requests, relative to other customers */
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
    std::string expectedContent; /**< complete answer of the stand-in engine; chat calls only */
};

/** Returns the request classes of user @p user ("adinkra" or "daegu"); empty if the name is unknown. */
std::vector<RequestClass> requestClassesFor(const std::string &user);

/** Draws requests of a mix; the same seed gives the same requests. */
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
    std::string m_runId; /**< distinguishes the keys of this run from those of runs before */
    int m_requestNumber = 0;
};

} // namespace sapphirecove::load
