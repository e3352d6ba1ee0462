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

/** Outcome of a proposed claim, as read from the log. */
enum class ClaimOutcome {
    Won,
    Lost,
    Unavailable, /**< records were missed, so another request may hold the key */
};

/** Event counts since the start of the host. */
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
 * Requests that this host has accepted and that have not ended.
 *
 * A request passes through the phases Claiming (only with an idempotency key), Waiting (for a grant), Granted (the
 * transport layer was told to dispatch) and Dispatched. It is dispatched at most once, because only the transition from
 * Waiting to Granted emits a Dispatch and no transition leads back to Waiting after DispatchStarted.
 */
class RequestTable
{
public:
    /** @p failureDomain is that of this host; arbiters prefer targets near it. */
    RequestTable(RequestEffects &effects, std::string failureDomain);

    /** Accepts a request or refuses it immediately. */
    void arrived(const RequestInfo &request,
                 const state::Configuration &configuration,
                 std::size_t liveHosts,
                 state::Time now);

    /** Continues or refuses a request once the outcome of its claim is known. */
    void claimResolved(const state::RequestId &request, ClaimOutcome outcome, state::Time now);

    /**
     * Uses the first grant for a waiting request and returns any other. A grant that is not @p usable, because of its
     * target, its version or a tier floor, is returned too, and the slot request is sent again.
     */
    void granted(const state::HostId &from, const SlotGrant &grant, bool usable, state::Time now);

    /** Ends or reroutes a waiting request whose slot request was denied by its current arbiter. */
    void denied(const state::HostId &from, const SlotDenial &denial, state::Time now);

    void dispatchStarted(const DispatchStarted &event);
    void dispatchRefused(const DispatchRefused &event, state::Time now);
    void firstTokenReceived(const state::RequestId &request);
    void dispatchFinished(const DispatchFinished &event, state::Time now);
    void callerDisconnected(const state::RequestId &request, state::Time now);

    /** Resends unanswered slot requests, also to a new arbiter, and ends requests whose deadline has passed. */
    void tick(state::Time now);

    /** Returns the requests that this host has dispatched to a group or holds a grant for. */
    OutstandingReport outstanding(const state::GroupId &group) const;

    /** Returns the tier of a request; empty if it is not in the table. */
    std::optional<state::Tier> tierOf(const state::RequestId &request) const;

    /** Returns whether a request is still in the table. */
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
        state::Time requestedAt{};
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
    void refuseKeyConflict(const RequestInfo &request, KeyLookupResult state);
    void startWaiting(Entry &entry, state::Time now);
    void sendSlotRequest(Entry &entry, state::Time now);
    void returnGrant(const state::HostId &to, const SlotGrant &grant, GrantOutcome outcome, state::Time now);
    void endBeforeDispatch(const state::RequestId &id, Refusal refusal, state::Time now);
    void remove(const state::RequestId &id);
    void tickEntry(Entry &entry, state::Time now, std::vector<state::RequestId> &expired);
    void tickDispatched(Entry &entry, state::Time now);
    void resendIfDue(Entry &entry, state::Time now);

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
