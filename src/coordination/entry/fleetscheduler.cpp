#include "coordination/entry/fleetscheduler.h"

#include <algorithm>
#include <map>
#include <utility>

namespace sapphirecove::coordination::entry {

namespace {

/** First scheduler id for requests of other hosts; ids of this host's requests count from 1. */
constexpr std::uint64_t FirstRemoteId = std::uint64_t{ 1 } << 48U;

/**
 * Gap between two ticks above which this process counts as paused: its state is outdated, and requesters have turned to
 * another decider. Longer than the gaps of a process that has used up its processor share.
 */
constexpr state::Duration PauseGap = std::chrono::milliseconds(400);

/** Time after a pause during which this host does not decide for others; all hosts send a report within it. */
constexpr state::Duration PauseRecovery = std::chrono::milliseconds(700);

/** AttemptUpdate::decider of a withdrawal, as the decider may not have answered yet. */
constexpr std::uint32_t AnyProcess = 0;

/** Interval at which quota usage is updated for replies to reports. */
constexpr state::Duration ShareInterval = std::chrono::milliseconds(200);

} // namespace

FleetScheduler::FleetScheduler(Scheduler &scheduler, HostProcess self, std::string region, DecisionLink &link)
    : m_scheduler(scheduler)
    , m_self(std::move(self))
    , m_selfHash(processHash(m_self.host, m_self.incarnation))
    , m_link(link)
    , m_directory(m_self.host, std::move(region))
    , m_remoteRequests(scheduler, m_self.host, m_self.incarnation)
{
}

void FleetScheduler::submit(ScheduledRequest request, state::Time now)
{
    detectPause(now);
    m_promptTokens[request.id] = request.promptTokens;
    m_pendingDecisions.add(std::move(request));
    sendDecisionRequests(now);
}

void FleetScheduler::submitLocally(const ScheduledRequest &request, state::Time now)
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
    m_scheduler.withdraw(id, now);
    if (const auto decider = m_pendingDecisions.remove(id)) {
        sendUpdate(*decider, AnyProcess, id, AttemptUpdate::Kind::Withdrawn);
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
        sendUpdate(found->second.decider, found->second.deciderHash, id, AttemptUpdate::Kind::FirstEvent);
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
        sendUpdate(active.decider, active.deciderHash, id, AttemptUpdate::Kind::Finished, outcome, events);
        return;
    }
    m_scheduler.finished(id, outcome, events, now);
    decide(now);
}

bool FleetScheduler::received(const DecisionRequest &message, state::Time now)
{
    detectPause(now);
    const HostProcess &requester = message.requester;
    switch (m_scheduler.peers().processes().heard(requester.host, requester.incarnation, now)) {
    case ProcessRegistry::Sender::Ended:
        return false;
    case ProcessRegistry::Sender::Successor:
        m_remoteRequests.dropPredecessors(requester.host, requester.incarnation, now);
        break;
    case ProcessRegistry::Sender::Current:
        break;
    }
    // While the store refuses this host, other hosts may know that a target is leaving.
    const auto decider = m_directory.decider(now);
    const bool otherQualified = !qualified(now) && decider && *decider != m_self.host;
    if (!canDecide(now) || otherQualified) {
        m_link.send(m_remoteRequests.decline(message, now));
        return true;
    }
    m_link.send(m_remoteRequests.handleRequest(message, FirstRemoteId + ++m_lastRemoteId, now));
    decide(now);
    return true;
}

bool FleetScheduler::received(const DecisionReply &reply, state::Time now)
{
    if (reply.requesterIncarnation != m_self.incarnation) {
        return false;
    }
    const std::uint64_t id = reply.decision.request;
    const std::uint32_t decider = processHash(reply.decider, reply.deciderIncarnation);
    if (auto decision = m_pendingDecisions.handleReply(reply.decider, reply, oldestTargets(now), now)) {
        if (!decision->refusal) {
            begin(*decision, reply.decider, decider, now);
        }
        m_promptTokens.erase(id);
        decision->decider = reply.decider;
        m_link.decided(std::move(*decision));
        return true;
    }
    const bool placed = reply.state == DecisionReply::State::Decided && !reply.decision.refusal;
    const auto active = m_active.find(id);
    const bool isDuplicate = active != m_active.end() && active->second.deciderHash == decider;
    if (placed && !isDuplicate && !m_promptTokens.contains(id)) {
        sendUpdate(reply.decider, decider, id, AttemptUpdate::Kind::Finished);
    }
    return true;
}

