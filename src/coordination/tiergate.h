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
 * Tier floors of all pools as one host knows and announces them (section 3.2 of the design page).
 *
 * One instance serves all arbiters of a host. It keeps guarantee 2: before tier T is shed anywhere, every host in
 * contact has stopped granting the tiers below T.
 */
class TierGate
{
public:
    /** Time for which a floor holds after its last announcement. */
    static constexpr state::Duration FloorDuration = std::chrono::seconds(2);
    /** Silence after which a peer no longer delays a shed. */
    static constexpr state::Duration AcknowledgeTimeout = std::chrono::seconds(1);
    /** Silence of a listed peer after which only tier 0 is granted. */
    static constexpr state::Duration RestrictAfterSilence = std::chrono::milliseconds(600);
    /** Silence of a listed peer after which it no longer restricts grants. */
    static constexpr state::Duration IgnoreAfterSilence = std::chrono::seconds(5);
    /**
     * Time for which a confirmed floor must still hold at a peer when a tier is shed. A peer that hears nothing more
     * must become quiet before its floor ends, and a heartbeat may be on its way for up to 200 ms.
     */
    static constexpr state::Duration MinimumFloorRemaining = std::chrono::milliseconds(800);
    /** Floor that excludes no tier. */
    static constexpr state::Tier NoFloor = std::numeric_limits<state::Tier>::max();

    /** Creates the gate of the host @p self; fails if the name is empty. */
    static state::Result<std::unique_ptr<TierGate>> create(const state::HostId &self);

    /** Replaces the listed peers; @p peers may contain the host itself, which is ignored. */
    void setPeers(std::span<const state::HostId> peers, state::Time now);

    /**
     * Notes that heartbeat @p sequence with the result of floors(@p now) goes to every listed peer.
     * No other call may come between floors() and this one.
     */
    void heartbeatSent(std::uint64_t sequence, state::Time now);

    /** Takes over the floors and the acknowledged sequence of a peer's heartbeat. */
    void heartbeatReceived(const state::HostId &from, const Heartbeat &heartbeat, state::Time now);

    /** Returns the lowest tier (the highest number) of the pool that may be granted now. */
    state::Tier lowestGrantable(const state::PoolId &pool, state::Time now) const;

    /**
     * Returns whether @p tier of the pool may be shed now.
     * The first call raises the floor to @p tier; later calls extend it. The caller repeats the call with every tick
     * until it is allowed: peers that do not answer are passed only if the heartbeats of a whole second announced it.
     * The lowest tier needs no floor, which the caller decides: this function treats every tier alike.
     */
    bool mayShed(const state::PoolId &pool, state::Tier tier, state::Time now);

    /** Returns the floors that the next heartbeat has to carry. */
    std::vector<TierFloor> floors(state::Time now) const;

private:
    struct Peer
    {
        state::Time lastHeard{}; /**< or start of the listing */
        state::Time lastAcknowledgement{}; /**< of a sequence not acknowledged before, or start of the listing */
        std::uint64_t acknowledged = 0;
        bool draining = false; /**< as of its last heartbeat; it arbitrates nothing, so it sheds nothing */
    };

    /** What one heartbeat said about a floor. */
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
    // No peer becomes quiet before this time. Every selection asks for it, and a loop over 350 peers takes longer than
    // the selection itself.
    mutable state::Time m_nextSilence{};
};

} // namespace sapphirecove::coordination
