#pragma once

#include "transport/entry/responses.h"
#include "transport/entry/servingcontext.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sapphirecove::transport::entry {

/** Request with the route, customer and service that the configuration assigns to it. */
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
    coordination::entry::PermittedRegions permittedRegions;
    std::vector<std::uint64_t> suspects; /**< the request itself, then the parts of its prompt; see CrashSuspects */
    state::Time deadline{}; /**< earlier end of the route's timeout and the caller's deadline */
};

/** Checks one request against the configuration in force, the state of the host and the customer's quota. */
class RequestAdmission
{
public:
    /** check() stores its results in @p admitted. @p request and @p admitted must outlive this object. */
    RequestAdmission(ServingContext &context, const Request &request, state::Time arrived, AdmittedRequest &admitted);

    /** Returns the error response for a refused request; nothing if the request may be served. */
    std::optional<Response> check();

    /** Applies the regions of the configuration in force; returns whether they have changed since the last call. */
    bool updateRegions();

private:
    std::optional<Response> checkConfiguration() const;
    std::optional<Response> checkStopping() const;
    std::optional<Response> checkCustomer();
    void chooseService();
    void identify();

    ServingContext &m_context;
    const Request &m_request;
    state::Time m_arrived;
    AdmittedRequest &m_admitted;
    std::shared_ptr<const state::entry::RoutingTable> m_regionsTable; /**< that updateRegions() used last */
};

} // namespace sapphirecove::transport::entry