bool FleetScheduler::received(const AttemptUpdate &update, state::Time now)
{
    detectPause(now);
    if (!m_remoteRequests.handleUpdate(update, now)) {
        return false;
    }
    decide(now);
    return true;
}

bool FleetScheduler::received(const ReportReply &reply, state::Time now)
{
    if (reply.reporterIncarnation != m_self.incarnation) {
        return false;
    }
    m_directory.reportAnswered(reply, state::timeFromMicroseconds(reply.reportSentAt));
    m_scheduler.statements().merge(reply.statements, now);
    m_scheduler.suspects().merge(reply.suspects, now);
    m_scheduler.evacuations().merge(reply.evacuations);
    // Deciders know the usage from the reports. If they also took it from each other, it would never decrease.
    if (!reply.quotas.empty() && !m_directory.isCandidate(now) && !isActiveDecider(now)) {
        m_scheduler.quotas().raiseUseTo(reply.quotas, now);
    }
    return true;
}

void FleetScheduler::received(const PeerReport &report, state::Time now)
{
    m_remoteRequests.handleReport(report, now);
    m_scheduler.quotas().peerReported(report, now);
    m_scheduler.statements().peerReported(report, now);
    m_scheduler.suspects().merge(report.suspects, now);
    m_scheduler.evacuations().merge(report.evacuations);
    if (m_scheduler.waiting() > 0) {
        decide(now);
    }
}

ReportReply FleetScheduler::reportReplyFor(const PeerReport &report, state::Time now)
{
    const auto &peers = m_scheduler.peers();
    ReportReply reply;
    reply.host = m_self.host;
    reply.incarnation = m_self.incarnation;
    reply.reporterIncarnation = report.incarnation;
    reply.reportSentAt = report.reportSentAt;
    reply.canDecide = canDecide(now);
    reply.qualified = qualified(now);
    reply.targetsAge = now - m_targetsConfirmed;
    reply.liveHosts = static_cast<std::uint32_t>(peers.liveHosts());
    TargetStatements &statements = m_scheduler.statements();
    reply.statementsDigest = statements.digest();
    if (reply.statementsDigest != report.statementsDigest) {
        reply.statements = statements.shares(now);
    }
    const CrashSuspects &suspects = m_scheduler.suspects();
    reply.suspectsDigest = suspects.digest();
    if (reply.suspectsDigest != report.suspectsDigest) {
        reply.suspects = suspects.shares(now);
    }
    const Evacuations &evacuations = m_scheduler.evacuations();
    reply.evacuationsDigest = evacuations.digest();
    if (reply.evacuationsDigest != report.evacuationsDigest) {
        reply.evacuations = evacuations.shares();
    }
    if (isActiveDecider(now)) {
        if (now - m_sharesAt >= ShareInterval) {
            m_sharesAt = now;
            m_shares = m_scheduler.quotas().shares(now);
        }
        reply.quotas = m_shares;
    }
    return reply;
}

void FleetScheduler::decide(state::Time now)
{
    if (!mayPlace(now)) {
        return;
    }
    for (auto &decision : m_scheduler.decide(now)) {
        decision.targetsConfirmed = m_targetsConfirmed;
        if (const auto reply = m_remoteRequests.recordDecision(decision, now)) {
            m_link.send(*reply);
            continue;
        }
        if (!decision.refusal) {
            begin(decision, {}, m_selfHash, now);
        }
        m_promptTokens.erase(decision.request);
        decision.decider = m_self.host;
        m_link.decided(std::move(decision));
    }
}

