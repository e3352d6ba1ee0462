// Periodic duties of HostCoordinator: membership, heartbeats, reports, readiness, drain and the status report.

#include "coordination/hostcoordinator.h"

#include <algorithm>
#include <utility>

namespace sapphirecove::coordination {

namespace {

constexpr state::Duration HeartbeatInterval = std::chrono::milliseconds(200);
constexpr state::Duration MembershipInterval = std::chrono::milliseconds(100);
constexpr state::Duration ReportInterval = std::chrono::seconds(2);
// A gap between ticks above this means that the process was paused.
constexpr state::Duration PauseLimit = std::chrono::seconds(1);
// Peers need a heartbeat, and the balancer a readiness check, before the listener may close.
constexpr state::Duration MinimumDrain = std::chrono::seconds(1);
// Time for the results of claims to reach the log after the last request.
constexpr state::Duration ClaimFlush = std::chrono::seconds(1);

} // namespace

void HostCoordinator::on(const Tick &, state::Time now)
{
    detectPause(now);
    if (now >= m_nextMembershipCheck) {
        m_nextMembershipCheck = now + MembershipInterval;
        followMembership(now);
    }
    m_requests.tick(now);
    Replies replies;
    m_arbiters.tick(now, replies);
    sendReplies(replies, now);
    m_log.tick(m_membership, now, m_actions);
    requestConfiguration(now);
    reportOutstanding(now);
    updateReadiness(now);
    sendHeartbeats(now);
    continueDrain(now);
}

void HostCoordinator::on(const DrainRequested &, state::Time now)
{
    if (m_drainingSince) {
        return;
    }
    m_drainingSince = now;
    m_membership.setDraining(true);
    m_directory.invalidate();
    m_nextMembershipCheck = now;
    m_nextHeartbeat = now;
    m_log.drain(now, m_actions);
    updateReadiness(now);
    act(WriteLog{ "drain_started", { { "requests", std::to_string(m_requests.size()) } } });
}

void HostCoordinator::detectPause(state::Time now)
{
    const bool paused = m_lastTick != state::Time{} && now - m_lastTick > PauseLimit;
    if (paused) {
        m_membership.resumed(now - m_lastTick);
        act(WriteLog{ "pause_detected", { { "seconds", std::to_string(state::toSeconds(now - m_lastTick)) } } });
    }
    m_lastTick = now;
}

void HostCoordinator::followMembership(state::Time now)
{
    std::vector<state::HostId> alive = m_membership.aliveHosts(now);
    for (const state::HostId &host : m_alive) {
        if (!std::binary_search(alive.begin(), alive.end(), host)) {
            m_arbiters.hostLost(host, now);
            act(WriteLog{ "peer_lost", { { "peer", host } } });
        }
    }
    m_alive = std::move(alive);
    if (!m_log.configuration().configuration()) {
        return;
    }
    for (const state::GroupId &group : m_directory.refresh(m_membership, now)) {
        followArbiter(group, now);
    }
    if (std::exchange(m_targetsChanged, false)) {
        m_arbiters.refreshTargets(m_directory.groups(), m_membership, now);
    }
    m_arbiters.refreshVersions(m_directory.groups(), m_log.versions());
    watchTargets(now);
}

void HostCoordinator::followArbiter(const state::GroupId &group, state::Time now)
{
    const state::HostId arbiter = m_directory.arbiterOf(group).value();
    if (arbiter == m_options.host) {
        m_arbiters.start(*m_directory.groups().find(group), m_membership, m_alive, now);
    } else {
        m_arbiters.stop(group);
    }
    act(WriteLog{ "arbiter_changed", { { "group", group }, { "arbiter", arbiter } } });
    // Even an empty report counts: the new arbiter waits for one from each host.
    send(arbiter, m_requests.outstanding(group), now);
}

void HostCoordinator::reportOutstanding(state::Time now)
{
    if (now < m_nextReport) {
        return;
    }
    m_nextReport = now + ReportInterval;
    std::set<state::GroupId> reported;
    for (const auto &[pool, groups] : m_directory.groups().all()) {
        for (const Group &group : groups) {
            OutstandingReport report = m_requests.outstanding(group.id);
            const bool empty = report.dispatches.empty();
            const auto arbiter = m_directory.arbiterOf(group.id);
            if (!arbiter || (empty && !m_reported.contains(group.id))) {
                continue;
            }
            if (!empty) {
                reported.insert(group.id);
            }
            send(*arbiter, std::move(report), now);
        }
    }
    m_reported = std::move(reported);
}

void HostCoordinator::sendHeartbeats(state::Time now)
{
    std::vector<TierFloor> floors = m_gate->floors(now);
    if (now < m_nextHeartbeat && floors.size() <= m_floorsSent) {
        return;
    }
    m_nextHeartbeat = now + HeartbeatInterval;
    m_floorsSent = floors.size();
    Heartbeat heartbeat;
    heartbeat.sequence = m_membership.nextSequence();
    heartbeat.generation = m_log.configuration().generation();
    heartbeat.draining = m_drainingSince.has_value();
    heartbeat.ready = m_ready.value_or(false);
    heartbeat.groups = m_arbiters.summaries(now);
    heartbeat.floors = std::move(floors);
    heartbeat.halts = m_log.versions().halts();
    for (const GroupSummary &summary : heartbeat.groups) {
        m_directory.summaryReceived(m_options.host, summary, now);
    }
    for (const state::ListedHost &peer : m_membership.peers()) {
        heartbeat.acknowledged = m_membership.acknowledgedTo(peer.id);
        act(SendMessage{ peer.id, peer.address, peer.peerPort, heartbeat });
    }
    m_gate->heartbeatSent(heartbeat.sequence, now);
}

void HostCoordinator::requestConfiguration(state::Time now)
{
    const auto request = m_log.configuration().request(now);
    const auto peer = m_membership.peerWithHighestGeneration(now);
    if (request && peer) {
        send(*peer, *request, now);
    }
}

void HostCoordinator::watchTargets(state::Time now)
{
    const auto configuration = m_log.configuration().configuration();
    WatchScope scope{ m_log.configuration().generation(), m_arbiters.groups(), {} };
    for (const auto &[pool, settings] : configuration->pools) {
        if (m_log.holdsLease(pool, now)) {
            scope.pools.insert(pool);
        }
    }
    // Comparing the scope keeps the walk over all targets out of the periodic work.
    if (scope == m_watchScope) {
        return;
    }
    m_watchScope = std::move(scope);
    WatchTargets watch;
    for (const auto &[id, target] : configuration->targets) {
        const Group *group = m_directory.groups().groupOfTarget(id);
        const bool model = configuration->pools.at(target.pool).kind == state::PoolKind::Model;
        if (model && (m_arbiters.contains(group->id) || m_watchScope.pools.contains(target.pool))) {
            watch.targets.push_back(WatchedTarget{ id, target.address, target.port });
        }
    }
    act(std::move(watch));
}

std::string HostCoordinator::unreadyReason() const
{
    if (m_drainingSince) {
        return "draining";
    }
    if (!m_membership.hasListed()) {
        return "the host list has not been read";
    }
    if (!m_log.configuration().isReady()) {
        return "no configuration as new as the peers'";
    }
    return {};
}

void HostCoordinator::updateReadiness(state::Time)
{
    const std::string reason = unreadyReason();
    const bool ready = reason.empty();
    if (m_ready != ready) {
        m_ready = ready;
        act(SetReady{ ready, reason });
        act(WriteLog{ "readiness_changed", { { "ready", ready ? "true" : "false" }, { "reason", reason } } });
    }
}

void HostCoordinator::continueDrain(state::Time now)
{
    if (!m_drainingSince || m_drainComplete) {
        return;
    }
    if (m_requests.size() > 0) {
        m_emptySince.reset();
    } else if (!m_emptySince) {
        m_emptySince = now;
    }
    const bool empty = m_emptySince && now - *m_emptySince >= ClaimFlush && now - *m_drainingSince >= MinimumDrain;
    const bool late = now - *m_drainingSince >= m_options.drainTimeout;
    if (empty || late) {
        m_drainComplete = true;
        act(WriteLog{ "drain_complete", { { "requests_cut_off", std::to_string(m_requests.size()) } } });
        act(DrainComplete{});
    }
}

StatusReport HostCoordinator::status(state::Time now) const
{
    StatusReport report;
    report.host = m_options.host;
    report.incarnation = m_options.incarnation;
    report.ready = m_ready.value_or(false);
    report.draining = m_drainingSince.has_value();
    report.generation = m_log.configuration().generation();
    report.publishId = m_log.configuration().publishId();
    report.requests = m_requests.size();
    report.peers = m_membership.status(now);
    report.groups = m_arbiters.status(now);
    report.changes = m_log.versions().status();
    const auto &publications = m_log.configuration().publications();
    report.publications.assign(publications.begin(), publications.end());
    const auto &audit = m_log.audit().entries();
    report.audit.assign(audit.begin(), audit.end());
    const RequestCounters &counters = m_requests.counters();
    report.counters = { { "requests_accepted", counters.accepted },     { "requests_dispatched", counters.dispatched },
                        { "requests_finished", counters.finished },     { "requests_rejected", counters.rejected },
                        { "grants_returned", counters.grantsReturned }, { "connect_retries", counters.connectRetries },
                        { "claim_keys", m_log.claims().size() } };
    return report;
}

} // namespace sapphirecove::coordination
