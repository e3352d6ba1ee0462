#include "coordination/entry/fleetscheduler.h"

#include <algorithm>
#include <map>
#include <utility>

namespace sapphirecove::coordination::entry {

namespace {

/** Ids of other hosts' requests at the scheduler begin here; own ones count from 1. */
constexpr std::uint64_t FirstRemoteId = std::uint64_t{ 1 } << 48U;

/** Gap between two ticks from which on this process counts as paused: its knowledge is old, and askers have turned to
 * another decider. Above the gaps of a processor share that is used up. */
constexpr state::Duration PauseGap = std::chrono::milliseconds(400);

/** Time after a pause in which nothing is decided for others: all hosts report within it. */
constexpr state::Duration PauseRecovery = std::chrono::milliseconds(700);

/** Interval at which the use of quotas is taken for beacons. */
constexpr state::Duration ShareInterval = std::chrono::milliseconds(200);

} // namespace

FleetScheduler::FleetScheduler(Scheduler &scheduler, HostProcess self, std::string region, DecisionLink &link)
    : m_scheduler(scheduler)
    , m_self(std::move(self))
    , m_selfHash(processHash(m_self.host, m_self.incarnation))
    , m_link(link)
    , m_directory(m_self.host, std::move(region))
    , m_desk(scheduler, m_self.host, m_self.incarnation)
{
}

void FleetScheduler::submit(ScheduledRequest request, state::Time now)
{
    noticePause(now);
    m_promptTokens[request.id] = request.promptTokens;
    m_asks.add(std::move(request));
    sendAsks(now);
}

void FleetScheduler::submitHere(const ScheduledRequest &request, state::Time now)
{
    if (auto refusal = m_scheduler.enqueue(request, now)) {
        m_promptTokens.erase(request.id);
        refusal->decider = m_self.host;
        m_link.decided(std::move(*refusal));
    }
}

void FleetScheduler::withdraw(std::uint64_t id, state::Time now)
{
    m_promptTokens.erase(id);
    m_scheduler.withdraw(id);
    if (const auto decider = m_asks.remove(id)) {
        sendNews(*decider, id, AttemptUpdate::Kind::Withdrawn);
    }
    decide(now);
}

void FleetScheduler::firstEvent(std::uint64_t id, state::Time now)
{
    const auto found = m_active.find(id);
    if (found == m_active.end()) {
        return;
    }
    found->second.promptTokens = 0;
    if (found->second.decider.empty()) {
        m_scheduler.firstEvent(id, now);
    } else {
        sendNews(found->second.decider, id, AttemptUpdate::Kind::FirstEvent);
    }
}

void FleetScheduler::finished(std::uint64_t id, AttemptOutcome outcome, std::uint32_t events, state::Time now)
{
    const auto found = m_active.find(id);
    if (found == m_active.end()) {
        return;
    }
    const Active active = std::move(found->second);
    m_active.erase(found);
    if (!active.decider.empty()) {
        sendNews(active.decider, id, AttemptUpdate::Kind::Finished, outcome, events);
        return;
    }
    m_scheduler.finished(id, outcome, events, now);
    decide(now);
}

void FleetScheduler::received(const DecisionRequest &ask, state::Time now)
{
    noticePause(now);
    // While the store turns this host away, others may know that a target leaves.
    const auto decider = m_directory.decider(now);
    const bool othersKnowBetter = !qualified(now) && decider && *decider != m_self.host;
    if (!able(now) || othersKnowBetter) {
        m_link.send(m_desk.declined(ask));
        return;
    }
    m_link.send(m_desk.asked(ask, FirstRemoteId + ++m_lastRemote, now));
    decide(now);
}

void FleetScheduler::received(const DecisionReply &reply, state::Time now)
{
    const std::uint64_t id = reply.decision.request;
    if (auto decision = m_asks.replied(reply.decider, reply, now)) {
        if (!decision->refusal) {
            begin(*decision, reply.decider, processHash(reply.decider, reply.deciderIncarnation));
        }
        m_promptTokens.erase(id);
        decision->decider = reply.decider;
        m_link.decided(std::move(*decision));
        return;
    }
    const bool placed = reply.state == DecisionReply::State::Decided && !reply.decision.refusal;
    const auto active = m_active.find(id);
    const bool repeated = active != m_active.end() && active->second.decider == reply.decider;
    if (placed && !repeated && !m_promptTokens.contains(id)) {
        sendNews(reply.decider, id, AttemptUpdate::Kind::Finished);
    }
}

void FleetScheduler::received(const AttemptUpdate &news, state::Time now)
{
    noticePause(now);
    m_desk.received(news, now);
    decide(now);
}

void FleetScheduler::received(const ReportReply &beacon, state::Time now)
{
    m_directory.answered(beacon, state::timeFromMicroseconds(beacon.reportSentAt));
    // Deciders know the use from the reports; what they took from each other would never fall again.
    if (!beacon.quotas.empty() && !m_directory.isCandidate(now) && !decides(now)) {
        m_scheduler.quotas().raiseTo(beacon.quotas, now);
    }
}

void FleetScheduler::received(const PeerReport &report, state::Time now)
{
    m_desk.reported(report, now);
    if (m_scheduler.waiting() > 0) {
        decide(now);
    }
}

ReportReply FleetScheduler::reportReplyFor(const PeerReport &report, state::Time now)
{
    const auto &peers = m_scheduler.peers();
    ReportReply beacon;
    beacon.host = m_self.host;
    beacon.incarnation = m_self.incarnation;
    beacon.reportSentAt = report.reportSentAt;
    beacon.canDecide = able(now);
    beacon.qualified = qualified(now);
    beacon.liveHosts = static_cast<std::uint32_t>(peers.liveHosts());
    if (decides(now)) {
        if (now - m_sharesAt >= ShareInterval) {
            m_sharesAt = now;
            m_shares = m_scheduler.quotas().shares(now);
        }
        beacon.quotas = m_shares;
    }
    return beacon;
}

void FleetScheduler::decide(state::Time now)
{
    for (auto &decision : m_scheduler.decide(now)) {
        if (const auto reply = m_desk.decided(decision, now)) {
            m_link.send(*reply);
            continue;
        }
        if (!decision.refusal) {
            begin(decision, {}, m_selfHash);
        }
        m_promptTokens.erase(decision.request);
        decision.decider = m_self.host;
        m_link.decided(std::move(decision));
    }
}

void FleetScheduler::begin(const Decision &decision, std::string_view decider, std::uint32_t deciderHash)
{
    const auto tokens = m_promptTokens.find(decision.request);
    m_active[decision.request] = {
        std::string(decider), deciderHash, decision.targetHash, tokens == m_promptTokens.end() ? 0 : tokens->second
    };
}

/** Notices that this process was paused, before anything is decided from what it knew. */
void FleetScheduler::noticePause(state::Time now)
{
    if (m_ticked == state::Time() || now - m_ticked <= PauseGap) {
        return;
    }
    m_desk.forgetWaiting();
    m_ticked = now;
    m_pausedUntil = now + PauseRecovery;
    m_directory.setSelf(false, false);
}

void FleetScheduler::tick(state::Time now)
{
    noticePause(now);
    m_ticked = now;
    m_directory.setSelf(able(now), qualified(now));
    m_desk.expire(now);
    sendAsks(now);
    if (m_scheduler.waiting() > 0) {
        decide(now);
    }
}

void FleetScheduler::sendAsks(state::Time now)
{
    if (m_asks.size() == 0) {
        return;
    }
    auto due = m_asks.due(m_directory, m_self.host, m_targetsKnown && now >= m_pausedUntil, now);
    for (const auto &withdrawal : due.withdrawals) {
        sendNews(withdrawal.decider, withdrawal.request, AttemptUpdate::Kind::Withdrawn);
    }
    for (auto &send : due.sends) {
        if (const KnownHost *host = m_directory.find(send.decider)) {
            m_link.send(DecisionRequest{ m_self, state::toMicroseconds(now), std::move(send.request) }, *host);
        }
    }
    for (const auto &request : due.own) {
        submitHere(request, now);
    }
    if (!due.own.empty()) {
        decide(now);
    }
}

void FleetScheduler::sendNews(const std::string &decider,
                              std::uint64_t request,
                              AttemptUpdate::Kind kind,
                              AttemptOutcome outcome,
                              std::uint32_t events)
{
    if (const KnownHost *host = m_directory.find(decider)) {
        m_link.send(AttemptUpdate{ m_self.host, m_self.incarnation, request, kind, outcome, events }, *host);
    }
}

void FleetScheduler::fillReport(PeerReport &report, state::Time now)
{
    std::map<std::pair<std::uint32_t, std::uint32_t>, TargetShare> shares;
    for (const auto &[id, active] : m_active) {
        TargetShare &share = shares[{ active.targetHash, active.deciderHash }];
        share.target = active.targetHash;
        share.decider = active.deciderHash;
        ++share.running;
        share.promptTokens += static_cast<std::uint32_t>(active.promptTokens);
        if (!active.decider.empty()) {
            report.active.push_back({ active.deciderHash, id });
        }
    }
    for (const auto &[key, share] : shares) {
        report.targets.push_back(share);
    }
    m_scheduler.fillReport(report, now);
}

void FleetScheduler::setCanDecide(bool targetsKnown, bool stopping)
{
    m_targetsKnown = targetsKnown;
    m_stopping = stopping;
}

void FleetScheduler::setTargetsConfirmed(state::Time confirmed, state::Duration maxAge)
{
    m_targetsConfirmed = confirmed;
    m_maxTargetsAge = maxAge;
}

/** Returns whether this host hears most of the fleet and knows its targets as they are. */
bool FleetScheduler::qualified(state::Time now) const
{
    const auto &peers = m_scheduler.peers();
    const bool hearsMost = 2 * peers.liveHosts() >= peers.knownCount() + 1;
    // A host that the store turned away for a while cannot tell a target that has left from one that lapsed.
    return hearsMost && now - m_targetsConfirmed < m_maxTargetsAge && !m_scheduler.targets().hasLapsed();
}

bool FleetScheduler::able(state::Time now) const
{
    return m_targetsKnown && !m_stopping && now >= m_pausedUntil;
}

bool FleetScheduler::needsTargets(state::Time now) const
{
    if (m_directory.isCandidate(now) || decides(now) || m_scheduler.waiting() > 0) {
        return true;
    }
    const auto decider = m_directory.decider(now);
    return !decider || *decider == m_self.host;
}

std::size_t FleetScheduler::hosts(state::Time now) const
{
    const auto decider = m_directory.decider(now);
    if (decider && *decider == m_self.host) {
        return m_scheduler.peers().liveHosts();
    }
    const ReportReply *beacon = decider ? m_directory.beaconOf(*decider) : nullptr;
    return beacon != nullptr ? std::max<std::size_t>(1, beacon->liveHosts)
                             : std::max<std::size_t>(1, m_directory.size());
}

} // namespace sapphirecove::coordination::entry