void FleetScheduler::begin(const Decision &decision,
                           std::string_view decider,
                           std::uint32_t deciderHash,
                           state::Time now)
{
    m_scheduler.statements().sent(decision.targetHash, deciderHash, decision.targetLimit.has_value(), now);
    const auto tokens = m_promptTokens.find(decision.request);
    m_active[decision.request] = {
        std::string(decider), deciderHash, decision.targetHash, tokens == m_promptTokens.end() ? 0 : tokens->second
    };
}

/** Detects a pause of this process, before anything is decided from outdated state. */
void FleetScheduler::detectPause(state::Time now)
{
    if (m_lastTick == state::Time() || now - m_lastTick <= PauseGap) {
        return;
    }
    m_remoteRequests.dropWaiting(now);
    m_lastTick = now;
    m_pausedUntil = now + PauseRecovery;
    m_scheduler.statements().setShare(0, now); // Another host may have decided meanwhile.
    m_directory.setSelf(false, false);
}

void FleetScheduler::tick(state::Time now)
{
    detectPause(now);
    m_lastTick = now;
    updateDirectory(now);
    updateShares(now);
    m_remoteRequests.expire(now);
    sendDecisionRequests(now);
    if (m_scheduler.waiting() > 0) {
        decide(now);
    }
}

void FleetScheduler::sendDecisionRequests(state::Time now)
{
    if (m_pendingDecisions.size() == 0) {
        return;
    }
    auto due = m_pendingDecisions.collectDue(
        m_directory, m_self.host, m_targetsKnown && now >= m_pausedUntil && mayPlace(now), now);
    for (const auto &withdrawal : due.withdrawals) {
        sendUpdate(withdrawal.decider, AnyProcess, withdrawal.request, AttemptUpdate::Kind::Withdrawn);
    }
    for (auto &send : due.sends) {
        if (const KnownHost *host = m_directory.find(send.decider)) {
            m_link.send(DecisionRequest{ m_self, state::toMicroseconds(now), std::move(send.request) }, *host);
        }
    }
    for (const auto &request : due.local) {
        submitLocally(request, now);
    }
    if (!due.local.empty()) {
        decide(now);
    }
}

