#include "coordination/requesttable.h"

#include <algorithm>

namespace sapphirecove::coordination {

namespace {

// Bounds the delay that a lost slot request or a lost grant causes.
constexpr state::Duration SlotRequestInterval = std::chrono::seconds(1);
constexpr state::Duration GrantRetryDelay = std::chrono::milliseconds(100);
constexpr state::Duration ShortRetryAfter = std::chrono::seconds(1);

Refusal
notExecuted(RefusalReason reason, std::string_view detail, std::optional<state::Duration> retryAfter = std::nullopt)
{
    return Refusal{ reason, Executed::No, retryAfter, std::string(detail) };
}

std::optional<state::Duration> positive(state::Duration duration)
{
    return duration > state::Duration::zero() ? std::optional(duration) : std::nullopt;
}

} // namespace

RequestTable::RequestTable(RequestEffects &effects, std::string failureDomain)
    : m_effects(effects)
    , m_failureDomain(std::move(failureDomain))
{
}

void RequestTable::arrived(const RequestInfo &request,
                           const state::Configuration &configuration,
                           std::size_t liveHosts,
                           state::Time now)
{
    const auto customer = configuration.customers.find(request.customer);
    if (customer == configuration.customers.end()) {
        refuse(request, notExecuted(RefusalReason::Unauthorized, "the customer is not in the configuration in force"));
        return;
    }
    if (!configuration.pools.contains(request.pool)) {
        refuse(request, notExecuted(RefusalReason::UnknownModel, "no pool serves this request"));
        return;
    }
    if (request.deadline <= now) {
        refuse(request, notExecuted(RefusalReason::DeadlineExceeded, "the deadline had passed on arrival"));
        return;
    }
    if (const auto wait = m_limiter.admit(customer->second, liveHosts, now)) {
        refuse(request, notExecuted(RefusalReason::RateLimited, "the customer's limit is reached", wait));
        return;
    }
    ++m_counters.accepted;
    m_retryBudget.recordRequest(now);
    Entry &entry = m_entries[request.id];
    entry.info = request;
    entry.arrivedAt = now;
    if (!request.idempotencyKey) {
        startWaiting(entry, now);
        return;
    }
    const KeyLookupResult key = m_effects.claimKey(request, now);
    if (key == KeyLookupResult::Free) {
        entry.phase = Phase::Claiming;
        return;
    }
    const RequestInfo info = entry.info;
    remove(info.id);
    refuseKeyConflict(info, key);
}

void RequestTable::claimResolved(const state::RequestId &request, ClaimOutcome outcome, state::Time now)
{
    const auto found = m_entries.find(request);
    if (found == m_entries.end() || found->second.phase != Phase::Claiming) {
        return;
    }
    if (outcome == ClaimOutcome::Won) {
        found->second.keyHeld = true;
        startWaiting(found->second, now);
        return;
    }
    const RequestInfo info = found->second.info;
    remove(info.id);
    m_effects.releaseKey(info, now);
    refuseKeyConflict(info, outcome == ClaimOutcome::Lost ? KeyLookupResult::InProgress : KeyLookupResult::Unavailable);
}

void RequestTable::granted(const state::HostId &from, const SlotGrant &grant, bool usable, state::Time now)
{
    const auto found = m_entries.find(grant.request);
    if (found != m_entries.end() && found->second.grant.grant == grant.grant) {
        return; // duplicate of the grant in use
    }
    const auto target = m_targets.find(grant.target);
    if (found == m_entries.end() || found->second.phase != Phase::Waiting) {
        returnGrant(from, grant, GrantOutcome::Unused, now);
        return;
    }
    if (!usable || target == m_targets.end()) {
        returnGrant(from, grant, GrantOutcome::Unused, now);
        // The arbiter closed this slot request with its grant. Resending it immediately could yield the same grant in
        // an endless loop.
        found->second.requestedAt = now - SlotRequestInterval + GrantRetryDelay;
        return;
    }
    Entry &entry = found->second;
    entry.phase = Phase::Granted;
    entry.grant = grant;
    if (entry.route.arbiter != from || entry.route.group != grant.group) {
        m_effects.send(entry.route.arbiter, SlotWithdrawal{ entry.info.id, entry.route.group }, now);
        entry.route = Route{ grant.group, from };
    }
    m_effects.addAction(Dispatch{ entry.info.id,
                                  grant.grant,
                                  grant.target,
                                  target->second.address,
                                  target->second.port,
                                  grant.version,
                                  now + grant.validFor });
}

void RequestTable::denied(const state::HostId &from, const SlotDenial &denial, state::Time now)
{
    const auto found = m_entries.find(denial.request);
    if (found == m_entries.end() || found->second.phase != Phase::Waiting) {
        return;
    }
    Entry &entry = found->second;
    if (entry.route.arbiter != from || entry.route.group != denial.group) {
        return; // sent by a former arbiter
    }
    switch (denial.reason) {
    case DenialReason::NotArbiter:
        // The hosts disagree about membership; tick() resends the slot request to the arbiter that is known then.
        return;
    case DenialReason::NoTarget:
        entry.excludedGroups.push_back(denial.group);
        startWaiting(entry, now);
        return;
    case DenialReason::Overloaded:
        endBeforeDispatch(entry.info.id,
                          notExecuted(RefusalReason::Overloaded,
                                      "the queue is too long for the deadline",
                                      positive(denial.retryAfter)),
                          now);
        return;
    case DenialReason::DeadlineInfeasible:
        endBeforeDispatch(
            entry.info.id,
            notExecuted(RefusalReason::DeadlineInfeasible, "the deadline is too short for a request of this length"),
            now);
        return;
    }
}

void RequestTable::dispatchStarted(const DispatchStarted &event)
{
    const auto found = m_entries.find(event.request);
    if (found == m_entries.end() || found->second.grant.grant != event.grant) {
        return;
    }
    found->second.phase = Phase::Dispatched;
    ++m_counters.dispatched;
}

void RequestTable::dispatchRefused(const DispatchRefused &event, state::Time now)
{
    const auto found = m_entries.find(event.request);
    if (found == m_entries.end() || found->second.phase != Phase::Granted || found->second.grant.grant != event.grant) {
        return;
    }
    Entry &entry = found->second;
    if (!event.targetRefused) {
        // The target did not cause this, so neither its health rating nor the retry budget is affected.
        returnGrant(entry.route.arbiter, entry.grant, GrantOutcome::Unused, now);
        entry.grant = SlotGrant{};
        startWaiting(entry, now);
        return;
    }
    returnGrant(entry.route.arbiter, entry.grant, GrantOutcome::ConnectRefused, now);
    if (!m_retryBudget.take(now)) {
        endBeforeDispatch(entry.info.id,
                          notExecuted(RefusalReason::NoTarget, "the target refused the connection", ShortRetryAfter),
                          now);
        return;
    }
    ++m_counters.connectRetries;
    entry.excludedTargets.push_back(entry.grant.target);
    entry.grant = SlotGrant{};
    startWaiting(entry, now);
}

void RequestTable::firstTokenReceived(const state::RequestId &request)
{
    const auto found = m_entries.find(request);
    if (found != m_entries.end()) {
        found->second.firstTokenSeen = true;
    }
}

void RequestTable::dispatchFinished(const DispatchFinished &event, state::Time now)
{
    const auto found = m_entries.find(event.request);
    if (found == m_entries.end() || found->second.grant.grant != event.grant) {
        return;
    }
    const Entry &entry = found->second;
    SlotRelease release;
    release.request = event.request;
    release.group = entry.route.group;
    release.grant = event.grant;
    release.target = entry.grant.target;
    release.version = entry.grant.version;
    release.outcome = event.outcome;
    release.promptTokens = event.promptTokens > 0 ? event.promptTokens : entry.info.promptTokens;
    release.cachedTokens = event.cachedTokens;
    release.outputTokens = event.outputTokens;
    release.timeToFirstToken = event.timeToFirstToken;
    release.total = event.total;
    const state::HostId arbiter = m_effects.arbiterOf(entry.route.group, now).value_or(entry.route.arbiter);
    m_effects.send(arbiter, release, now);
    if (entry.keyHeld) {
        const bool answered = event.outcome == GrantOutcome::Complete || event.outcome == GrantOutcome::Failed;
        m_effects.finishKey(entry.info, answered ? std::optional(event.status) : std::nullopt, now);
    }
    ++m_counters.finished;
    remove(event.request);
}

void RequestTable::callerDisconnected(const state::RequestId &request, state::Time now)
{
    const auto found = m_entries.find(request);
    if (found == m_entries.end()) {
        return;
    }
    Entry &entry = found->second;
    if (entry.phase == Phase::Dispatched) {
        entry.cancelled = true;
        m_effects.addAction(CancelDispatch{ request });
        return;
    }
    // The transport layer starts no dispatch after it has reported the disconnect.
    if (entry.phase == Phase::Granted) {
        returnGrant(entry.route.arbiter, entry.grant, GrantOutcome::Unused, now);
    } else if (entry.phase == Phase::Waiting) {
        m_effects.send(entry.route.arbiter, SlotWithdrawal{ request, entry.route.group }, now);
    }
    if (entry.info.idempotencyKey) {
        m_effects.releaseKey(entry.info, now);
    }
    remove(request);
}

void RequestTable::tick(state::Time now)
{
    std::vector<state::RequestId> expired;
    for (auto &[id, entry] : m_entries) {
        tickEntry(entry, now, expired);
    }
    for (const state::RequestId &id : expired) {
        const Entry &entry = m_entries.at(id);
        if (entry.phase == Phase::Claiming && entry.info.deadline > now) {
            endBeforeDispatch(id,
                              notExecuted(RefusalReason::ClaimsUnavailable,
                                          "the log did not confirm the claim in time",
                                          ShortRetryAfter),
                              now);
            continue;
        }
        endBeforeDispatch(
            id, notExecuted(RefusalReason::DeadlineExceeded, "the deadline passed before the dispatch"), now);
    }
}

OutstandingReport RequestTable::outstanding(const state::GroupId &group) const
{
    OutstandingReport report;
    report.group = group;
    for (const auto &[id, entry] : m_entries) {
        const bool holdsSlot = entry.phase == Phase::Granted || entry.phase == Phase::Dispatched;
        if (holdsSlot && entry.route.group == group) {
            report.dispatches.push_back(OutstandingDispatch{ id,
                                                             entry.grant.grant,
                                                             entry.grant.target,
                                                             entry.info.promptTokens,
                                                             entry.info.maxOutputTokens,
                                                             entry.firstTokenSeen });
        }
    }
    return report;
}

std::optional<state::Tier> RequestTable::tierOf(const state::RequestId &request) const
{
    const auto found = m_entries.find(request);
    return found == m_entries.end() ? std::nullopt : std::optional(found->second.info.tier);
}

bool RequestTable::contains(const state::RequestId &request) const
{
    return m_entries.contains(request);
}

void RequestTable::setTargets(const std::map<state::TargetId, state::Target> &targets)
{
    m_targets = targets;
}

void RequestTable::setClaimTimeout(state::Duration timeout)
{
    m_claimTimeout = timeout;
}

std::size_t RequestTable::size() const
{
    return m_entries.size();
}

const RequestCounters &RequestTable::counters() const
{
    return m_counters;
}

void RequestTable::refuse(const RequestInfo &request, Refusal refusal)
{
    ++m_counters.rejected;
    m_effects.addAction(Refuse{ request.id, std::move(refusal) });
}

void RequestTable::refuseKeyConflict(const RequestInfo &request, KeyLookupResult state)
{
    switch (state) {
    case KeyLookupResult::Finished:
        refuse(request,
               Refusal{ RefusalReason::DuplicateRequest,
                        Executed::Yes,
                        std::nullopt,
                        "a request with this idempotency key has run" });
        return;
    case KeyLookupResult::Unavailable:
        refuse(
            request,
            notExecuted(RefusalReason::ClaimsUnavailable, "idempotency keys cannot be checked now", ShortRetryAfter));
        return;
    case KeyLookupResult::Free:
    case KeyLookupResult::InProgress:
        refuse(request,
               Refusal{ RefusalReason::DuplicateRequest,
                        Executed::Unknown,
                        ShortRetryAfter,
                        "another request with this idempotency key was accepted and its result is not recorded" });
        return;
    }
}

void RequestTable::startWaiting(Entry &entry, state::Time now)
{
    entry.phase = Phase::Waiting;
    const auto route = m_effects.route(entry.info, entry.excludedGroups, now);
    if (!route) {
        endBeforeDispatch(entry.info.id,
                          notExecuted(RefusalReason::NoTarget, "no target can take the request", ShortRetryAfter),
                          now);
        return;
    }
    entry.route = *route;
    sendSlotRequest(entry, now);
}

void RequestTable::sendSlotRequest(Entry &entry, state::Time now)
{
    SlotRequest slotRequest;
    slotRequest.request = entry.info.id;
    slotRequest.group = entry.route.group;
    slotRequest.customer = entry.info.customer;
    slotRequest.tier = entry.info.tier;
    slotRequest.promptTokens = entry.info.promptTokens;
    slotRequest.maxOutputTokens = entry.info.maxOutputTokens;
    slotRequest.bodyBytes = entry.info.bodyBytes;
    slotRequest.deadline = entry.info.deadline;
    slotRequest.prefixHashes = entry.info.prefixHashes;
    slotRequest.sourceFailureDomain = m_failureDomain;
    slotRequest.excluded = entry.excludedTargets;
    entry.requestedAt = now;
    m_effects.send(entry.route.arbiter, std::move(slotRequest), now);
}

void RequestTable::returnGrant(const state::HostId &to, const SlotGrant &grant, GrantOutcome outcome, state::Time now)
{
    ++m_counters.grantsReturned;
    SlotRelease release;
    release.request = grant.request;
    release.group = grant.group;
    release.grant = grant.grant;
    release.target = grant.target;
    release.version = grant.version;
    release.outcome = outcome;
    m_effects.send(to, std::move(release), now);
}

void RequestTable::endBeforeDispatch(const state::RequestId &id, Refusal refusal, state::Time now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        return;
    }
    // Copied because id may refer to the entry that is removed below.
    const Entry entry = found->second;
    remove(entry.info.id);
    if (entry.phase == Phase::Waiting && !entry.route.arbiter.empty()) {
        m_effects.send(entry.route.arbiter, SlotWithdrawal{ entry.info.id, entry.route.group }, now);
    }
    if (entry.info.idempotencyKey) {
        m_effects.releaseKey(entry.info, now);
    }
    refuse(entry.info, std::move(refusal));
}

