#pragma once

#include "coordination/entry/dealtslots.h"
#include "coordination/entry/peertable.h"
#include "coordination/entry/quotatable.h"
#include "coordination/entry/repeatbudget.h"
#include "coordination/entry/reportedslots.h"
#include "coordination/entry/rolloutcontroller.h"
#include "coordination/entry/routestatistics.h"
#include "coordination/entry/targetchoice.h"
#include "coordination/entry/targettable.h"
#include "coordination/entry/waitingqueue.h"
#include "state/entry/bounds.h"
#include "state/entry/routing.h"
#include "state/failure.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sapphirecove::coordination::entry {

/** Request as the scheduler sees it. */
struct ScheduledRequest
{
    std::uint64_t id = 0; /**< unique on this host */
    std::string service;
    std::string route;
    int priority = 0; /**< of the route and the customer together; 0 is the most urgent */
    state::Duration latencyTarget{};
    state::Duration pauseTarget{}; /**< longest pause between events that is on time; 0 if none is declared */
    state::Time arrived{}; /**< when the host had read it */
    state::Time deadline{}; /**< end of the caller's patience for the first event or the whole answer */
    bool model = false;
    double promptTokens = 0;
    std::optional<double> expectedOutputTokens;
    std::vector<std::string> excludedTargets; /**< tried already */
};

/** Why a request gets no target. */
enum class RefusalReason {
    Overloaded, /**< the wait would be too long */
    Expired, /**< it has waited too long */
    NoTarget, /**< the service has no target */
};

/** Returns the name of @p reason for the log. */
std::string_view nameOf(RefusalReason reason);

/** What becomes of a waiting request. */
struct Decision
{
    std::uint64_t request = 0;
    std::optional<RefusalReason> refusal; /**< none if a target was found */
    state::Duration retryAfter{}; /**< for a refusal */
    std::string target; /**< id of the incarnation */
    std::uint32_t targetRunning = 0; /**< requests there before this one, as far as known */
    double expectedFirstMs = 0;
};

/**
 * Decides when and where the requests of this host run.
 *
 * Each host decides alone, with the load that its peers report several times a second. Requests wait here and not at
 * the targets, which admit in order of arrival, until a SlotPolicy opens a slot to them.
 */
class Scheduler
{
public:
    /** Fails if @p bounds are out of range. */
    static state::Result<std::unique_ptr<Scheduler>> create(const state::entry::Bounds &bounds, Location location);

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

    RepeatBudget &repeats()
    {
        return m_repeats;
    }

    RolloutController &rollouts()
    {
        return m_rollouts;
    }

    /** Judges the running rollouts; returns those that have ended. */
    std::vector<state::entry::RolloutStatus> judgeRollouts(state::Time now);

    /** Queues @p request, or returns why it is refused at once. */
    std::optional<Decision> enqueue(const ScheduledRequest &request, state::Time now);

    /** Removes a waiting request whose caller has left. */
    void withdraw(std::uint64_t id);

    /** Returns what becomes of waiting requests now. A request with a target counts there until finished(). */
    std::vector<Decision> decide(state::Time now);

    /** The first event of a stream arrived. */
    void firstEvent(std::uint64_t id, state::Time now);

    /** An attempt ended; @p events of its stream were received. */
    void finished(std::uint64_t id, AttemptOutcome outcome, std::uint32_t events, state::Time now);

    /** The target of request @p id has answered as another incarnation. */
    void misdirected(std::string_view target);

    /** Counts the load at targets again after discovery changed them. */
    void targetsChanged();

    /** Drops targets whose entries lapsed with the store and did not come back. */
    void expireTargets(state::Time now);

    /** Returns the load part of the report to the peers. */
    void fillReport(PeerReport &report, state::Time now);

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
        std::string target;
        std::uint32_t targetHash = 0;
        std::string route;
        Work work;
        std::optional<double> expectedOutputTokens;
        double aheadTokens = 0;
        state::Time dispatched{};
        std::optional<state::Time> first;
    };

    Scheduler(const state::entry::Bounds &bounds, Location location);

    void decideService(std::string_view service, state::Time now, std::vector<Decision> &decisions);
    std::vector<TargetLoad *> usableTargets(std::string_view service, state::Time now) const;
    static bool keepsPauses(const TargetLoad &target, const WaitingRequest &request);
    std::vector<TargetLoad *>
    fittingTargets(const WaitingRequest &request, std::span<TargetLoad *const> usable, state::Time now) const;
    void dealSlots(state::Time now);
    const SlotPolicy &slotPolicy(std::string_view service, std::span<TargetLoad *const> usable, state::Time now);
    SlotView viewOf(std::string_view service, std::span<TargetLoad *const> usable, state::Time now) const;
    SlotView viewFor(const WaitingRequest &request, SlotView view, state::Time now) const;
    Decision dispatch(const WaitingRequest &request, TargetLoad &target, state::Time now);
    state::Duration expectedWait(const WaitingRequest &request, state::Time now);
    void countForRollout(const Attempt &attempt, const TargetLoad *target, AttemptOutcome outcome, double latencyRatio);
    Decision refuse(const WaitingRequest &request, RefusalReason reason, state::Time now);

    TargetTable m_targets;
    PeerTable m_peers;
    QuotaTable m_quotas;
    RepeatBudget m_repeats;
    RolloutController m_rollouts;
    RouteStatistics m_routes;
    WaitingQueue m_queue;
    Location m_location;
    std::unique_ptr<TargetChoice> m_choice;
    ReportedSlots m_reportedSlots;
    DealtSlots m_dealtSlots;
    state::Time m_dealtAt{};
    std::unordered_map<std::uint64_t, Attempt> m_running;
};

} // namespace sapphirecove::coordination::entry
