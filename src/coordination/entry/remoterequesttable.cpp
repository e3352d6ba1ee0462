#include "coordination/entry/remoterequesttable.h"

#include <algorithm>
#include <set>
#include <utility>

namespace sapphirecove::coordination::entry {

namespace {

/**
 * Time after a decision from which on reports of the requester list the request if it runs: a report interval, the
 * network delay and the lifetime of the placement.
 */
constexpr state::Duration ReportDelay = std::chrono::milliseconds(900);

/**
 * Time without a renewed decision request after which a waiting request is dropped: two refresh intervals and a short
 * pause of the process.
 */
constexpr state::Duration WaitingTimeout = std::chrono::milliseconds(900);

/**
 * Time without a report after which the requests of a host no longer count. Longer than most pauses of a process, since
 * a request that runs at a target occupies a slot while its host is paused.
 */
constexpr state::Duration HostTimeout = std::chrono::seconds(4);

/** Time since the last decision request during which this host counts as the active decider. */
constexpr state::Duration DeciderIdleTimeout = std::chrono::seconds(2);

} // namespace

RemoteRequestTable::RemoteRequestTable(Scheduler &scheduler, std::string host, std::uint64_t incarnation)
    : m_scheduler(scheduler)
    , m_host(std::move(host))
    , m_incarnation(incarnation)
    , m_processHash(processHash(m_host, incarnation))
{
}

AddressedReply RemoteRequestTable::handleRequest(const DecisionRequest &message, std::uint64_t localId, state::Time now)
{
    m_lastRequest = now;
    const Key key{ message.requester.incarnation, message.request.id };
    if (const auto known = m_localIds.find(key); known != m_localIds.end()) {
        Entry &entry = m_entries.at(known->second);
        entry.lastRequested = now;
        if (!entry.reply) {
            return { entry.requester, replyTo(entry, DecisionReply::State::Queued) };
        }
        if (entry.reply->decision.refusal || now - entry.decided < PlacementLifetime) {
            return { entry.requester, *entry.reply };
        }
        abandon(known->second, now); // The requester did not use the placement in time.
    }
    Entry &entry = m_entries[localId];
    entry.requester = message.requester;
    entry.requesterId = message.request.id;
    entry.sent = message.sent;
    entry.received = now;
    entry.lastRequested = now;
    entry.lastSeen = now;
    m_localIds[key] = localId;
    ScheduledRequest request = message.request;
    request.id = localId;
    request.host = message.requester.host;
    if (const auto refusal = m_scheduler.enqueue(request, now)) {
        return recordDecision(*refusal, now).value();
    }
    return { entry.requester, replyTo(entry, DecisionReply::State::Queued) };
}

AddressedReply RemoteRequestTable::decline(const DecisionRequest &message, state::Time now)
{
    const auto known = m_localIds.find({ message.requester.incarnation, message.request.id });
    if (known != m_localIds.end()) {
        const Entry &entry = m_entries.at(known->second);
        if (entry.reply) {
            return { entry.requester, *entry.reply };
        }
        m_scheduler.withdraw(known->second, now);
        erase(known->second);
    }
    Entry unknown;
    unknown.requester = message.requester;
    unknown.requesterId = message.request.id;
    unknown.sent = message.sent;
    return { message.requester, replyTo(unknown, DecisionReply::State::Declined) };
}

std::optional<AddressedReply> RemoteRequestTable::recordDecision(const Decision &decision, state::Time now)
{
    const auto found = m_entries.find(decision.request);
    if (found == m_entries.end()) {
        return std::nullopt;
    }
    Entry &entry = found->second;
    DecisionReply reply = replyTo(entry, DecisionReply::State::Decided);
    reply.held = now - entry.received;
    reply.targetsAge = decision.refusal ? state::Duration::zero() : now - decision.targetsConfirmed;
    reply.decision = decision;
    reply.decision.request = entry.requesterId;
    entry.reply = reply;
    entry.decided = now;
    entry.lastSeen = now;
    return AddressedReply{ entry.requester, std::move(reply) };
}

bool RemoteRequestTable::handleUpdate(const AttemptUpdate &update, state::Time now)
{
    if (update.decider != 0 && update.decider != m_processHash) {
        return false; // This process may have placed the same request anew.
    }
    const auto known = m_localIds.find({ update.incarnation, update.request });
    if (known == m_localIds.end()) {
        return true;
    }
    const std::uint64_t localId = known->second;
    switch (update.kind) {
    case AttemptUpdate::Kind::FirstEvent:
        m_scheduler.firstEvent(localId, now);
        break;
    case AttemptUpdate::Kind::Finished:
        m_scheduler.finished(localId, update.outcome, update.events, now);
        erase(localId);
        break;
    case AttemptUpdate::Kind::Withdrawn:
        abandon(localId, now);
        break;
    }
    return true;
}

void RemoteRequestTable::handleReport(const PeerReport &report, state::Time now)
{
    std::set<std::uint64_t> active;
    for (const ActiveRequest &request : report.active) {
        if (request.decider == m_processHash) {
            active.insert(request.request);
        }
    }
    std::vector<std::uint64_t> ended;
    for (auto &[localId, entry] : m_entries) {
        if (entry.requester.host != report.host) {
            continue;
        }
        if (!entry.reply) {
            if (entry.requester.incarnation != report.incarnation) {
                ended.push_back(localId);
            }
            continue;
        }
        if (entry.reply->decision.refusal) {
            continue;
        }
        const bool runs = entry.requester.incarnation == report.incarnation && active.contains(entry.requesterId);
        if (runs || now - entry.decided < ReportDelay) {
            entry.lastSeen = now;
            continue;
        }
        ended.push_back(localId);
    }
    for (const std::uint64_t localId : ended) {
        abandon(localId, now);
    }
}

void RemoteRequestTable::expire(state::Time now)
{
    std::vector<std::uint64_t> ended;
    for (const auto &[localId, entry] : m_entries) {
        const bool refused = entry.reply && entry.reply->decision.refusal;
        const bool waits = !entry.reply;
        if (waits ? now - entry.lastRequested > WaitingTimeout
                  : now - (refused ? entry.decided : entry.lastSeen) > (refused ? WaitingTimeout : HostTimeout)) {
            ended.push_back(localId);
        }
    }
    for (const std::uint64_t localId : ended) {
        abandon(localId, now);
    }
}

void RemoteRequestTable::dropWaiting(state::Time now)
{
    dropWaitingIf(
        [](const Entry &) {
            return true;
        },
        now);
}

void RemoteRequestTable::dropPredecessors(std::string_view host, std::uint64_t incarnation, state::Time now)
{
    dropWaitingIf(
        [&](const Entry &entry) {
            return entry.requester.host == host && entry.requester.incarnation != incarnation;
        },
        now);
}

template <typename Predicate>
void RemoteRequestTable::dropWaitingIf(Predicate predicate, state::Time now)
{
    std::vector<std::uint64_t> waiting;
    for (const auto &[localId, entry] : m_entries) {
        if (!entry.reply && predicate(entry)) {
            waiting.push_back(localId);
        }
    }
    for (const std::uint64_t localId : waiting) {
        m_scheduler.withdraw(localId, now);
        erase(localId);
    }
}

bool RemoteRequestTable::hasRecentRequests(state::Time now) const
{
    return m_lastRequest != state::Time() && now - m_lastRequest < DeciderIdleTimeout;
}

DecisionReply RemoteRequestTable::replyTo(const Entry &entry, DecisionReply::State state) const
{
    DecisionReply reply;
    reply.decider = m_host;
    reply.deciderIncarnation = m_incarnation;
    reply.requesterIncarnation = entry.requester.incarnation;
    reply.requestSent = entry.sent;
    reply.state = state;
    reply.decision.request = entry.requesterId;
    reply.decision.refusal = RefusalReason::Overloaded; // Placeholder; only read in decided replies, which replace it.
    return reply;
}

void RemoteRequestTable::erase(std::uint64_t localId)
{
    const auto found = m_entries.find(localId);
    if (found == m_entries.end()) {
        return;
    }
    m_localIds.erase({ found->second.requester.incarnation, found->second.requesterId });
    m_entries.erase(found);
}

/** Ends a request that waits or holds a slot, without recording an outcome for its target. */
void RemoteRequestTable::abandon(std::uint64_t localId, state::Time now)
{
    m_scheduler.withdraw(localId, now);
    m_scheduler.finished(localId, AttemptOutcome::Abandoned, 0, now);
    erase(localId);
}

} // namespace sapphirecove::coordination::entry
