#include "coordination/membership.h"

#include <algorithm>
#include <xxhash.h>

namespace sapphirecove::coordination {

namespace {

std::uint64_t weightOf(std::string_view task, const state::HostId &host)
{
    std::string text(task);
    text += '\0';
    text += host;
    return XXH64(text.data(), text.size(), 0);
}

/** Returns the candidate with the highest weight for @p task; the first in order of id among equals. */
std::optional<state::HostId> candidateWithHighestWeight(std::string_view task,
                                                        const std::vector<state::HostId> &candidates)
{
    std::optional<state::HostId> best;
    std::uint64_t bestWeight = 0;
    for (const auto &candidate : candidates) {
        const auto weight = weightOf(task, candidate);
        if (!best || weight > bestWeight) {
            best = candidate;
            bestWeight = weight;
        }
    }
    return best;
}

} // namespace

Membership::Membership(const MembershipOptions &options)
    : m_options(options)
    , m_sequence(options.incarnation)
{
}

Membership Membership::create(const MembershipOptions &options)
{
    return Membership(options);
}

void Membership::updateHostList(const state::HostList &list, state::Time now)
{
    m_hosts.clear();
    for (const auto &host : list.hosts) {
        m_hosts[host.id] = host;
    }
    m_targets.clear();
    for (const auto &target : list.targets) {
        m_targets[target.id] = target.state;
    }
    if (!m_firstList) {
        m_firstList = now;
    }
    std::erase_if(m_peers, [&](const auto &item) {
        return !m_hosts.contains(item.first) && !isAlive(item.first, now);
    });
}

bool Membership::recordHeartbeat(const state::HostId &from,
                                 state::Incarnation incarnation,
                                 const Heartbeat &heartbeat,
                                 state::Time now)
{
    if (from == m_options.host) {
        return false;
    }
    if (isOutlived(from, incarnation, now)) {
        return false;
    }
    auto &peer = m_peers[from];
    if (incarnation != peer.incarnation) {
        peer = Peer{};
        peer.incarnation = incarnation;
    }
    peer.lastHeartbeat = std::max(peer.lastHeartbeat, now);
    recordAcknowledgement(peer, heartbeat.acknowledged, now);
    if (heartbeat.sequence >= peer.heartbeat.sequence) {
        peer.heartbeat = heartbeat;
    }
    return true;
}

bool Membership::isOutlived(const state::HostId &from, state::Incarnation incarnation, state::Time now) const
{
    return incarnation < incarnationOf(from) && isAlive(from, now);
}

void Membership::recordAcknowledgement(Peer &peer, std::uint64_t acknowledged, state::Time now) const
{
    const bool isOwn = acknowledged > m_options.incarnation && acknowledged <= m_sequence;
    if (isOwn && acknowledged > peer.acknowledged) {
        peer.acknowledged = acknowledged;
        peer.lastAcknowledgement = now;
    }
}

void Membership::compensatePause(state::Duration pause)
{
    for (auto &[host, peer] : m_peers) {
        peer.lastHeartbeat += pause;
        peer.lastAcknowledgement += pause;
    }
}

std::uint64_t Membership::nextSequence()
{
    return ++m_sequence;
}

std::uint64_t Membership::acknowledgedTo(const state::HostId &peer) const
{
    const auto found = m_peers.find(peer);
    return found == m_peers.end() ? 0 : found->second.heartbeat.sequence;
}

std::uint64_t Membership::acknowledgedBy(const state::HostId &peer) const
{
    const auto found = m_peers.find(peer);
    return found == m_peers.end() ? 0 : found->second.acknowledged;
}

std::optional<state::Time> Membership::lastAcknowledgement(const state::HostId &peer) const
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end() || found->second.acknowledged == 0) {
        return std::nullopt;
    }
    return found->second.lastAcknowledgement;
}

std::optional<state::Time> Membership::lastHeartbeat(const state::HostId &peer) const
{
    const auto found = m_peers.find(peer);
    return found == m_peers.end() ? std::nullopt : std::optional(found->second.lastHeartbeat);
}

const Heartbeat *Membership::heartbeatOf(const state::HostId &peer) const
{
    const auto found = m_peers.find(peer);
    return found == m_peers.end() ? nullptr : &found->second.heartbeat;
}

state::Incarnation Membership::incarnationOf(const state::HostId &host) const
{
    if (host == m_options.host) {
        return m_options.incarnation;
    }
    const auto found = m_peers.find(host);
    return found == m_peers.end() ? 0 : found->second.incarnation;
}

