#pragma once

#include "coordination/entry/peertable.h"
#include "coordination/entry/rolloutevidence.h"
#include "state/entry/bounds.h"
#include "state/entry/targetentry.h"
#include "state/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sapphirecove::coordination::entry {

/** Load of a service at the versions that a rollout replaces. */
struct OthersLoad
{
    std::uint32_t running = 0; /**< requests */
    state::Duration usualTime{}; /**< of a request on the service's slowest route */
};

/** Stage of a running order. */
enum class RolloutPhase {
    Trial, /**< the new version gets a few requests */
    Switch, /**< it gets all requests while those at the other versions end */
};

/** What is known of a running order, for the log. */
struct RolloutProgress
{
    std::string service;
    std::string targetVersion;
    RolloutPhase phase = RolloutPhase::Trial;
    double ageSeconds = 0; /**< since the fleet has read the order */
    double allowance = 0; /**< requests that the new version may get until now */
    RouteCounts counts; /**< on all routes */
    std::string_view reason; /**< why the order has ended, or its phase has changed */
    std::string route; /**< on which a fault shows; empty for all together */
};

/**
 * Rolls services out to new software versions, or back.
 *
 * A version may turn bad at any moment, even after the order is done. So it never gets more requests than a bad one may
 * get in the order's time. Until shortly before the deadline it gets just enough of them to show what it is worth. When
 * so little time is left that it could have all requests until the deadline within the bound, it gets them all, and the
 * order is done once no request runs at the other versions any more. An order that does not get there is rolled back.
 *
 * The host that decides for the fleet evaluates the order, from its own counts and the hosts' reports, and publishes
 * the outcome. The new version gets nothing from a host that cannot know what the fleet has sent to it: that knowledge
 * begins with the process that announces the order in the store, and passes on in reports.
 */
class RolloutController
{
public:
    /** Returns the load of a service at other versions than the one given. */
    using OthersLoadOf = std::function<OthersLoad(std::string_view service, std::string_view version)>;

    /** @p self is the processHash() of this process. */
    explicit RolloutController(const state::entry::Bounds &bounds, std::uint32_t self = 0);

    /**
     * Starts a rollout; the same order again changes nothing. If @p mayBeOld, as the store came back from an older
     * copy, neither does an order that a later one has replaced.
     */
    void ordered(const state::entry::RolloutOrder &order, state::Time now, bool mayBeOld = false);

    /** Applies a published state. An outcome is final; a running order was announced by this or another process. */
    void published(const state::entry::RolloutStatus &status, state::Time now);

    /**
     * Records that this process has announced the running order, which the store did not have before; @p stored is
     * false if it is not known whether the store has it now.
     */
    void announced(const state::entry::RolloutStatus &status, bool stored = true);

    /** Records that the store may have lost the announcements. */
    void storeAgain();

    /** Returns whether the store is known to have the announcement of the running order. */
    bool isAnnounced(std::string_view service) const;

    /**
     * Returns whether a request of @p service may go to @p version now; @p deciders is how many hosts currently decide,
     * each for itself.
     */
    bool mayUse(std::string_view service, std::string_view version, std::size_t deciders) const;

    /** Returns whether requests of @p service should go to @p version if they may, as it is on trial. */
    bool prefers(std::string_view service, std::string_view version) const;

    /** Counts a request that was sent to @p version. */
    void dispatched(std::string_view service, std::string_view version, std::string_view route);

    /** Counts a response; @p latencyRatio is its time divided by the route's usual time. */
    void answered(
        std::string_view service, std::string_view version, std::string_view route, bool good, double latencyRatio);

    /** Counts a request that ended without a response after @p latencyRatio times the route's usual time. */
    void abandoned(std::string_view service, std::string_view version, std::string_view route, double latencyRatio);

    /** Takes over the counts of @p peers, also of those that have stopped reporting. */
    void learn(const std::map<std::string, Peer, std::less<>> &peers, state::Time now);

    /** Evaluates the running orders, if this host decides for the fleet; returns those that have ended. */
    std::vector<state::entry::RolloutStatus> evaluate(const OthersLoadOf &othersLoad, state::Time now);

    /** Returns the orders whose phase has changed, or that have ended, since the last call. */
    std::vector<RolloutProgress> takeProgress()
    {
        return std::exchange(m_progress, {});
    }

    /** Returns the states of all known orders. */
    std::vector<state::entry::RolloutStatus> states() const;

    /** Returns whether an order runs whose time is over: its outcome is published, or will be. */
    bool anyOverdue(state::Time now) const;

    /** Adds what is known of the running orders to the report to the peers. */
    void fillReport(PeerReport &report, state::Time now) const;

private:
    struct Rollout
    {
        state::entry::RolloutOrder order;
        state::entry::RolloutState state = state::entry::RolloutState::Running;
        RolloutPhase phase = RolloutPhase::Trial;
        state::Time began{};
        std::set<std::string> superseded; /**< target versions of earlier orders */
        bool isAnnounced = false; /**< in the store */
        bool isInformed = false; /**< this process knows what the fleet has sent to the new version */
        std::optional<state::Time> uninformedSince; /**< when it learned that another process announced the order */
        double elapsed = 0; /**< share of the order's time at the last evaluation */
        std::optional<state::Time> othersIdleSince;
        RolloutEvidence evidence;
    };

    void judge(Rollout &rollout, const OthersLoad &others, state::Time now);
    bool isSwitchDue(const Rollout &rollout, const OthersLoad &others, state::Time now) const;
    static bool isUninformed(const Rollout &rollout, state::Time now);
    static std::string_view rollbackReason(const Rollout &rollout);
    static bool isProven(const Rollout &rollout);
    bool fitsUntilDeadline(const Rollout &rollout, double rateMargin, double used, state::Time now) const;
    double allowance(const Rollout &rollout, const RouteCounts &counts) const;
    void recordProgress(const Rollout &rollout, std::string_view reason, state::Time now);
    VersionCounts *countsOf(std::string_view service, std::string_view version, std::string_view route);
    Rollout *running(std::string_view service);

    state::entry::Bounds m_bounds;
    std::uint32_t m_self;
    std::map<std::string, Rollout, std::less<>> m_rollouts;
    std::vector<RolloutProgress> m_progress; /**< not taken yet */
};

} // namespace sapphirecove::coordination::entry
