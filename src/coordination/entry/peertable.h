#pragma once

#include "coordination/entry/peerreport.h"
#include "coordination/entry/targettable.h"
#include "state/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace sapphirecove::coordination::entry {

/** Peer as this host knows it. */
struct Peer
{
    PeerReport report;
    state::Time heard{}; /**< last report; zero if there was none */
    state::Time introduced{}; /**< when this host learned of it */
    bool live = false; /**< its load counts */
    std::string address;
    std::uint16_t port = 0;
};

/**
 * Latest report of each peer. The load of a live peer counts at its targets, except for what this host itself has
 * placed there; a silent peer's does not count.
 */
class PeerTable
{
public:
    /** A peer is live while its last report is younger than this: several report intervals, and a short pause. */
    static constexpr state::Duration LiveFor = std::chrono::milliseconds(1200);

    /** @p self is the processHash() of this process. */
    explicit PeerTable(std::uint32_t self = 0);

    /** A peer that stays silent this long is forgotten. */
    static constexpr state::Duration ForgetAfter = std::chrono::seconds(30);

    /** Learns the address of a peer. */
    void addPeer(const std::string &host, const std::string &address, std::uint16_t port, state::Time now);

    /** Takes @p report unless a newer one of that peer is known; returns whether it was taken. */
    bool receive(PeerReport report, TargetTable &targets, state::Time now);

    /** Removes the load of peers that fell silent; returns their names. */
    std::vector<std::string> expire(TargetTable &targets, state::Time now);

    /** Counts the reported load again, after the set of targets changed. */
    void recount(TargetTable &targets);

    /** Returns how many live peers there are. */
    std::size_t liveCount() const;

    /** Returns how many live hosts there are, this one included. */
    std::size_t liveHosts() const
    {
        return liveCount() + 1;
    }

    /** Returns how many peers are known, silent ones included. */
    std::size_t knownCount() const
    {
        return m_peers.size();
    }

    const std::map<std::string, Peer, std::less<>> &peers() const
    {
        return m_peers;
    }

private:
    void count(const Peer &peer, int sign, TargetTable &targets) const;

    std::uint32_t m_self;
    std::map<std::string, Peer, std::less<>> m_peers;
};

} // namespace sapphirecove::coordination::entry
