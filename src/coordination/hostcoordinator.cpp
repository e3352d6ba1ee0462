#include "coordination/hostcoordinator.h"

#include "coordination/placement/register.h"

namespace sapphirecove::coordination {

namespace {

// Status in the log record of a dispatched request whose response was interrupted.
constexpr int UnknownStatus = 0;

ClaimOutcome toClaimOutcome(ClaimResult result)
{
    switch (result) {
    case ClaimResult::Won:
        return ClaimOutcome::Won;
    case ClaimResult::Lost:
        return ClaimOutcome::Lost;
    case ClaimResult::Unknown:
    case ClaimResult::Pending:
        break;
    }
    return ClaimOutcome::Unavailable;
}

} // namespace

state::Result<std::unique_ptr<Coordinator>> Coordinator::create(const CoordinatorOptions &options,
                                                                const DocumentChecker &checker)
{
    if (options.host.empty()) {
        return state::fail("coordinator.create", "", "the host name is empty");
    }
    auto policy = placement::create(options.placement);
    if (!policy) {
        return policy.error();
    }
    BOOST_LEAF_AUTO(gate, TierGate::create(options.host));
    return std::unique_ptr<Coordinator>(std::make_unique<HostCoordinator>(options, checker, std::move(gate)));
}

HostCoordinator::HostCoordinator(const CoordinatorOptions &options,
                                 const DocumentChecker &checker,
                                 std::unique_ptr<TierGate> gate)
    : m_options(options)
    , m_membership(Membership::create(
          MembershipOptions{ options.host, options.incarnation, options.region, options.failureDomain }))
    , m_gate(std::move(gate))
    , m_log(options, checker)
    , m_directory(options.host, options.region)
    , m_arbiters(options, *m_gate)
    , m_requests(*this, options.failureDomain)
{
}

std::span<const Action> HostCoordinator::handle(const Event &event, state::Time now)
{
    m_actions.clear();
    std::visit(
        [&](const auto &typed) {
            on(typed, now);
        },
        event);
    deliverLocalMessages(now);
    return m_actions;
}

void HostCoordinator::on(const RequestArrived &event, state::Time now)
{
    const auto refuse = [&](RefusalReason reason, std::string detail) {
        addAction(
            Refuse{ event.request.id, Refusal{ reason, Executed::No, std::chrono::seconds(1), std::move(detail) } });
    };
    if (m_drainingSince) {
        refuse(RefusalReason::Draining, "the host is shutting down");
        return;
    }
    if (!m_ready.value_or(false)) {
        refuse(RefusalReason::NotReady, notReadyReason());
        return;
    }
    const auto configuration = m_log.configuration().configuration();
    m_requests.arrived(event.request, *configuration, m_aliveHosts.size(), now);
    if (m_requests.contains(event.request.id) && event.request.idempotencyKey) {
        m_pendingClaims.insert(event.request.id);
    }
}

void HostCoordinator::on(const CallerDisconnected &event, state::Time now)
{
    m_requests.callerDisconnected(event.request, now);
}

void HostCoordinator::on(const DispatchRefused &event, state::Time now)
{
    m_requests.dispatchRefused(event, now);
}

void HostCoordinator::on(const DispatchStarted &event, state::Time)
{
    m_requests.dispatchStarted(event);
}

void HostCoordinator::on(const FirstTokenReceived &event, state::Time)
{
    m_requests.firstTokenReceived(event.request);
}

void HostCoordinator::on(const DispatchFinished &event, state::Time now)
{
    m_requests.dispatchFinished(event, now);
}

void HostCoordinator::on(const MessagesReceived &event, state::Time now)
{
    const Envelope &envelope = event.envelope;
    if (m_membership.isOutlived(envelope.from, envelope.incarnation, now)) {
        return;
    }
    for (const Message &message : envelope.messages) {
        if (const Heartbeat *heartbeat = std::get_if<Heartbeat>(&message)) {
            if (!m_membership.recordHeartbeat(envelope.from, envelope.incarnation, *heartbeat, now)) {
                continue;
            }
        }
        std::visit(
            [&](const auto &typed) {
                receive(envelope.from, typed, now);
            },
            message);
    }
}

void HostCoordinator::on(const HostListRead &event, state::Time now)
{
    m_membership.updateHostList(event.list, now);
    std::vector<state::HostId> peers;
    for (const state::ListedHost &peer : m_membership.peers()) {
        peers.push_back(peer.id);
    }
    m_gate->setPeers(peers, now);
    std::set<state::TargetId> live;
    for (const state::ListedTarget &target : event.list.targets) {
        if (target.state == state::ListedState::Live) {
            live.insert(target.id);
        }
    }
    m_log.versions().updateLiveTargets(std::move(live));
    m_directory.invalidate();
    m_targetsChanged = true;
    m_nextMembershipCheck = now;
}

void HostCoordinator::on(const RecordsRead &event, state::Time now)
{
    if (m_log.recordsRead(event, now)) {
        applyConfiguration(now);
    }
    if (event.stream == state::Stream::Claims) {
        resolveClaims(now);
    }
}

void HostCoordinator::on(const LogUnavailable &event, state::Time now)
{
    m_log.logUnavailable(event, now);
}

void HostCoordinator::on(const LoadReported &event, state::Time now)
{
    if (const Group *group = m_directory.groups().groupOfTarget(event.target)) {
        m_arbiters.loadReported(group->id, event, now);
    }
    m_log.versions().loadReported(event, now);
}

void HostCoordinator::on(const CacheChanged &event, state::Time now)
{
    if (const Group *group = m_directory.groups().groupOfTarget(event.target)) {
        m_arbiters.cacheChanged(group->id, event, now);
    }
}

void HostCoordinator::on(const OrderAnswered &event, state::Time now)
{
    m_log.versions().orderAnswered(event, now);
}

void HostCoordinator::receive(const state::HostId &from, const Heartbeat &message, state::Time now)
{
    m_gate->heartbeatReceived(from, message, now);
    for (const GroupSummary &summary : message.groups) {
        m_directory.summaryReceived(from, summary, now);
    }
    for (const VersionHalt &halt : message.halts) {
        m_log.versions().applyHalt(halt);
    }
}

void HostCoordinator::receive(const state::HostId &from, const SlotRequest &message, state::Time now)
{
    Replies replies;
    m_arbiters.requestSlot(from, message, now, replies);
    sendReplies(replies, now);
}

void HostCoordinator::receive(const state::HostId &from, const SlotWithdrawal &message, state::Time now)
{
    m_arbiters.withdraw(from, message, now);
}

void HostCoordinator::receive(const state::HostId &from, const SlotGrant &message, state::Time now)
{
    m_requests.granted(from, message, isUsable(message, now), now);
}

void HostCoordinator::receive(const state::HostId &from, const SlotDenial &message, state::Time now)
{
    m_requests.denied(from, message, now);
}

void HostCoordinator::receive(const state::HostId &from, const SlotRelease &message, state::Time now)
{
    recordOutcome(message, now);
    Replies replies;
    m_arbiters.release(from, message, now, replies);
    sendReplies(replies, now);
}

void HostCoordinator::receive(const state::HostId &from, const OutstandingReport &message, state::Time now)
{
    m_arbiters.report(from, message, now);
}

void HostCoordinator::receive(const state::HostId &from, const ConfigurationRequest &message, state::Time now)
{
    if (auto offer = m_log.configuration().offer(message)) {
        send(from, std::move(*offer), now);
    }
}

void HostCoordinator::receive(const state::HostId &, const ConfigurationOffer &message, state::Time now)
{
    if (m_log.applyOffer(message, now)) {
        applyConfiguration(now);
    }
}

void HostCoordinator::addAction(Action action)
{
    m_actions.push_back(std::move(action));
}

void HostCoordinator::send(const state::HostId &to, Message message, state::Time now)
{
    if (const SlotRelease *release = std::get_if<SlotRelease>(&message)) {
        copyToLeaseHolder(to, *release, now);
    }
    if (to == m_options.host) {
        m_localMessages.push_back(LocalMessage{ m_options.host, std::move(message) });
        return;
    }
    // This host evaluates the outcomes of its own requests too, so that it can detect a faulty version in a group that
    // another host arbitrates.
    if (const SlotRelease *release = std::get_if<SlotRelease>(&message)) {
        recordOutcome(*release, now);
    }
    const auto peer = m_membership.findHost(to);
    if (!peer) {
        return; // same as a lost message, which all receivers tolerate
    }
    addAction(SendMessage{ to, peer->address, peer->peerPort, std::move(message) });
}

std::optional<Route>
HostCoordinator::route(const RequestInfo &request, std::span<const state::GroupId> excluded, state::Time now)
{
    return m_directory.route(request, excluded, now);
}

std::optional<state::HostId> HostCoordinator::arbiterOf(const state::GroupId &group, state::Time)
{
    return m_directory.arbiterOf(group);
}

KeyLookupResult HostCoordinator::claimKey(const RequestInfo &request, state::Time)
{
    ClaimTable &claims = m_log.claims();
    const std::string &key = request.idempotencyKey.value();
    if (claims.isCaughtUp()) {
        const KeyView view = claims.view(request.customer, key);
        if (view.state == KeyState::Finished && view.status != UnknownStatus) {
            return KeyLookupResult::Finished;
        }
        if (view.state != KeyState::Free) {
            return KeyLookupResult::InProgress;
        }
    }
    return claims.propose(request.id, request.customer, key) ? KeyLookupResult::Free : KeyLookupResult::Unavailable;
}

void HostCoordinator::releaseKey(const RequestInfo &request, state::Time)
{
    m_pendingClaims.erase(request.id);
    m_log.claims().abandon(request.id);
}

void HostCoordinator::finishKey(const RequestInfo &request, std::optional<int> status, state::Time)
{
    m_log.claims().finish(request.id, status.value_or(UnknownStatus));
}

void HostCoordinator::deliverLocalMessages(state::Time now)
{
    while (!m_localMessages.empty()) {
        const LocalMessage local = std::move(m_localMessages.front());
        m_localMessages.pop_front();
        std::visit(
            [&](const auto &typed) {
                receive(local.from, typed, now);
            },
            local.message);
    }
}

void HostCoordinator::sendReplies(Replies &replies, state::Time now)
{
    for (Reply &reply : replies) {
        send(reply.to, std::move(reply.message), now);
    }
}

void HostCoordinator::applyConfiguration(state::Time now)
{
    const auto configuration = m_log.configuration().configuration();
    m_directory.configure(*configuration);
    m_arbiters.configure(configuration, m_directory.groups());
    m_targetsChanged = true;
    m_requests.setTargets(configuration->targets);
    m_requests.setClaimTimeout(configuration->limits.claimTimeout);
    addAction(ApplyConfiguration{ configuration, m_log.configuration().generation() });
    addAction(WriteLog{ "configuration_in_force",
                        { { "generation", std::to_string(m_log.configuration().generation()) },
                          { "publish_id", m_log.configuration().publishId() } } });
    updateMembership(now);
}

void HostCoordinator::resolveClaims(state::Time now)
{
    for (auto claim = m_pendingClaims.begin(); claim != m_pendingClaims.end();) {
        const state::RequestId id = *claim;
        const ClaimResult result = m_log.claims().result(id);
        if (result == ClaimResult::Pending) {
            ++claim;
            continue;
        }
        claim = m_pendingClaims.erase(claim);
        m_requests.claimResolved(id, toClaimOutcome(result), now);
    }
}

void HostCoordinator::recordOutcome(const SlotRelease &release, state::Time now)
{
    if (auto entry = m_log.versions().observe(release, "", now)) {
        addAction(WriteLog{ "version_halted", { { "version", release.version }, { "detail", entry->detail } } });
        m_log.audit().add(std::move(*entry));
        m_nextHeartbeat = now; // announce the halt to the other hosts immediately
    }
}

void HostCoordinator::copyToLeaseHolder(const state::HostId &arbiter, const SlotRelease &release, state::Time now)
{
    const Group *group = m_directory.groups().find(release.group);
    if (group == nullptr || release.outcome == GrantOutcome::Unused) {
        return;
    }
    const auto holder = m_log.leaseHolder(group->pool, now);
    if (!holder || *holder == arbiter || *holder == m_options.host) {
        return;
    }
    if (const auto peer = m_membership.findHost(*holder)) {
        addAction(SendMessage{ peer->id, peer->address, peer->peerPort, release });
    }
}

bool HostCoordinator::isUsable(const SlotGrant &grant, state::Time now) const
{
    const Group *group = m_directory.groups().groupOfTarget(grant.target);
    if (group == nullptr || m_membership.targetState(grant.target) != state::ListedState::Live) {
        return false;
    }
    // A floor may have been raised after the arbiter issued the grant.
    const auto tier = m_requests.tierOf(grant.request);
    if (tier && *tier > m_gate->lowestGrantable(group->pool, now)) {
        return false;
    }
    return !m_log.versions().isHalted(group->pool, grant.version);
}

} // namespace sapphirecove::coordination
