#pragma once

#include "coordination/entry/coldrules.h"
#include "coordination/entry/crashsuspects.h"
#include "coordination/entry/evacuations.h"
#include "coordination/entry/fleetretrybudget.h"
#include "coordination/entry/peertable.h"
#include "coordination/entry/quotatable.h"
#include "coordination/entry/recentfailures.h"
#include "coordination/entry/regionrules.h"
#include "coordination/entry/rolloutcontroller.h"
#include "coordination/entry/routestatistics.h"
#include "coordination/entry/scheduledrequest.h"
#include "coordination/entry/targetchoice.h"
#include "coordination/entry/targetstatements.h"
#include "coordination/entry/targettable.h"
#include "coordination/entry/waitingqueue.h"
#include "state/entry/bounds.h"
#include "state/entry/routing.h"
#include "state/failure.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sapphirecove::coordination::entry {

/**
 * Decides when and where requests run: those of this host and those of other hosts that ask it to decide.
 *
 * Requests wait here until a target has a free slot, and not at the targets, which admit in order of arrival.
 */
class Scheduler
{
public:
    /** Fails if @p bounds are out of range. @p self is the processHash() of this process. */
    static state::Result<std::unique_ptr<Scheduler>>
    create(const state::entry::Bounds &bounds, Location location, std::uint32_t self = 0);

    TargetTable &targets()
    {
        return m_targets;
    }

    PeerTable &peers()
    {
        return m_peers;
    }

    QuotaTable &quotas()
    {
        return m_quotas;
    }

    FleetRetryBudget &retryBudget()
    {
        return m_retryBudget;
    }

    /** What targets state about themselves in their responses. */
    TargetStatements &statements()
    {
        return m_statements;
    }

    /** Requests and parts of prompts that are suspected of crashing targets. */
    CrashSuspects &suspects()
    {
        return m_suspects;
    }

    /** In which failure domains the requests of a route and a customer may run. */
    const RegionRules &regionRules() const
    {
        return m_regionRules;
    }

    /** The failure domains to whose targets nothing may be sent. */
    Evacuations &evacuations()
    {
        return m_evacuations;
    }

    RolloutController &rollouts()
    {
        return m_rollouts;
    }

    /** Sets how many hosts currently decide, each about a part of the fleet's requests. */
    void setDeciders(std::size_t deciders)
    {
        m_deciders = deciders;
    }

    /**
     * Takes over the peers' counts of the running rollouts and, if @p decides for the fleet, evaluates them; returns
     * those that have ended.
     */
    std::vector<state::entry::RolloutStatus> evaluateRollouts(bool decides, state::Time now);

    /** Queues @p request, or returns a refusal. */
    std::optional<Decision> enqueue(const ScheduledRequest &request, state::Time now);

    /** Returns after which time the caller of a request that is blocked by @p parts may come back. */
    state::Duration blockedRetryAfter(std::span<const std::uint64_t> parts, state::Time now) const;

    /** Removes a waiting request. */
    void withdraw(std::uint64_t id, state::Time now);

    /** Returns the decisions that can be made now. A request with a target takes a slot there until finished(). */
    std::vector<Decision> decide(state::Time now);

    /** Records that the first event of a stream arrived. */
    void firstEvent(std::uint64_t id, state::Time now);

    /** Records that an attempt ended; @p events of its stream were received. */
    void finished(std::uint64_t id, AttemptOutcome outcome, std::uint32_t events, state::Time now);

    /** Applies what a configuration says about cold targets. */
    void configureColdTargets(const state::entry::RoutingTable &table, state::Time now);

    /** Records that discovery has listed @p entry. */
    void listed(const state::entry::TargetEntry &entry, state::Time now);

    /** Counts the load at the targets again after discovery has changed them. */
    void targetsChanged(state::Time now);

    /** Drops targets whose entries lapsed with the store and were not restored, and outdated statements. */
    void expireTargets(state::Time now);

    /**
     * Adds this host's admitted quota costs, rollout counts and requests to targets with a limit to the report to the
     * deciders.
     */
    void fillReport(PeerReport &report, state::Time now);

    /**
     * Returns the time until one of the targets of @p service takes requests from this host; zero if one does, or if
     * that is not known.
     */
    state::Duration timeToOpen(std::string_view service, state::Time now) const;

    std::size_t waiting() const
    {
        return m_queue.size();
    }