void FleetScheduler::sendUpdate(const std::string &decider,
                                std::uint32_t deciderHash,
                                std::uint64_t request,
                                AttemptUpdate::Kind kind,
                                AttemptOutcome outcome,
                                std::uint32_t events)
{
    if (const KnownHost *host = m_directory.find(decider)) {
        m_link.send(AttemptUpdate{ m_self.host, m_self.incarnation, deciderHash, request, kind, outcome, events },
                    *host);
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
    if (differsAtRecipients(&ReportReply::statementsDigest, report.statementsDigest, now)) {
        report.statements = m_scheduler.statements().shares(now);
    }
    if (differsAtRecipients(&ReportReply::suspectsDigest, report.suspectsDigest, now)) {
        report.suspects = m_scheduler.suspects().shares(now);
    }
    if (differsAtRecipients(&ReportReply::evacuationsDigest, report.evacuationsDigest, now)) {
        report.evacuations = m_scheduler.evacuations().shares();
    }
}

/** Returns whether a recipient of this host's reports may know something else than this host, which has @p digest. */
bool FleetScheduler::differsAtRecipients(std::uint32_t ReportReply::*recipientDigest,
                                         std::uint32_t digest,
                                         state::Time now) const
{
    const auto recipients = m_directory.reportRecipients(now);
    return std::any_of(recipients.begin(), recipients.end(), [&](const KnownHost *host) {
        const ReportReply *reply = m_directory.latestReplyOf(host->name);
        return reply == nullptr || reply->*recipientDigest != digest;
    });
}

void FleetScheduler::setCanDecide(bool targetsKnown, bool stopping)
{
    m_targetsKnown = targetsKnown;
    m_stopping = stopping;
}

void FleetScheduler::setTargetsConfirmed(state::Time confirmed, TargetsAgeLimits limits)
{
    // A host that was refused for a while cannot tell entries that expired with the store from those of targets that
    // left.
    if (!m_scheduler.targets().hasLapsed()) {
        m_targetsConfirmed = confirmed;
    }
    m_targetsAgeLimits = limits;
}

void FleetScheduler::setStoreAway(bool away)
{
    m_storeAway = away;
}

bool FleetScheduler::isWithheld(const PlacedTarget &target, state::Time now) const
{
    return m_scheduler.statements().closedUntil(target.hash, {}, now)
        || m_scheduler.evacuations().isEvacuated(target.failureDomain) || isOutdated(target.listConfirmed, now);
}

/** Returns when the list of targets must have been confirmed from which a request may be placed now. */
state::Time FleetScheduler::oldestTargets(state::Time now) const
{
    // After a pause, a call that looks unanswered may have an answer that was not read yet.
    const bool storeAway = m_storeAway && now >= m_pausedUntil;
    const bool anyAge = storeAway || m_targetsAgeLimits.placement == state::Duration::max();
    return anyAge ? state::Time::min() : now - m_targetsAgeLimits.placement;
}

/** Returns whether this host's list of targets may be used to place requests. */
bool FleetScheduler::mayPlace(state::Time now) const
{
    return m_targetsConfirmed >= oldestTargets(now);
}

void FleetScheduler::updateDirectory(state::Time now)
{
    m_directory.setSelf(canDecide(now), qualified(now), now - m_targetsConfirmed);
    m_directory.setTargetsAgeLimits(m_targetsAgeLimits, m_storeAway);
}

/** Returns whether this host gets reports from most of the fleet and its list of targets is current. */
bool FleetScheduler::qualified(state::Time now) const
{
    const auto &peers = m_scheduler.peers();
    const bool receivesMostReports = 2 * peers.liveHosts() >= peers.knownCount() + 1;
    // A host that the store refused for a while cannot tell a target that has left from one whose entry lapsed.
    return receivesMostReports && now - m_targetsConfirmed < m_targetsAgeLimits.qualified
        && !m_scheduler.targets().hasLapsed();
}

/**
 * Sets the part of the customers' quotas and of the targets' limits that this host may use: that of the hosts that it
 * hears while it decides for them, its own if it has to decide alone.
 */
void FleetScheduler::updateShares(state::Time now)
{
    const auto &peers = m_scheduler.peers();
    const auto decider = m_directory.decider(now);
    const bool isDecider = decider && *decider == m_self.host;
    const bool isAsked = isActiveDecider(now);
    // Hosts that are not candidates get no reports and know the fleet from the directory.
    const std::size_t reporting = peers.fleetCount() + 1;
    const std::size_t fleet = isAsked ? reporting : std::max({ reporting, m_directory.size(), hosts(now) });
    const double ownShare = 1 / static_cast<double>(fleet);
    const double heardShare = static_cast<double>(peers.liveHosts()) / static_cast<double>(fleet);
    m_scheduler.quotas().setReachableShare(isAsked ? heardShare : ownShare);
    if (isAsked || isDecider) {
        m_scheduler.statements().setShare(heardShare, now);
    } else {
        // While another host decides, this one must not save up requests for later.
        m_scheduler.statements().setShare(decider ? 0 : ownShare, now);
    }
}

bool FleetScheduler::canDecide(state::Time now) const
{
    return m_targetsKnown && !m_stopping && now >= m_pausedUntil;
}

bool FleetScheduler::needsTargets(state::Time now) const
{
    if (m_directory.isCandidate(now) || isActiveDecider(now) || m_scheduler.waiting() > 0) {
        return true;
    }
    const auto decider = m_directory.decider(now);
    if (!decider || *decider == m_self.host) {
        return true;
    }
    const ReportReply *reply = m_directory.latestReplyOf(*decider);
    return reply != nullptr && reply->targetsAge > m_targetsAgeLimits.qualified;
}

std::size_t FleetScheduler::hosts(state::Time now) const
{
    const auto decider = m_directory.decider(now);
    if (decider && *decider == m_self.host) {
        return m_scheduler.peers().liveHosts();
    }
    const ReportReply *reply = decider ? m_directory.latestReplyOf(*decider) : nullptr;
    return reply != nullptr ? std::max<std::size_t>(1, reply->liveHosts) : std::max<std::size_t>(1, m_directory.size());
}

} // namespace sapphirecove::coordination::entry
