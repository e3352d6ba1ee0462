#pragma once

#include "coordination/slidingwindowcounter.h"
#include "state/entry/bounds.h"
#include "state/time.h"

#include <map>
#include <string>
#include <string_view>

namespace sapphirecove::coordination::entry {

/**
 * Limits the retries of requests (second and later sends) for each service over all hosts: in a sliding window, to a
 * share of the requests and a fixed slack. The share is counted at each host; the slack is divided among the hosts of
 * the fleet.
 *
 * If many targets fail at once, unlimited retries would add to the load of those that are left.
 */
class FleetRetryBudget
{
public:
    explicit FleetRetryBudget(const state::entry::Bounds &bounds);

    /** Counts the first send of a request. */
    void recordRequest(std::string_view service, state::Time now);

    /** Returns whether take() would succeed. */
    bool available(std::string_view service, std::size_t hosts, state::Time now);

    /** Takes one retry from the budget; @p hosts share the slack. Returns false if the budget is used up. */
    bool take(std::string_view service, std::size_t hosts, state::Time now);

private:
    struct Window
    {
        SlidingWindowCounter requests;
        SlidingWindowCounter retries;
    };

    Window &windowOf(std::string_view service);

    double m_ratio;
    double m_slack;
    state::Duration m_span;
    std::map<std::string, Window, std::less<>> m_windows;
};

} // namespace sapphirecove::coordination::entry
