#pragma once

#include "transport/entry/responses.h"
#include "transport/entry/servingcontext.h"

#include <memory>
#include <optional>
#include <string>

namespace sapphirecove::transport::entry {

/** What the configuration says of a request. */
struct AdmittedRequest
{
    RequestFields fields;
    std::shared_ptr<const state::entry::RoutingTable> table; /**< keeps the route alive */
    const state::entry::Route *route = nullptr;
    std::string customer; /**< empty for a public route */
    int customerPriority = 0; /**< 0 is the most urgent */
    std::string service;
    bool model = false; /**< the service consists of model engines */
    double cost = 0; /**< in the unit of the customer's quota */
    state::Time deadline{}; /**< end of the route's timeout or of the caller's time */
};

/** Checks one request against the configuration in force, the state of the host and the customer's quota. */
class RequestAdmission
{
public:
    /** What check() finds goes to @p call, which must outlive this object, as must @p request. */
    RequestAdmission(ServingContext &context, const Request &request, state::Time arrived, AdmittedRequest &admitted);

    /** Returns the refusal, or nothing if the request may be served. */
    std::optional<Response> check();

private:
    std::optional<Response> checkConfiguration() const;
    std::optional<Response> checkStopping() const;
    std::optional<Response> checkCustomer();
    void chooseService();

    ServingContext &m_context;
    const Request &m_request;
    state::Time m_arrived;
    AdmittedRequest &m_admitted;
};

} // namespace sapphirecove::transport::entry
