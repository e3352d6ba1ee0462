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
 * Orders to the targets of one pool to load a version, and what the targets report.
 *
 * An order is sent again until the target accepts it or refuses its fencing number. After acceptance the target has
 * LoadTime to report the version; a report that then shows another version makes the order due again, which corrects
 * targets that ignore fencing numbers and have obeyed an outdated holder. A refused fencing number ends all orders with
 * that number: another host holds the lease.
 */
class TargetOrders
{
public:
    /** An order without an answer is sent again after this time. */
    static constexpr state::Duration RepeatInterval = std::chrono::seconds(2);
    /** An accepted order whose version is neither loading nor reported is sent again after this time. */
    static constexpr state::Duration LoadTime = std::chrono::seconds(10);
    /** A target that does not report an ordered version after this time does not hold up the others. */
    static constexpr state::Duration StuckTime = std::chrono::minutes(2);
    /** A target without a load report for this time is not counted as present. */
    static constexpr state::Duration ReportTime = std::chrono::seconds(10);
    /** Load time assumed until one was measured. */
    static constexpr state::Duration AssumedLoadTime = std::chrono::seconds(20);

    /** Records a load report. An older one than the last is ignored. */
    void reported(const LoadReported &report, state::Time now);

    /** Records the answer to an order of this host. */
    void answered(const OrderAnswered &answer, state::Time now);

    /** Forgets all targets that are not in @p targets. */
    void retain(const std::set<state::TargetId> &targets);

    /** Returns whether the target's last report names @p version. */
    bool runs(const state::TargetId &target, const state::VersionName &version) const;

    /** Returns whether the target sent a load report within ReportTime. */
    bool isPresent(const state::TargetId &target, state::Time now) const;

    /** Returns whether the target has been ordered to load @p version and has not reported it yet. */
    bool isLoading(const state::TargetId &target, const state::VersionName &version) const;

    /** Returns whether the target has been ordered to load @p version for longer than StuckTime without reporting it.
     */
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
        std::optional<state::Time> reportedAt; /**< own clock */
        state::Time measuredAt{}; /**< engine's clock */
        state::VersionName version;
        bool loading = false;
        state::VersionName ordered;
        state::Offset fencing = 0;
        std::uint64_t order = 0;
        std::optional<state::Time> firstSent; /**< until the load time was measured */
        state::Time lastSent{};
        std::optional<state::Time> accepted;
    };

    static bool isDue(const Entry &entry, state::Time now);

    std::map<state::TargetId, Entry> m_entries;
    std::optional<state::Offset> m_refusedFencing;
    std::optional<state::Duration> m_loadTime;
};

} // namespace sapphirecove::coordination
