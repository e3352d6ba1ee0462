#pragma once

#include "coordination/entry/scheduledrequest.h"
#include "coordination/entry/targetload.h"
#include "state/time.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace sapphirecove::coordination::entry {

/** Request that waits for a target. */
struct WaitingRequest
{
    std::uint64_t id = 0;
    std::string service;
    std::string route;
    std::string failureDomain; /**< of the host that runs the request */
    std::string host; /**< that runs the request; empty for this host */
    int priority = 0; /**< 0 is the most urgent */
    Work work;
    std::optional<double> expectedOutputTokens; /**< the caller's estimate */
    double pauseLimitMs = 0; /**< longest pause between events that keeps streams on time; 0 for no limit */
    double usualSlotMs = 0; /**< time that requests of the route usually hold a slot */
    state::Time arrived{};
    state::Time latestOnTimeDispatch{}; /**< latest dispatch that still meets the latency target */
    state::Time expiresAt{}; /**< a dispatch after this is of no use to the caller */
    std::vector<std::string> excludedTargets; /**< already tried */
    std::vector<std::uint64_t> parts; /**< see ScheduledRequest::parts */
    std::vector<BackOff> backOffs; /**< that made the host refuse placements of this request */
    PermittedRegions permittedRegions; /**< see ScheduledRequest::permittedRegions */
    std::string customer; /**< whose quota was charged; empty for none */
    double cost = 0; /**< that was charged */
    state::Time charged{};
};

/**
 * Requests of all services that wait at this host.
 *
 * Designed for overload, when more requests arrive than the targets can start. The order is weighted shortest
 * processing time first (W. E. Smith, 1956): the value of a request divided by the slot time of its route. The value
 * falls by a factor with each priority level and once the latency target can no longer be met. The slot time is the
 * mean of the route, so that long requests of a route are not put behind its short ones. Within a rank the request
 * closest to its latency target goes first.
 */
class WaitingQueue
{
public:
    void add(WaitingRequest request);

    /** Removes the request with @p id; returns whether it was waiting. */
    bool remove(std::uint64_t id);

    /** Returns and removes the request with @p id; nothing if it does not wait. */
    std::optional<WaitingRequest> take(std::uint64_t id);

    /** Returns and removes all requests whose expiresAt has passed. */
    std::vector<WaitingRequest> takeExpired(state::Time now);

    /** Returns and removes all requests for which @p predicate returns true. */
    std::vector<WaitingRequest> takeIf(const std::function<bool(const WaitingRequest &)> &predicate);

    /**
     * Returns the next requests of @p service, one for each route, priority, set of allowed regions and lateness,
     * highest rank first.
     */
    std::vector<const WaitingRequest *> candidates(std::string_view service, state::Time now) const;

    /** Returns how many waiting requests of the same service go before @p request. */
    std::size_t ahead(const WaitingRequest &request, state::Time now) const;

    /** Returns the rank of @p request, which is its value divided by its slot time; a higher rank goes first. */
    static double rankOf(const WaitingRequest &request, state::Time now);

    /** Returns how many parts of prompts the waiting requests have together. */
    std::size_t parts() const;

    /** Returns the names of services with waiting requests. */
    std::vector<std::string_view> services() const;

    std::size_t size() const
    {
        return m_queueOf.size();
    }

private:
    using Queue = std::deque<WaitingRequest>;
    /** Route, priority and allowed regions: a request whose regions are full must not hold up those of others. */
    using QueueKey = std::tuple<std::string, int, PermittedRegions>;
    using Queues = std::map<QueueKey, Queue>;

    std::map<std::string, Queues, std::less<>> m_services;
    std::unordered_map<std::uint64_t, Queue *> m_queueOf; /**< by id; nodes of m_services keep their address */
};

} // namespace sapphirecove::coordination::entry
