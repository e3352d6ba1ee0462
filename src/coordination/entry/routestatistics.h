#pragma once

#include "coordination/entry/average.h"
#include "coordination/entry/slidingwindow.h"

#include <map>
#include <string>
#include <string_view>

namespace sapphirecove::coordination::entry {

/** Usual times and event counts of the requests of one route. */
struct RouteAverages
{
    RouteAverages(double firstMs, double slotMs, double outputEvents);

    /** Returns the dispatches per second at @p now. */
    double dispatchRate(state::Time now);

    Average firstMs; /**< from dispatch to the first event or the plain response */
    Average slotMs; /**< from dispatch to the end */
    Average events; /**< events of a stream */
    Average eventsPerExpectedToken; /**< events for each output token that the caller expected */
    SlidingWindow dispatched; /**< requests that this host recently sent to targets */
    std::string service; /**< service that the last request of the route went to */
    double rank = 0; /**< rank of the last request of the route when it arrived; see WaitingQueue::rankOf() */
};

/** Averages of all routes. Ranks are those of WaitingQueue::rankOf(): a higher rank goes first. */
class RouteStatistics
{
public:
    /** Returns the dispatches per second of all routes of @p service whose requests have at most @p rank. */
    double dispatchRateUpTo(std::string_view service, double rank, state::Time now);

    /** Returns the slot time in milliseconds per second that requests of @p service with more than @p rank take. */
    double slotMsAbove(std::string_view service, double rank, state::Time now);

    /** Returns the usual slot time in milliseconds on the slowest route of @p service; zero if it has none. */
    double longestSlotMs(std::string_view service) const;

    /** Returns the averages of @p route, initialized with priors if it is new. */
    RouteAverages &of(std::string_view route, bool model);

private:
    std::map<std::string, RouteAverages, std::less<>> m_routes;
};

} // namespace sapphirecove::coordination::entry
