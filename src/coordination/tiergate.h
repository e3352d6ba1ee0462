#pragma once

#include "coordination/message.h"
#include "state/failure.h"
#include "state/identifiers.h"
#include "state/time.h"

#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <span>
#include <vector>

namespace sapphirecove::coordination {

/**
 * Tier floors of all pools that one host has received or announces (section 3.2 of docs/design.md).
 *
 * A floor at tier T forbids grants to the tiers below T. One instance serves all arbiters of a host. It upholds
 * guarantee 2: before tier T is shed anywhere, every host in contact has stopped granting the tiers below T.
 */
class TierGate
{
public:
    /** Time for which a floor holds after it was last raised or extended. */
    static constexpr state::Duration FloorDuration = std::chrono::seconds(2);
    /** Time without a new acknowledgement after which a peer no longer delays a shed. */
    static constexpr state::Duration AcknowledgeTimeout = std::chrono::seconds(1);
    /** Time without a heartbeat from a listed peer after which only tier 0 is granted. */
    static constexpr state::Duration RestrictAfterSilence = std::chrono::milliseconds(600);
    /** Time without a heartbeat from a listed peer after which the peer no longer restricts grants. */
    static constexpr state::Duration IgnoreAfterSilence = std::chrono::seconds(5);
    /**
     * Time for which a confirmed floor must still hold at a peer when a tier is shed. A peer that receives nothing more
     * must reach RestrictAfterSilence before its floor ends, and a heartbeat may be in flight for up to 200 ms.
     */
    static constexpr state::Duration MinimumFloorRemaining = std::chrono::milliseconds(800);
    /** Floor that excludes no tier. */
    static constexpr state::Tier NoFloor = std::numeric_limits<state::Tier>::max();

    /** Creates the gate of the host @p self; fails if the name is empty. */
    static state::Result<std::unique_ptr<TierGate>> create(const state::HostId &self);

    /** Replaces the listed peers; @p peers may contain the host itself, which is ignored. */
    void setPeers(std::span<const state::HostId> peers, state::Time now);

    /**
     * Records that heartbeat @p sequence, with the result of floors(@p now), is sent to every listed peer.
     * No other call may come between floors() and this one.
     */
    void heartbeatSent(std::uint64_t sequence, state::Time now);

    /** Applies the floors and the acknowledged sequence of a heartbeat of a peer. */
    void heartbeatReceived(const state::HostId &from, const Heartbeat &heartbeat, state::Time now);

    /** Returns the lowest tier (the highest number) of the pool that may be granted now. */
    state::Tier lowestGrantable(const state::PoolId &pool, state::Time now) const;

    /**
     * Returns whether @p tier of the pool may be shed now.
     * The first call raises the floor to @p tier; later calls extend it. The caller repeats the call with every tick
     * until it returns true. A peer that does not acknowledge is ignored only after the floor has been announced for
     * AcknowledgeTimeout. The lowest tier needs no floor, which is up to the caller: this function treats all tiers
     * alike.
     */
    bool mayShed(const state::PoolId &pool, state::Tier tier, state::Time now);

    /** Returns the floors for the next heartbeat. */
    std::vector<TierFloor> floors(state::Time now) const;

private:
    struct Peer
    {
        state::Time lastHeard{}; /**< time of the last heartbeat, or at first the time of listing */
        state::Time lastAcknowledgement{}; /**< of a new sequence, or at first the time of listing */
        std::uint64_t acknowledged = 0;
        bool draining = false; /**< as of its last heartbeat; a draining host has no arbiters, so it sheds nothing */
    };

    /** Announcement of a floor by one heartbeat. */
    struct Announcement
    {
        std::uint64_t heartbeat = 0;
        state::Time sentAt{};
        state::Time expires{};
    };

    struct OwnFloor
    {
        std::uint64_t sequence = 0;
        state::Time expires{};
        std::deque<Announcement> announcements;
    };

    explicit TierGate(state::HostId self);

    bool isConfirmed(const OwnFloor &floor, state::Time now) const;
    static bool hasConfirmed(const Peer &peer, const OwnFloor &floor, state::Time now);
    bool isAnyPeerSilent(state::Time now) const;

    state::HostId m_self;
    std::map<state::HostId, Peer> m_peers;
    std::map<state::PoolId, std::map<state::Tier, OwnFloor>> m_ownFloors;
    std::map<state::PoolId, std::map<state::Tier, state::Time>> m_receivedFloors; // time at which the floor expires
    std::uint64_t m_floorSequence = 0;
    // No peer reaches RestrictAfterSilence before this time. It is cached because every selection needs it, and a loop
    // over 350 peers takes longer than the selection itself.
    mutable state::Time m_nextSilence{};
};

} // namespace sapphirecove::coordination
