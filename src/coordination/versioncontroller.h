#pragma once

#include "coordination/action.h"
#include "coordination/event.h"
#include "coordination/message.h"
#include "coordination/statusreport.h"
#include "coordination/targetorders.h"
#include "coordination/versionevidence.h"
#include "state/configuration.h"
#include "state/logrecord.h"
#include "state/time.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirecove::coordination {

/** How an arbiter divides a pool's traffic between versions. */
struct VersionShares
{
    state::VersionName from; /**< version in force before the change, or the only one */
    state::VersionName to; /**< empty if no change is active */
    int sharePerMille = 0; /**< of the traffic that goes to @c to; 0 if it must get none */
    bool fromAllowed = true; /**< false once the change is done */
    bool toAllowed = false; /**< false before the first share, after a halt and after the change was undone */
};

/** What the holder of leases must do now. */
struct VersionDecisions
{
    std::vector<SendOrder> orders;
    std::vector<state::VersionStep> steps; /**< for the versions stream */
    std::vector<AuditEntry> audit;
};

/**
 * Moves pools to new versions as the configuration declares.
 *
 * Every host reads the steps back from the log and divides traffic by them, observes the requests that it knows of, and
 * halts a version at once if they show that it is bad. Halts only accumulate and travel in heartbeats, so they need no
 * log. The host that holds the lease leaseName(pool) also orders targets to load versions and appends the steps.
 *
 * The state of a change only rises: Loading, Shifting, Done, Undone. Undone comes last, so that a halt that was noticed
 * just before Done was recorded still ends the version. A step whose fencing number is below the highest one read for
 * the pool is ignored.
 *
 * The share rises only when the observations of the present step say Good, and only as far as targets have loaded the
 * new version. The change is undone when the version is halted, or when so little time is left that the old version
 * could not be restored by the deadline otherwise.
 */
class VersionController
{
public:
    /** Shares of the new version in steps. */
    static constexpr std::array SharesPerMille{ 10, 50, 100, 250, 500, 750, 1000 };
    /** Largest first share; used where the smallest one would give too few observations in time. */
    static constexpr int MaxFirstShare = 50;
    /** Part of the time left that the first step may use for its observations. */
    static constexpr double FirstStepPart = 0.2;
    /** Targets that load at once: this part of the pool, at least one. */
    static constexpr double LoadingPart = 0.1;
    /** A step that was not read back is appended again after this time. */
    static constexpr state::Duration RepeatInterval = std::chrono::seconds(1);
    /** The last step of a declared change is appended again after this time, before the log forgets it. */
    static constexpr state::Duration RefreshInterval = std::chrono::hours(6);
    /** Time kept before the deadline for the records of the end of a change. */
    static constexpr state::Duration EndReserve = std::chrono::seconds(5);
    /** Most halts kept; there are two versions for each declared change at most. */
    static constexpr std::size_t MaxHalts = 1024;

    static VersionController create(const state::HostId &host, state::Incarnation incarnation);

    /** Returns the name of the lease under which a pool's versions are changed: "versions/<pool>". */
    static std::string leaseName(const state::PoolId &pool);

    /** Uses @p configuration from now on. Changes that it no longer declares are forgotten. */
    void configure(std::shared_ptr<const state::Configuration> configuration, state::Time now);

    /** Takes the next record of the versions stream; returns an entry if it changed the state of a declared change. */
    std::optional<AuditEntry> apply(const state::StoredRecord &stored, state::Time now);

    /** Ends the handling of a read; @p next is the offset after it and @p atEnd is true if no newer record existed. */
    void readTo(state::Offset next, bool atEnd);

    /** Returns the offset from which the stream is to be read next. */
    state::Offset readPosition() const;

    /** Takes a target's load report; relevant on the host that gives orders. */
    void reported(const LoadReported &report, state::Time now);

    /** Takes a target's answer to an order. */
    void answered(const OrderAnswered &answer, state::Time now);

    /**
     * Takes the outcome of a request, known to this host as its entry host or as its arbiter. @p route is the prefix of
     * the matching route, or empty if it is not known. Returns an entry if the outcome made this host halt the version.
     */
    std::optional<AuditEntry> observe(const SlotRelease &release, std::string_view route, state::Time now);

