#pragma once

#include "coordination/entry/peerreport.h"
#include "coordination/entry/processregistry.h"
#include "coordination/entry/targettable.h"
#include "state/time.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace sapphirecove::coordination::entry {

/** Peer as this host knows it. */
struct Peer
{
    PeerReport report;
    state::Time lastReportAt{}; /**< last report; zero if there was none */
    state::Time addedAt{}; /**< when this host learned of it */
    bool live = false; /**< its load is counted at the targets */
    std::string address;
    std::uint16_t port = 0;
};

/**
 * Latest report of each peer. The load of a live peer is counted at its targets, except for requests that this host
 * itself has placed there. The load of a peer that stopped reporting is not counted.
 */
class PeerTable
{
public:
    /** Maximum age of the last report of a live peer: several report intervals and a short pause. */
    static constexpr state::Duration LiveFor = std::chrono::milliseconds(1200);

    /** @p self is the processHash() of this process. */
    explicit PeerTable(std::uint32_t self = 0);

    /** Time without reports after which a peer is removed. */
    static constexpr state::Duration ForgetAfter = std::chrono::seconds(30);

    /**
     * Time for which a peer that stopped reporting, without having said that it stops, counts as cut off: partitions of
     * some minutes are usual.
     */
    static constexpr state::Duration CutOffFor = std::chrono::minutes(10);

    /** Adds a peer or updates its address. */
    void addPeer(const std::string &host, const std::string &address, std::uint16_t port, state::Time now);

    /**
     * Stores @p report unless a newer one of that peer is known, or another process has replaced the one that sent it;
     * returns whether it was stored.
     */
    bool receive(PeerReport report, TargetTable &targets, state::Time now);

    /** Removes the load of peers that stopped reporting; returns their names. */
    std::vector<std::string> expire(TargetTable &targets, state::Time now);

    /** Counts the reported load again after the set of targets has changed. */
    void recount(TargetTable &targets);

    /** Returns a live peer whose configuration has at least @p version; nullptr if there is none. */
    const Peer *findWithConfiguration(std::uint64_t version) const;

    /** Returns how many live peers there are. */
    std::size_t liveCount() const;

    /** Returns how many live hosts there are, this one included. */
    std::size_t liveHosts() const
    {
        return liveCount() + 1;
    }

    /** Returns how many peers are known, including those that stopped reporting. */
    std::size_t knownCount() const
    {
        return m_peers.size();
    }

    /** Returns how many peers the fleet has: those that are known, or that may be cut off from this host. */
    std::size_t fleetCount() const
    {
        return std::max(m_peers.size(), m_lastReports.size());
    }

    /** Processes of the peers, as all their messages show them. */
    ProcessRegistry &processes()
    {
        return m_processes;
    }

    const std::map<std::string, Peer, std::less<>> &peers() const
    {
        return m_peers;
    }

private:
    void count(const Peer &peer, int sign, TargetTable &targets) const;

    struct LastReport
    {
        state::Time at{};
        bool stopping = false;
    };

    std::uint32_t m_self;
    ProcessRegistry m_processes;
    std::map<std::string, Peer, std::less<>> m_peers;
    std::map<std::string, LastReport, std::less<>> m_lastReports; /**< of peers that may be cut off, too */
};

} // namespace sapphirecove::coordination::entry
