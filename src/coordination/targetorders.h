#pragma once

#include "coordination/action.h"
#include "coordination/event.h"
#include "state/configuration.h"
#include "state/time.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sapphirecove::coordination {

/**
 * Orders to the targets of one pool to load a version, and the reports of the targets.
 *
 * An order is sent again until the target accepts it or refuses its fencing number. After acceptance the target has
 * AcceptedResendInterval to report the version; a report that then shows another version makes the order due again.
 * This corrects targets that ignore fencing numbers and have followed a former lease holder. A refused fencing number
 * ends all orders with that number, because another host holds the lease.
 */
class TargetOrders
{
public:
    /** An order without a response is sent again after this time. */
    static constexpr state::Duration ResendInterval = std::chrono::seconds(2);
    /** An accepted order whose version is neither loading nor reported is sent again after this time. */
    static constexpr state::Duration AcceptedResendInterval = std::chrono::seconds(10);
    /** A target that has not reported an ordered version after this time no longer delays the other targets. */
    static constexpr state::Duration LoadTimeout = std::chrono::minutes(2);
    /** A target without a load report for this long is not present. */
    static constexpr state::Duration PresenceTimeout = std::chrono::seconds(10);
    /** Load time assumed before the first measurement. */
    static constexpr state::Duration AssumedLoadTime = std::chrono::seconds(20);

    /** Records a load report; a report older than the last one is ignored. */
    void reported(const LoadReported &report, state::Time now);

    /** Records the response to an order of this host. */
    void answered(const OrderAnswered &answer, state::Time now);

    /** Removes all targets that are not in @p targets. */
    void retain(const std::set<state::TargetId> &targets);

    /** Returns whether the target's last report names @p version. */
    bool runs(const state::TargetId &target, const state::VersionName &version) const;

    /** Returns whether the target sent a load report within PresenceTimeout. */
    bool isPresent(const state::TargetId &target, state::Time now) const;

    /** Returns whether the target has been ordered to load @p version and has not reported it yet. */
    bool isLoading(const state::TargetId &target, const state::VersionName &version) const;

    /** Returns whether the target was ordered to load @p version at least LoadTimeout ago and has not reported it. */
    bool isStuck(const state::TargetId &target, const state::VersionName &version, state::Time now) const;

    /** Returns the order to send now, or nothing if none is due. @p id must be new. */
    std::optional<SendOrder> order(const state::Target &target,
                                   const state::VersionName &version,
                                   state::Offset fencing,
                                   std::uint64_t id,
                                   state::Time now);

    /** Returns whether a target has refused @p fencing or a higher number. */
    bool isFenced(state::Offset fencing) const;

    /** Returns the longest measured time from an accepted order to the report of its version. */
    state::Duration loadTime() const;

private:
    struct Entry
    {
        std::optional<state::Time> reportedAt; /**< by the own clock */
        state::Time measuredAt{}; /**< by the clock of the engine */
        state::VersionName version;
        bool loading = false;
        state::VersionName ordered;
        state::Offset fencing = 0;
        std::uint64_t order = 0;
        std::optional<state::Time> firstSent; /**< reset once the load time has been measured */
        state::Time lastSent{};
        std::optional<state::Time> accepted;
    };

    static bool isDue(const Entry &entry, state::Time now);

    std::map<state::TargetId, Entry> m_entries;
    std::optional<state::Offset> m_refusedFencing;
    std::optional<state::Duration> m_loadTime;
};

} // namespace sapphirecove::coordination
