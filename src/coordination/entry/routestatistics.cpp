#include "coordination/entry/routestatistics.h"

#include <algorithm>

namespace sapphirecove::coordination::entry {

namespace {

/** Weight of one sample. A route has many targets, so its averages change slowly. */
constexpr double SampleWeight = 0.05;

/**
 * Time over which the rate of dispatches is computed: long enough for some of each route, short compared to a burst.
 */
constexpr state::Duration RecentSpan = std::chrono::milliseconds(1500);

/**
 * Initial values in milliseconds until the first samples: for a short stream of a loaded engine, and a short plain
 * response.
 */
constexpr double PriorModelFirstMs = 150;
constexpr double PriorModelSlotMs = 1000;
constexpr double PriorPlainMs = 20;

/** Initial number of events of a stream. */
constexpr double PriorEvents = 40;

/** Initial number of events for each expected token: engines put a few tokens into an event. */
constexpr double PriorEventsPerToken = 0.2;

} // namespace

RouteAverages::RouteAverages(double first, double slot, double outputEvents)
    : firstMs(first, SampleWeight)
    , slotMs(slot, SampleWeight)
    , events(outputEvents, SampleWeight)
    , eventsPerExpectedToken(PriorEventsPerToken, SampleWeight)
    , dispatched(RecentSpan)
{
}

double RouteAverages::dispatchRate(state::Time now)
{
    return dispatched.sum(now) / state::toSeconds(RecentSpan);
}

double RouteStatistics::dispatchRateUpTo(std::string_view service, double rank, state::Time now)
{
    double rate = 0;
    for (auto &[name, averages] : m_routes) {
        if (averages.service == service && averages.rank <= rank) {
            rate += averages.dispatchRate(now);
        }
    }
    return rate;
}

double RouteStatistics::slotMsAbove(std::string_view service, double rank, state::Time now)
{
    double slotMs = 0;
    for (auto &[name, averages] : m_routes) {
        if (averages.service == service && averages.rank > rank) {
            slotMs += averages.dispatchRate(now) * averages.slotMs.value();
        }
    }
    return slotMs;
}

double RouteStatistics::longestSlotMs(std::string_view service) const
{
    double longest = 0;
    for (const auto &[name, averages] : m_routes) {
        longest = averages.service == service ? std::max(longest, averages.slotMs.value()) : longest;
    }
    return longest;
}

RouteAverages &RouteStatistics::of(std::string_view route, bool model)
{
    const auto found = m_routes.find(route);
    if (found != m_routes.end()) {
        return found->second;
    }
    const RouteAverages prior = model ? RouteAverages(PriorModelFirstMs, PriorModelSlotMs, PriorEvents)
                                      : RouteAverages(PriorPlainMs, PriorPlainMs, 0);
    return m_routes.emplace(std::string(route), prior).first->second;
}

} // namespace sapphirecove::coordination::entry
