#pragma once

#include "state/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirecove::state::entry {

/** Tells whether a request of a route may run again after its first dispatch. */
enum class RequestKind {
    Idempotent, /**< may run more than once */
    NonIdempotent, /**< runs at most once for each attempt of the caller */
    Streaming, /**< answered by an event stream; runs at most once unless the route is resumable */
};

/** Service that takes a share of a route's requests. */
struct WeightedService
{
    std::string service;
    std::uint32_t weight = 1;
};

/** Rule that maps requests to services. */
struct Route
{
    std::string name;
    std::string host; /**< host name that callers address */
    std::string pathPrefix;
    RequestKind kind = RequestKind::NonIdempotent;
    Duration timeout{}; /**< longest time that a request may go without a response */
    Duration latencyTarget{}; /**< time to the response, or to the first event of a stream */
    Duration pauseTarget{}; /**< longest pause between events; 0 if none is declared */
    Duration callerIdleTimeout{}; /**< gap before any event, even the first, after which callers leave; 0 if unknown */
    int priority = 0; /**< 0 is the most urgent */
    std::vector<WeightedService> services;
    std::uint32_t maxTargets = 1; /**< targets to which one attempt of the caller may be sent */
    bool isPublic = false; /**< needs no key */
    bool resumable = false; /**< a broken stream may continue at another target */
    std::vector<std::string> permittedRegions; /**< in which requests may be served and kept; empty for all */

    /** Returns whether a request may be sent again although it may have run. */
    bool repeatable() const
    {
        return kind == RequestKind::Idempotent || (kind == RequestKind::Streaming && resumable);
    }
};

/** Group of targets that serve the same routes. */
struct Service
{
    std::string name;
    std::uint32_t maxConnections = 0; /**< connections that one target accepts from all hosts together */
    bool modelEngine = false;
    Duration coldTime{}; /**< for which a target is cold after its start */
    double coldRequestsPerSecond = 0; /**< that a cold target bears from all hosts; 0 if targets are never cold */
};

/** Customer of the deployment. */
struct Customer
{
    std::string name;
    std::vector<std::string> keys;
    int priority = 0; /**< 0 is the most urgent */
    bool countsTokens = false; /**< the quota is in tokens, otherwise in requests */
    double plainRequestCost = 1; /**< cost of a request that declares no tokens */
    double ratePerSecond = 0; /**< quota over all hosts; 0 for none */
    double burst = 0; /**< cost that may be spent at once */
    std::vector<std::string> permittedRegions; /**< in which requests may be served and kept; empty for all */
};

/** Limits for requests and connections of callers. */
struct CallerLimits
{
    std::uint32_t maxHeaderBytes = 16384;
    std::uint64_t maxBodyBytes = 4194304;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

/** One version of the operator's configuration, with the indexes that requests need. Immutable after create(). */
class RoutingTable
{
public:
    static RoutingTable create(std::uint64_t version,
                               std::vector<Route> routes,
                               std::vector<Service> services,
                               std::vector<Customer> customers,
                               CallerLimits limits);

    std::uint64_t version() const
    {
        return m_version;
    }

    const CallerLimits &limits() const
    {
        return m_limits;
    }

    /** Returns whether the configuration declares customers, so that routes need a key unless they are public. */
    bool requiresKeys() const
    {
        return !m_customers.empty();
    }

    const std::vector<Customer> &customers() const
    {
        return m_customers;
    }

    const std::vector<Service> &services() const
    {
        return m_services;
    }

    const std::vector<Route> &routes() const
    {
        return m_routes;
    }

    /** Returns the route of @p host with the longest prefix of @p path; nullptr if there is none. */
    const Route *findRoute(std::string_view host, std::string_view path) const;

    /** Returns the customer that holds @p key; nullptr if there is none. */
    const Customer *findCustomer(std::string_view key) const;

    /** Returns the service with @p name; nullptr if there is none. */
    const Service *findService(std::string_view name) const;

private:
    std::uint64_t m_version = 0;
    CallerLimits m_limits;
    std::vector<Route> m_routes;
    std::vector<Service> m_services;
    std::vector<Customer> m_customers;
    std::map<std::string, std::vector<std::size_t>, std::less<>> m_routesByHost; /**< longest prefix first */
    std::map<std::string, std::size_t, std::less<>> m_customerByKey;
};

} // namespace sapphirecove::state::entry
