#include "coordination/tiergate.h"

#include <algorithm>
#include <utility>

namespace sapphirecove::coordination {

namespace {

/** Announcements kept for each floor; enough for the last second even if every new floor triggers a heartbeat. */
constexpr std::size_t MaximumAnnouncements = 64;

} // namespace

TierGate::TierGate(state::HostId self)
    : m_self(std::move(self))
{
}

state::Result<std::unique_ptr<TierGate>> TierGate::create(const state::HostId &self)
{
    if (self.empty()) {
        return state::fail("tiergate.create", "", "the host has no name");
    }
    return std::unique_ptr<TierGate>(new TierGate(self));
}

void TierGate::setPeers(std::span<const state::HostId> peers, state::Time now)
{
    std::map<state::HostId, Peer> listed;
    for (const state::HostId &peer : peers) {
        if (peer == m_self) {
            continue;
        }
        const auto known = m_peers.find(peer);
        listed[peer] = known == m_peers.end() ? Peer{ .lastHeard = now, .lastAcknowledgement = now } : known->second;
    }
    m_peers = std::move(listed);
    m_nextSilence = {};
}

void TierGate::heartbeatSent(std::uint64_t sequence, state::Time now)
{
    for (auto &[pool, floors] : m_ownFloors) {
        std::erase_if(floors, [&](const auto &floor) {
            return floor.second.expires <= now;
        });
        for (auto &[tier, floor] : floors) {
            floor.announcements.push_back({ .heartbeat = sequence, .sentAt = now, .expires = floor.expires });
            if (floor.announcements.size() > MaximumAnnouncements) {
                floor.announcements.pop_front();
            }
        }
    }
}

void TierGate::heartbeatReceived(const state::HostId &from, const Heartbeat &heartbeat, state::Time now)
{
    // A floor is only ever extended: a delayed heartbeat must not remove a floor that was announced after it.
    for (const TierFloor &floor : heartbeat.floors) {
        state::Time &expires = m_receivedFloors[floor.pool][floor.tier];
        expires = std::max(expires, now + std::min(floor.remaining, FloorDuration));
    }
    const auto position = m_peers.find(from);
    if (position == m_peers.end()) {
        return;
    }
    Peer &peer = position->second;
    peer.lastHeard = now;
    peer.draining = heartbeat.draining;
    if (heartbeat.acknowledged > peer.acknowledged) {
        peer.lastAcknowledgement = now;
    }
    // A lower number comes from a peer that has restarted and has lost the floors.
    peer.acknowledged = heartbeat.acknowledged;
}

state::Tier TierGate::lowestGrantable(const state::PoolId &pool, state::Time now) const
{
    if (isAnyPeerSilent(now)) {
        return 0;
    }
    state::Tier lowest = NoFloor;
    if (const auto own = m_ownFloors.find(pool); own != m_ownFloors.end()) {
        for (const auto &[tier, floor] : own->second) {
            lowest = floor.expires > now ? std::min(lowest, tier) : lowest;
        }
    }
    if (const auto received = m_receivedFloors.find(pool); received != m_receivedFloors.end()) {
        for (const auto &[tier, expires] : received->second) {
            lowest = expires > now ? std::min(lowest, tier) : lowest;
        }
    }
    return lowest;
}

bool TierGate::mayShed(const state::PoolId &pool, state::Tier tier, state::Time now)
{
    OwnFloor &floor = m_ownFloors[pool][tier];
    if (floor.expires <= now) {
        floor = OwnFloor{ .sequence = ++m_floorSequence };
    }
    floor.expires = now + FloorDuration;
    return isConfirmed(floor, now);
}

std::vector<TierFloor> TierGate::floors(state::Time now) const
{
    std::vector<TierFloor> result;
    for (const auto &[pool, floors] : m_ownFloors) {
        for (const auto &[tier, floor] : floors) {
            if (floor.expires > now) {
                result.push_back(
                    { .pool = pool, .tier = tier, .sequence = floor.sequence, .remaining = floor.expires - now });
            }
        }
    }
    return result;
}

bool TierGate::isConfirmed(const OwnFloor &floor, state::Time now) const
{
    return std::ranges::all_of(m_peers, [&](const auto &peer) {
        return hasConfirmed(peer.second, floor, now);
    });
}

bool TierGate::hasConfirmed(const Peer &peer, const OwnFloor &floor, state::Time now)
{
    // The announced expiry never moves back, so this heartbeat and all later ones cover the shed.
    const auto covering = std::ranges::find_if(floor.announcements, [&](const Announcement &announcement) {
        return announcement.expires >= now + MinimumFloorRemaining;
    });
    if (covering == floor.announcements.end()) {
        return false;
    }
    if (peer.acknowledged >= covering->heartbeat) {
        return true;
    }
    // A peer whose acknowledgements are lost has either received one of these heartbeats, or has received none and then
    // stops granting lower tiers by itself after RestrictAfterSilence.
    return now - std::max(peer.lastAcknowledgement, covering->sentAt) >= AcknowledgeTimeout;
}

bool TierGate::isAnyPeerSilent(state::Time now) const
{
    if (now < m_nextSilence) {
        return false;
    }
    state::Time next = now + RestrictAfterSilence;
    for (const auto &[id, peer] : m_peers) {
        const state::Duration silence = now - peer.lastHeard;
        if (!peer.draining && silence >= RestrictAfterSilence && silence < IgnoreAfterSilence) {
            return true;
        }
        if (silence < RestrictAfterSilence) {
            next = std::min(next, peer.lastHeard + RestrictAfterSilence);
        }
    }
    m_nextSilence = next;
    return false;
}

} // namespace sapphirecove::coordination
