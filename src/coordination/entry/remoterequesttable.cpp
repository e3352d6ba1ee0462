#include "coordination/entry/remoterequesttable.h"

#include <algorithm>
#include <set>
#include <utility>

namespace sapphirecove::coordination::entry {

namespace {

/** Time after a decision from which on reports of the host name the request, if it runs: a report interval, the way,
 * and the life of the permission. */
constexpr state::Duration ReportedAfter = std::chrono::milliseconds(900);

/** Time without a repeated ask after which a waiting request is dropped: two repeats and a short pause. */
constexpr state::Duration WaitingSilence = std::chrono::milliseconds(900);

/** Silence of a host after which its requests do not count any more. Longer than most pauses: work that goes on at a
 * target while its host is silent still takes a slot. */
constexpr state::Duration HostSilence = std::chrono::seconds(4);

/** Time after the last ask for which this host counts as the decider. */
constexpr state::Duration DecidesFor = std::chrono::seconds(2);

} // namespace

RemoteRequestTable::RemoteRequestTable(Scheduler &scheduler, std::string host, std::uint64_t incarnation)
    : m_scheduler(scheduler)
    , m_host(std::move(host))
    , m_incarnation(incarnation)
{
}

AddressedReply RemoteRequestTable::asked(const DecisionRequest &ask, std::uint64_t localId, state::Time now)
{
    m_lastAsk = now;
    const Key key{ ask.requester.incarnation, ask.request.id };
    if (const auto known = m_localIds.find(key); known != m_localIds.end()) {
        Entry &entry = m_entries.at(known->second);
        entry.lastAsked = now;
        if (!entry.reply) {
            return { entry.requester, replyTo(entry, DecisionReply::State::Queued) };
        }
        if (entry.reply->decision.refusal || now - entry.decided < PlacementLifetime) {
            return { entry.requester, *entry.reply };
        }
        abandon(known->second, now); // The asker did not use it in time.
    }
    Entry &entry = m_entries[localId];
    entry.requester = ask.requester;
    entry.askerId = ask.request.id;
    entry.sent = ask.sent;
    entry.received = now;
    entry.lastAsked = now;
    entry.heard = now;
    m_localIds[key] = localId;
    ScheduledRequest request = ask.request;
    request.id = localId;
    if (const auto refusal = m_scheduler.enqueue(request, now)) {
        return decided(*refusal, now).value();
    }
    return { entry.requester, replyTo(entry, DecisionReply::State::Queued) };
}

AddressedReply RemoteRequestTable::declined(const DecisionRequest &ask)
{
    const auto known = m_localIds.find({ ask.requester.incarnation, ask.request.id });
    if (known != m_localIds.end()) {
        const Entry &entry = m_entries.at(known->second);
        if (entry.reply) {
            return { entry.requester, *entry.reply };
        }
        m_scheduler.withdraw(known->second);
        erase(known->second);
    }
    Entry unknown;
    unknown.askerId = ask.request.id;
    unknown.sent = ask.sent;
    return { ask.requester, replyTo(unknown, DecisionReply::State::Declined) };
}

std::optional<AddressedReply> RemoteRequestTable::decided(const Decision &decision, state::Time now)
{
    const auto found = m_entries.find(decision.request);
    if (found == m_entries.end()) {
        return std::nullopt;
    }
    Entry &entry = found->second;
    DecisionReply reply = replyTo(entry, DecisionReply::State::Decided);
    reply.held = now - entry.received;
    reply.decision = decision;
    reply.decision.request = entry.askerId;
    entry.reply = reply;
    entry.decided = now;
    entry.heard = now;
    return AddressedReply{ entry.requester, std::move(reply) };
}

void RemoteRequestTable::received(const AttemptUpdate &news, state::Time now)
{
    const auto known = m_localIds.find({ news.incarnation, news.request });
    if (known == m_localIds.end()) {
        return;
    }
    const std::uint64_t localId = known->second;
    switch (news.kind) {
    case AttemptUpdate::Kind::FirstEvent:
        m_scheduler.firstEvent(localId, now);
        break;
    case AttemptUpdate::Kind::Finished:
        m_scheduler.finished(localId, news.outcome, news.events, now);
        erase(localId);
        break;
    case AttemptUpdate::Kind::Withdrawn:
        abandon(localId, now);
        break;
    }
}

void RemoteRequestTable::reported(const PeerReport &report, state::Time now)
{
    std::set<std::uint64_t> active;
    for (const ActiveRequest &request : report.active) {
        active.insert(request.request);
    }
    std::vector<std::uint64_t> ended;
    for (auto &[localId, entry] : m_entries) {
        if (entry.requester.host != report.host || !entry.reply || entry.reply->decision.refusal) {
            continue;
        }
        const bool runs = entry.requester.incarnation == report.incarnation && active.contains(entry.askerId);
        if (runs || now - entry.decided < ReportedAfter) {
            entry.heard = now;
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
        if (waits ? now - entry.lastAsked > WaitingSilence
                  : now - (refused ? entry.decided : entry.heard) > (refused ? WaitingSilence : HostSilence)) {
            ended.push_back(localId);
        }
    }
    for (const std::uint64_t localId : ended) {
        abandon(localId, now);
    }
}

void RemoteRequestTable::forgetWaiting()
{
    std::vector<std::uint64_t> waiting;
    for (const auto &[localId, entry] : m_entries) {
        if (!entry.reply) {
            waiting.push_back(localId);
        }
    }
    for (const std::uint64_t localId : waiting) {
        m_scheduler.withdraw(localId);
        erase(localId);
    }
}

bool RemoteRequestTable::askedLately(state::Time now) const
{
    return m_lastAsk != state::Time() && now - m_lastAsk < DecidesFor;
}

DecisionReply RemoteRequestTable::replyTo(const Entry &entry, DecisionReply::State state) const
{
    DecisionReply reply;
    reply.decider = m_host;
    reply.deciderIncarnation = m_incarnation;
    reply.requestSent = entry.sent;
    reply.state = state;
    reply.decision.request = entry.askerId;
    reply.decision.refusal = RefusalReason::Overloaded; // Read only if decided, then replaced.
    return reply;
}

void RemoteRequestTable::erase(std::uint64_t localId)
{
    const auto found = m_entries.find(localId);
    if (found == m_entries.end()) {
        return;
    }
    m_localIds.erase({ found->second.requester.incarnation, found->second.askerId });
    m_entries.erase(found);
}

/** Ends a request that waits or holds a slot, without saying anything about its target. */
void RemoteRequestTable::abandon(std::uint64_t localId, state::Time now)
{
    m_scheduler.withdraw(localId);
    m_scheduler.finished(localId, AttemptOutcome::Abandoned, 0, now);
    erase(localId);
}

} // namespace sapphirecove::coordination::entry