void RequestTable::remove(const state::RequestId &id)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        return;
    }
    m_limiter.finish(found->second.info.customer);
    m_entries.erase(found);
}

void RequestTable::tickEntry(Entry &entry, state::Time now, std::vector<state::RequestId> &expired)
{
    switch (entry.phase) {
    case Phase::Claiming:
        if (entry.info.deadline <= now || now - entry.arrivedAt >= m_claimTimeout) {
            expired.push_back(entry.info.id);
        }
        return;
    case Phase::Waiting:
        if (entry.info.deadline <= now) {
            expired.push_back(entry.info.id);
            return;
        }
        resendIfDue(entry, now);
        return;
    case Phase::Granted:
        return; // the transport layer reports the result of every Dispatch
    case Phase::Dispatched:
        tickDispatched(entry, now);
        return;
    }
}

void RequestTable::tickDispatched(Entry &entry, state::Time now)
{
    // A response that has begun is delivered even after the deadline; a dispatch without a response is cancelled.
    if (entry.firstTokenSeen || entry.cancelled || entry.info.deadline > now) {
        return;
    }
    entry.cancelled = true;
    refuse(entry.info,
           Refusal{ RefusalReason::DeadlineExceeded,
                    Executed::Unknown,
                    std::nullopt,
                    "the target did not begin its answer before the deadline" });
    m_effects.addAction(CancelDispatch{ entry.info.id });
}

void RequestTable::resendIfDue(Entry &entry, state::Time now)
{
    const auto arbiter = m_effects.arbiterOf(entry.route.group, now);
    if (!arbiter) {
        return;
    }
    const bool moved = *arbiter != entry.route.arbiter;
    if (moved || now - entry.requestedAt >= SlotRequestInterval) {
        entry.route.arbiter = *arbiter;
        sendSlotRequest(entry, now);
    }
}

} // namespace sapphirecove::coordination
