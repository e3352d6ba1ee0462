#pragma once

#include "coordination/entry/peerreport.h"
#include "coordination/entry/targettable.h"
#include "state/time.h"

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
 * Latest report of each peer. The load of a live peer counts at its targets; a silent peer's does not, since its
 * requests end with it.
 */
class PeerTable
{
public:
    /** A peer is live while its last report is younger than this: several report intervals, and a short pause. */
    static constexpr state::Duration LiveFor = std::chrono::milliseconds(1200);

    /** A peer that stays silent this long is forgotten. */
    static constexpr state::Duration ForgetAfter = std::chrono::seconds(30);

    /** Learns the address of a peer. */
    void introduce(const std::string &host, const std::string &address, std::uint16_t port, state::Time now);

    /** Takes @p report unless a newer one of that peer is known; returns whether it was taken. */
    bool receive(PeerReport report, TargetTable &targets, state::Time now);

    /** Removes the load of peers that fell silent; returns their names. */
    std::vector<std::string> expire(TargetTable &targets, state::Time now);

    /** Counts the reported load again, after the set of targets changed. */
    void recount(TargetTable &targets);

    /** Returns how many requests of @p service wait at live peers with a rank above @p rank. */
    std::uint32_t waitingAbove(std::uint32_t service, double rank) const;

    /** Returns how many requests of @p service wait at live peers. */
    std::uint32_t waiting(std::uint32_t service) const;

    /** Returns the interval at which hosts report what changes; it grows with their number. */
    state::Duration reportInterval() const;

    /** Returns how many live peers there are. */
    std::size_t liveCount() const;

    /** Returns how many live hosts there are, this one included. */
    std::size_t liveHosts() const
    {
        return liveCount() + 1;
    }

    /** Returns whether no live peer has a name before @p host. */
    bool isFirst(std::string_view host) const;

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
    static void count(const Peer &peer, int sign, TargetTable &targets);

    std::map<std::string, Peer, std::less<>> m_peers;
};

} // namespace sapphirecove::coordination::entry