std::vector<state::ListedHost> Membership::peers() const
{
    std::vector<state::ListedHost> result;
    for (const auto &[id, host] : m_hosts) {
        if (id != m_options.host) {
            result.push_back(host);
        }
    }
    return result;
}

std::optional<state::ListedHost> Membership::findHost(const state::HostId &host) const
{
    const auto found = m_hosts.find(host);
    return found == m_hosts.end() ? std::nullopt : std::optional(found->second);
}

bool Membership::isAlive(const state::HostId &host, state::Time now) const
{
    if (host == m_options.host) {
        return true;
    }
    const auto found = m_peers.find(host);
    return found != m_peers.end() && now - found->second.lastHeartbeat < HeartbeatTimeout;
}

std::vector<state::HostId> Membership::aliveHosts(state::Time now) const
{
    std::vector<state::HostId> result{ m_options.host };
    for (const auto &[id, peer] : m_peers) {
        if (isAlive(id, now)) {
            result.push_back(id);
        }
    }
    std::sort(result.begin(), result.end());
    return result;
}

bool Membership::isEligible(const state::ListedHost &host, state::Time now) const
{
    if (host.state != state::ListedState::Live || !isAlive(host.id, now)) {
        return false;
    }
    if (host.id == m_options.host) {
        return !m_draining;
    }
    return !m_peers.at(host.id).heartbeat.draining;
}

std::optional<state::HostId>
Membership::arbiterOf(const state::GroupId &group, const std::string &region, state::Time now) const
{
    std::vector<state::HostId> ofRegion;
    std::vector<state::HostId> all;
    for (const auto &[id, host] : m_hosts) {
        if (!isEligible(host, now)) {
            continue;
        }
        all.push_back(id);
        if (host.region == region) {
            ofRegion.push_back(id);
        }
    }
    return candidateWithHighestWeight(group, ofRegion.empty() ? all : ofRegion);
}

std::optional<state::HostId> Membership::selectHost(std::string_view task, state::Time now) const
{
    std::vector<state::HostId> candidates;
    for (const auto &[id, host] : m_hosts) {
        if (isEligible(host, now)) {
            candidates.push_back(id);
        }
    }
    return candidateWithHighestWeight(task, candidates);
}

std::optional<state::ListedState> Membership::targetState(const state::TargetId &target) const
{
    const auto found = m_targets.find(target);
    return found == m_targets.end() ? std::nullopt : std::optional(found->second);
}

bool Membership::hasHostList() const
{
    return m_firstList.has_value();
}

bool Membership::isSettled(state::Time now) const
{
    if (!m_firstList) {
        return false;
    }
    if (now - *m_firstList >= HeartbeatTimeout) {
        return true;
    }
    return std::all_of(m_hosts.begin(), m_hosts.end(), [&](const auto &item) {
        return item.second.state == state::ListedState::Leaving || isAlive(item.first, now);
    });
}

state::Generation Membership::highestPeerGeneration(state::Time now) const
{
    const auto peer = peerWithHighestGeneration(now);
    return peer ? m_peers.at(*peer).heartbeat.generation : 0;
}

std::optional<state::HostId> Membership::peerWithHighestGeneration(state::Time now) const
{
    std::optional<state::HostId> best;
    for (const auto &[id, peer] : m_peers) {
        if (isAlive(id, now) && (!best || peer.heartbeat.generation > m_peers.at(*best).heartbeat.generation)) {
            best = id;
        }
    }
    return best;
}

void Membership::setDraining(bool draining)
{
    m_draining = draining;
}

bool Membership::isDraining() const
{
    return m_draining;
}

PeerStatus Membership::statusOf(const state::HostId &host, state::Time now) const
{
    PeerStatus status;
    status.id = host;
    status.listed = m_hosts.contains(host);
    const auto found = m_peers.find(host);
    if (found == m_peers.end()) {
        return status;
    }
    const auto &peer = found->second;
    status.incarnation = peer.incarnation;
    status.alive = isAlive(host, now);
    status.draining = peer.heartbeat.draining;
    status.ready = peer.heartbeat.ready;
    status.generation = peer.heartbeat.generation;
    status.timeSinceHeartbeat = now - peer.lastHeartbeat;
    return status;
}

std::vector<PeerStatus> Membership::status(state::Time now) const
{
    std::vector<PeerStatus> rows;
    for (const auto &[id, host] : m_hosts) {
        if (id != m_options.host) {
            rows.push_back(statusOf(id, now));
        }
    }
    for (const auto &[id, peer] : m_peers) {
        if (!m_hosts.contains(id) && isAlive(id, now)) {
            rows.push_back(statusOf(id, now));
        }
    }
    return rows;
}

} // namespace sapphirecove::coordination