    std::size_t running() const
    {
        return m_running.size();
    }

private:
    /** Attempt at a target. */
    struct Attempt
    {
        std::uint32_t targetHash = 0;
        std::uint32_t build = 0; /**< of the target, see buildHash() */
        std::vector<std::uint64_t> parts; /**< see ScheduledRequest::parts */
        bool isRepeat = false; /**< an attempt of the same request was made before */
        bool acquitted = false; /**< the answer shows that the parts do not crash the target */
        std::string route;
        Work work;
        std::optional<double> expectedOutputTokens;
        double aheadTokens = 0;
        state::Time dispatched{};
        std::optional<state::Time> firstEventAt;
    };

    /** Attempt whose connection broke although its target accepts connections. */
    struct BrokenAttempt
    {
        Attempt attempt;
        state::entry::TargetEntry target;
        state::Time at{};
    };

    Scheduler(const state::entry::Bounds &bounds, Location location, std::uint32_t self);

    void decideService(std::string_view service, state::Time now, std::vector<Decision> &decisions);
    std::vector<TargetLoad *> usableTargets(std::string_view service, state::Time now) const;
    bool isServed(std::string_view service, const PermittedRegions &regions) const;
    bool isUsable(const TargetLoad &target, state::Time now) const;
    static bool meetsPauseLimit(const TargetLoad &target, const WaitingRequest &request);
    std::vector<TargetLoad *>
    fittingTargets(const WaitingRequest &request, std::span<TargetLoad *const> usable, state::Time now);
    std::optional<state::Time>
    closedUntil(const TargetLoad &target, const WaitingRequest &request, state::Time now) const;
    state::Duration timeToOpen(const WaitingRequest &request, state::Time now) const;
    double slotsLeft(const WaitingRequest &request, state::Time now) const;
    void applyColdPace(const TargetLoad &target, state::Time now);
    Decision dispatch(const WaitingRequest &request, TargetLoad &target, state::Time now);
    state::Duration expectedWait(const WaitingRequest &request, state::Time now);
    void countForRollout(const Attempt &attempt, const TargetLoad *target, AttemptOutcome outcome, state::Time now);
    bool tellsOfVersion(const Attempt &attempt, AttemptOutcome outcome, state::Time now);
    bool hasRoomFor(std::size_t parts) const;
    bool isBlocked(std::span<const std::uint64_t> parts, std::string_view service, state::Time now) const;
    bool mustWaitForSameRequest(const WaitingRequest &request, state::Time now) const;
    bool mayHold(const TargetLoad &target, const WaitingRequest &request, state::Time now) const;
    Decision refuseBlocked(const WaitingRequest &request, state::Time now);
    void recordCrash(const Attempt &attempt, state::Time now);
    void recordRestarts(state::Time now);
    void acquitRunning(state::Time now);
    Decision refuse(const WaitingRequest &request, RefusalReason reason, state::Time now);
    Decision refuseWaiting(const WaitingRequest &request, RefusalReason reason, state::Time now);
    void giveBackQuota(const WaitingRequest &request, state::Time now);

    TargetTable m_targets;
    PeerTable m_peers;
    QuotaTable m_quotas;
    FleetRetryBudget m_retryBudget;
    TargetStatements m_statements;
    state::entry::Bounds m_bounds;
    ColdRules m_coldRules;
    CrashSuspects m_suspects;
    Evacuations m_evacuations;
    std::uint64_t m_evacuationsApplied = 0; /**< Evacuations::begun() when waiting requests were last checked */
    std::uint64_t m_blockingsApplied = 0; /**< CrashSuspects::blockings() when waiting requests were last checked */
    std::uint64_t m_backOffsApplied = 0; /**< backOffsHeard() when waiting requests were last checked */
    RolloutController m_rollouts;
    RecentFailures m_failedRequests;
    std::unordered_map<std::uint32_t, state::Time> m_interruptions; /**< latest one of each target, by its hash */
    RouteStatistics m_routes;
    WaitingQueue m_queue;
    Location m_location;
    RegionRules m_regionRules;
    std::unique_ptr<TargetChoice> m_targetChoice;
    std::size_t m_deciders = 1;
    std::unordered_map<std::uint64_t, Attempt> m_running;
    std::deque<BrokenAttempt> m_broken; /**< oldest first */
};

} // namespace sapphirecove::coordination::entry
