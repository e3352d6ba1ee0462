#pragma once

#include "coordination/customerlimiter.h"
#include "coordination/event.h"
#include "coordination/requesteffects.h"
#include "coordination/retrybudget.h"
#include "state/configuration.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sapphirecove::coordination {

/** Outcome of a proposed claim as read from the log. */
enum class ClaimOutcome {
    Won,
    Lost,
    Unavailable, /**< records were missed, so the key may be held unseen */
};

/** Totals since the start of the host. */
struct RequestCounters
{
    std::uint64_t accepted = 0;
    std::uint64_t dispatched = 0;
    std::uint64_t finished = 0;
    std::uint64_t rejected = 0;
    std::uint64_t grantsReturned = 0;
    std::uint64_t connectRetries = 0;
};

/**
 * Every request that this host accepted and that has not ended.
 *
 * A request passes through Claiming (only with an idempotency key), Waiting (for a grant), Granted (the transport layer
 * was told to dispatch) and Dispatched. It is dispatched at most once because only the transition from Waiting to
 * Granted emits a Dispatch, and after DispatchStarted no transition leads back to Waiting.
 */
class RequestTable
{
public:
    /** @p failureDomain is the host's own; arbiters place its requests near it. */
    RequestTable(RequestEffects &effects, std::string failureDomain);

    /** Admits a request or refuses it at once. */
    void arrived(const RequestInfo &request,
                 const state::Configuration &configuration,
                 std::size_t liveHosts,
                 state::Time now);

    /** Continues or refuses a request whose claim was decided. */
    void claimResolved(const state::RequestId &request, ClaimOutcome outcome, state::Time now);

    /**
     * Uses the first grant for a waiting request and returns every other one. A grant that must not be used because of
     * its target or of the tier's floor is returned too, and the request asks again.
     */
    void granted(const state::HostId &from, const SlotGrant &grant, bool usable, state::Time now);

    /** Ends or reroutes a waiting request whose current arbiter denied it. */
    void denied(const state::HostId &from, const SlotDenial &deny, state::Time now);

    void dispatchStarted(const DispatchStarted &event);
    void dispatchRefused(const DispatchRefused &event, state::Time now);
    void firstTokenReceived(const state::RequestId &request);
    void dispatchFinished(const DispatchFinished &event, state::Time now);
    void callerDisconnected(const state::RequestId &request, state::Time now);

    /** Repeats unanswered asks, follows arbiter changes and ends requests whose deadline has passed. */
    void tick(state::Time now);

    /** Returns what this host has dispatched or may dispatch to a group. */
    OutstandingReport outstanding(const state::GroupId &group) const;

    /** Returns the tier of a request in the table. */
    std::optional<state::Tier> tierOf(const state::RequestId &request) const;

    /** Returns whether a claim belongs to a request that is still in the table. */
    bool contains(const state::RequestId &request) const;

    void setTargets(const std::map<state::TargetId, state::Target> &targets);
    void setClaimTimeout(state::Duration timeout);
    std::size_t size() const;
    const RequestCounters &counters() const;

private:
    enum class Phase {
        Claiming,
        Waiting,
        Granted,
        Dispatched,
    };

    struct Entry
    {
        RequestInfo info;
        Phase phase = Phase::Waiting;
        state::Time arrivedAt{};
        state::Time askedAt{};
        Route route;
        std::vector<state::GroupId> excludedGroups;
        std::vector<state::TargetId> excludedTargets;
        SlotGrant grant;
        bool keyHeld = false;
        bool firstTokenSeen = false;
        bool cancelled = false;
    };

    using Entries = std::unordered_map<state::RequestId, Entry>;

    void refuse(const RequestInfo &request, Refusal refusal);
    void refuseKeyConflict(const RequestInfo &request, KeyVerdict state);
    void startWaiting(Entry &entry, state::Time now);
    void sendAsk(Entry &entry, state::Time now);
    void returnGrant(const state::HostId &to, const SlotGrant &grant, GrantOutcome outcome, state::Time now);
    void endBeforeDispatch(const state::RequestId &id, Refusal refusal, state::Time now);
    void remove(const state::RequestId &id);
    void tickEntry(Entry &entry, state::Time now, std::vector<state::RequestId> &late);
    void tickDispatched(Entry &entry, state::Time now);
    void followArbiter(Entry &entry, state::Time now);

    RequestEffects &m_effects;
    std::string m_failureDomain;
    Entries m_entries;
    std::map<state::TargetId, state::Target> m_targets;
    CustomerLimiter m_limiter;
    RetryBudget m_retryBudget;
    RequestCounters m_counters;
    state::Duration m_claimTimeout = std::chrono::seconds(2);
};

} // namespace sapphirecove::coordination
