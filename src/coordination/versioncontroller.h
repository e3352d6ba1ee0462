#pragma once

#include "coordination/action.h"
#include "coordination/event.h"
#include "coordination/message.h"
#include "coordination/statusreport.h"
#include "coordination/targetbaselines.h"
#include "coordination/targetorders.h"
#include "coordination/versionevidence.h"
#include "state/configuration.h"
#include "state/logrecord.h"
#include "state/time.h"

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirecove::coordination {

/** How an arbiter divides a pool's traffic between versions. */
struct VersionShares
{
    state::VersionName from; /**< version in force before the change, or the only one */
    state::VersionName to; /**< empty if no change is active */
    int sharePerMille = 0; /**< share of the traffic for @c to; 0 if it must get none */
    bool fromAllowed = true; /**< false after a halt of @c from */
    bool toAllowed = false; /**< false before the first share and after a halt */
};

/** Orders and log records that the lease holder must send now. */
struct VersionDecisions
{
    std::vector<SendOrder> orders;
    std::vector<state::VersionStep> steps; /**< for the versions stream */
};

/**
 * Moves pools to new versions, in steps, as the configuration declares.
 *
 * Every host reads the steps back from the log and divides traffic accordingly, observes the requests that it knows of,
 * and halts a version at once if they show that it is bad. Halts are never revoked and are sent in heartbeats, so they
 * do not need the log. The host that holds the lease leaseName(pool) also orders targets to load versions and appends
 * the steps.
 *
 * The changes of a pool run one after the other in the order of their declaration. The state of a change only
 * advances: loading, shifting, done, rolled back; while shifting, the share only rises. The rolled-back state follows
 * done, so that a halt that was noticed just before done was recorded still takes the version out of service. A step
 * whose fencing number is below the highest one read for the pool is ignored.
 *
 * The share rises only when the verdict on the current step is Good and enough targets have loaded the new version. The
 * last step, 1000, begins before all targets have loaded it; until the change is done, arbiters may use the remaining
 * targets for requests that the others cannot take. The change is rolled back when the version is halted, when the
 * version in force before it is not the declared one, or at the last moment at which the old version can still be
 * restored by the deadline. Halts outlast the change: a later change to the same version is rolled back at once.
 *
 * Only targets that send load reports get orders and are counted. A pool of one target cannot divide its traffic: it
 * serves the version that it has loaded.
 */
class VersionController
{
public:
    /** Share of the new version in each step. */
    static constexpr std::array SharesPerMille{ 10, 50, 100, 250, 500, 750, 1000 };
    /** Largest first share; used where the smallest one would give too few observations in time. */
    static constexpr int MaxFirstShare = 50;
    /** Fraction of the time left that the first step may use for its observations. */
    static constexpr double FirstStepFraction = 0.2;
    /** Fraction of the pool's targets that load the new version at the same time; at least one target does. */
    static constexpr double LoadingFraction = 0.1;
    /** A step that was not read back is appended again after this time. */
    static constexpr state::Duration ResendInterval = std::chrono::seconds(1);
    /** The last step of a change is appended again after this time, before its record expires in the log. */
    static constexpr state::Duration RefreshInterval = std::chrono::hours(6);
    /** Time reserved before the deadline for a change of the lease holder and the append of the last step. */
    static constexpr state::Duration DeadlineReserve = std::chrono::seconds(15);
    /** Limit on changes whose last step is kept. */
    static constexpr std::size_t MaxSteps = 4096;

    static VersionController create(const state::HostId &host, state::Incarnation incarnation);

    /** Returns the name of the lease under which a pool's versions are changed: "versions/<pool>". */
    static std::string leaseName(const state::PoolId &pool);

    /** Replaces the configuration. Observations of changes that it still declares are kept. */
    void configure(std::shared_ptr<const state::Configuration> configuration);

    /** Sets the targets that the host list names as live; others get no orders. Until the first call all are live. */
    void updateLiveTargets(std::set<state::TargetId> targets);

    /** Applies the next record of the versions stream; returns an entry if it altered a change's state or share. */
    std::optional<AuditEntry> apply(const state::StoredRecord &stored, state::Time now);

    /** Ends the handling of a read; @p next is the offset after it and @p atEnd is true if no newer record existed. */
    void readTo(state::Offset next, bool atEnd);

    /** Returns the offset from which the stream is to be read next. */
    state::Offset readPosition() const;

    /** Handles a target's load report; needed only on the host that gives orders. */
    void loadReported(const LoadReported &report, state::Time now);

    /** Handles a target's response to an order. */
    void orderAnswered(const OrderAnswered &answer, state::Time now);

    /**
     * Handles the outcome of a request that this host knows as its entry host or as its arbiter; call it once for each
     * request. @p route is the prefix of the matching route, or empty if it is not known. Returns an entry if the
     * outcome made this host halt the version.
     */
    std::optional<AuditEntry> observe(const SlotRelease &release, std::string_view route, state::Time now);

    /**
     * Halts a version permanently: a host that learns of the halt sends it no new traffic, and the change to it is
     * rolled back. Returns false if it was halted before or if the configuration does not name it.
     */
    bool halt(const state::PoolId &pool, const state::VersionName &version, std::string_view reason);

    /** Applies a halt from a peer's heartbeat. Returns the same as halt(). */
    bool applyHalt(const VersionHalt &halt);

    /** Returns all halts for the next heartbeat. */
    std::vector<VersionHalt> halts() const;

    bool isHalted(const state::PoolId &pool, const state::VersionName &version) const;

    /** Returns how to divide the pool's traffic now. */
    VersionShares shares(const state::PoolId &pool) const;

    /**
     * Returns the pools for which some host must hold the lease and watch the targets: those with a declared change,
     * and those whose targets may have to return to the version in force because a declared change was withdrawn.
     */
    std::vector<state::PoolId> poolsNeedingLease() const;

    /**
     * Returns decisions for the pools whose lease this host may act on; @p fencing maps them to the fencing number.
     * Does nothing before the versions stream has been read to its end, with a fencing number below the highest one
     * read, or after a target has refused the number. Call it at each tick.
     */
    VersionDecisions decide(const std::map<state::PoolId, state::Offset> &fencing, state::Time now);

    /** Returns one row for each declared change. */
    std::vector<VersionChangeStatus> status() const;

private:
    /** Last valid step of a change. */
    struct StepRecord
    {
        state::VersionStep step;
        state::Time loggedAt{}; /**< log time of its last record */
        state::Time readAt{}; /**< when its first record was read, on this host's clock */
        state::Offset offset = 0;
    };
    /** Observations of a declared change, and the step that this host has appended for it. */
    struct Change
    {
        state::VersionChange declared;
        VersionEvidence evidence;
        std::optional<state::VersionStep> proposed;
        state::Time proposedAt{};
    };
    /** Name of a change with its version; an id that is used again for another version is another change. */
    using ChangeKey = std::pair<std::string, state::VersionName>;

    VersionController(const state::HostId &host, state::Incarnation incarnation);

    const StepRecord *stepOf(const Change &change) const;
    state::ChangeState stateOf(const Change &change) const;
    bool hasEnded(const Change &change) const;
    std::size_t activeIndex(const state::PoolId &pool) const;
    Change *activeChange(const state::PoolId &pool);
    const Change *activeChange(const state::PoolId &pool) const;
    state::VersionName versionInForce(const state::PoolId &pool, const Change *before) const;
    bool isConfigured(const state::PoolId &pool, const state::VersionName &version) const;
    std::vector<const state::Target *> presentTargets(const state::PoolId &pool, state::Time now) const;
    void storeStep(const state::StoredRecord &stored, state::Time now);

    std::optional<state::VersionStep> decideChange(const Change &change, state::Time now) const;
    std::optional<state::VersionStep> decideShare(const Change &change, state::Time now) const;
    std::optional<std::string> rollbackReason(const Change &change, state::Time now) const;
    state::Duration restoreTime(const Change &change, state::Time now) const;
    int firstShare(const Change &change, state::Time now) const;
    int shareToLoadFor(const Change &change, state::Time now) const;
    int requiredTargets(const state::PoolId &pool, int sharePerMille, state::Time now) const;
    /** Returns whether all present targets run the version, except for stuck ones, at most a third of them. */
    bool isLoadedEverywhere(const Change &change, state::Time now) const;
    int targetsRunning(const Change &change, state::Time now) const;
    void propose(
        Change &change, state::VersionStep step, state::Offset fencing, state::Time now, VersionDecisions &decisions);
    void orderTargets(const state::PoolId &pool, state::Offset fencing, state::Time now, VersionDecisions &decisions);
    void orderLoading(const Change &change, state::Offset fencing, state::Time now, VersionDecisions &decisions);
    void sendOrder(const state::Target &target,
                   const state::VersionName &version,
                   state::Offset fencing,
                   state::Time now,
                   VersionDecisions &decisions);

    state::HostId m_host;
    std::uint64_t m_nextOrder = 0;
    std::shared_ptr<const state::Configuration> m_configuration;
    std::optional<std::set<state::TargetId>> m_liveTargets;
    std::vector<Change> m_changes; /**< in the order of their declaration */
    std::map<ChangeKey, StepRecord> m_steps;
    std::map<state::PoolId, TargetOrders> m_orders;
    TargetBaselines m_baselines;
    std::map<state::PoolId, state::Offset> m_highestFencing;
    std::map<std::pair<state::PoolId, state::VersionName>, VersionHalt> m_halts;
    state::Offset m_position = 0;
    bool m_caughtUp = false;
};

} // namespace sapphirecove::coordination