    /**
     * Halts a version for good: no host sends new traffic to it from the moment it learns of the halt, and the change
     * to it is undone. Returns false if it was halted before or if the configuration does not name it.
     */
    bool halt(const state::PoolId &pool, const state::VersionName &version, std::string_view reason);

    /** Takes a halt from a peer's heartbeat. Returns as halt(). */
    bool halted(const VersionHalt &halt);

    /** Returns all halts for the next heartbeat. */
    std::vector<VersionHalt> halts() const;

    bool isHalted(const state::PoolId &pool, const state::VersionName &version) const;

    /** Returns how to divide the pool's traffic now. */
    VersionShares shares(const state::PoolId &pool) const;

    /** Returns the pools for which some host must hold the lease: a change has not ended or targets run a wrong
     * version. */
    std::vector<state::PoolId> poolsNeedingLease(state::Time now) const;

    /**
     * Decides for the pools whose lease this host may act on; @p fencing maps them to the fencing number. Does nothing
     * for a pool before the versions stream was read to its end. Call it at each tick.
     */
    VersionDecisions decide(const std::map<state::PoolId, state::Offset> &fencing, state::Time now);

    /** Returns one row for each declared change. */
    std::vector<VersionChangeStatus> status() const;

private:
    /** Declared change with what is known of it. */
    struct Change
    {
        state::VersionChange declared;
        std::optional<state::VersionStep> step; /**< last valid step read */
        state::Time stepTime{}; /**< log time of the last record of the step */
        VersionEvidence evidence;
        std::optional<state::Time> stepReadAt; /**< own time; start of the observations */
        state::VersionStep proposed; /**< step appended and not yet read back */
        std::optional<state::Time> proposedAt;
    };

    VersionController(const state::HostId &host, state::Incarnation incarnation);

    static bool hasEnded(const Change &change);
    static bool sameStep(const state::VersionStep &left, const state::VersionStep &right);
    const Change *activeChange(const state::PoolId &pool) const;
    Change *activeChange(const state::PoolId &pool);
    state::VersionName versionBefore(const Change &change) const;
    state::VersionName desiredVersion(const state::PoolId &pool) const;
    std::vector<const state::Target *> targetsOf(const state::PoolId &pool) const;
    bool names(const state::PoolId &pool, const state::VersionName &version) const;
    int presentTargets(const state::PoolId &pool, state::Time now) const;
    int targetsRunning(const state::PoolId &pool, const state::VersionName &version, state::Time now) const;

    void decidePool(const state::PoolId &pool, state::Offset fencing, state::Time now, VersionDecisions &decisions);
    void decideChange(Change &change, state::Offset fencing, state::Time now, VersionDecisions &decisions);
    void refreshSteps(const state::PoolId &pool, state::Offset fencing, state::Time now, VersionDecisions &decisions);
    std::optional<std::string> reasonToUndo(const Change &change, state::Time now) const;
    state::Duration restoreTime(const Change &change, state::Time now) const;
    std::optional<int> nextShare(const Change &change, state::Time now) const;
    int firstShare(const Change &change, state::Time now) const;
    int targetsForShare(const state::PoolId &pool, int sharePerMille, state::Time now) const;
    void propose(Change &change, const state::VersionStep &step, state::Time now, VersionDecisions &decisions);
    void orderTargets(const state::PoolId &pool, state::Offset fencing, state::Time now, VersionDecisions &decisions);
    void orderLoading(const Change &change, state::Offset fencing, state::Time now, VersionDecisions &decisions);
    void orderAll(const state::PoolId &pool,
                  const state::VersionName &version,
                  state::Offset fencing,
                  state::Time now,
                  VersionDecisions &decisions);

    state::HostId m_host;
    std::uint64_t m_nextOrder = 0;
    std::shared_ptr<const state::Configuration> m_configuration;
    std::vector<Change> m_changes; /**< in the order of their declaration */
    std::map<state::PoolId, TargetOrders> m_orders;
    std::map<state::PoolId, state::Offset> m_highestFencing;
    std::map<std::pair<state::PoolId, state::VersionName>, VersionHalt> m_halts;
    state::Offset m_position = 0;
    bool m_caughtUp = false;
};

} // namespace sapphirecove::coordination
