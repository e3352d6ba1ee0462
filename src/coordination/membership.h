#pragma once

#include "coordination/message.h"
#include "coordination/statusreport.h"
#include "state/hostlist.h"
#include "state/time.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirecove::coordination {

/** Identity of this host. */
struct MembershipOptions
{
    state::HostId host;
    state::Incarnation incarnation = 0;
    std::string region;
    std::string failureDomain;
};

/**
 * Membership of the fleet, from the platform's host list and direct heartbeats.
 *
 * The list says which hosts exist and which are leaving, but lags by seconds; heartbeats say which hosts are alive. A
 * host that sends heartbeats but is not listed is alive, but it is never selected for a task, because other hosts may
 * have an older list and not know it.
 */
class Membership
{
public:
    /** A host counts as alive for this long after its last heartbeat. */
    static constexpr state::Duration HeartbeatTimeout = std::chrono::seconds(1);

    static Membership create(const MembershipOptions &options);

    /** Replaces the host list and removes peers that are neither listed nor alive. */
    void updateHostList(const state::HostList &list, state::Time now);

    /**
     * Records a heartbeat. Returns false, and changes nothing, if the process that sent it is outlived or if @p from is
     * this host. A heartbeat that arrives out of order counts for liveness but does not replace newer
     * contents.
     */
    bool recordHeartbeat(const state::HostId &from,
                         state::Incarnation incarnation,
                         const Heartbeat &heartbeat,
                         state::Time now);

    /**
     * Returns whether a later process of @p from has replaced the one with @p incarnation. Incarnations are start times
     * by the time of day, which may be set back before a restart: the higher one holds only while its host is alive.
     */
    bool isOutlived(const state::HostId &from, state::Incarnation incarnation, state::Time now) const;

    /**
     * Shifts the heartbeat times of all peers by the length of a pause of this process, so that the pause does not make
     * every peer look dead. Call it when ticks were missing for more than HeartbeatTimeout.
     */
    void compensatePause(state::Duration pause);

    /**
     * Returns the sequence number for the next round of heartbeats. Numbers start above this host's incarnation, so
     * that an acknowledgement of an earlier incarnation's heartbeat is never taken for one of this incarnation.
     */
    std::uint64_t nextSequence();

    /** Returns the value of Heartbeat::acknowledged for heartbeats to @p peer; 0 if @p peer has sent no heartbeat. */
    std::uint64_t acknowledgedTo(const state::HostId &peer) const;

    /** Returns the highest sequence number of this incarnation that @p peer has acknowledged; 0 if none. */
    std::uint64_t acknowledgedBy(const state::HostId &peer) const;

    /** Returns when @p peer last acknowledged a new sequence number. */
    std::optional<state::Time> lastAcknowledgement(const state::HostId &peer) const;

    /** Returns when the last heartbeat of @p peer arrived. */
    std::optional<state::Time> lastHeartbeat(const state::HostId &peer) const;

    /** Returns the contents of the newest heartbeat of @p peer, or nullptr. Valid until the next non-const call. */
    const Heartbeat *heartbeatOf(const state::HostId &peer) const;

    /** Returns the incarnation in the heartbeats of @p host; 0 if it has sent none. */
    state::Incarnation incarnationOf(const state::HostId &host) const;

    /** Returns all listed hosts, live and leaving, without this host. */
    std::vector<state::ListedHost> peers() const;

    /** Returns the list entry of @p host, which may be this host; empty if it is not listed. */
    std::optional<state::ListedHost> findHost(const state::HostId &host) const;

    /** Returns whether a heartbeat arrived within HeartbeatTimeout; this host is always alive. */
    bool isAlive(const state::HostId &host, state::Time now) const;

    /** Returns all hosts that are alive, including this host, in order of id. */
    std::vector<state::HostId> aliveHosts(state::Time now) const;

    /**
     * Returns the arbiter of @p group, whose targets are in @p region: the host with the highest weight among the hosts
     * of the region that are alive, listed as live and not draining, or among those of any region if there are none.
     * Empty if no host qualifies. Rendezvous hashing, Thaler and Ravishankar, "Using name-based mappings to increase
     * hit rates", IEEE/ACM Transactions on Networking 6(1), 1998; the weight is XXH64 of group and host.
     */
    std::optional<state::HostId>
    arbiterOf(const state::GroupId &group, const std::string &region, state::Time now) const;

    /** Returns the host for a task of no particular region, selected by the rule of arbiterOf over all regions. */
    std::optional<state::HostId> selectHost(std::string_view task, state::Time now) const;

    /** Returns the listed state of @p target; empty if the last list does not name it or no list was read. */
    std::optional<state::ListedState> targetState(const state::TargetId &target) const;

    /** Returns whether a host list has been read since the start. */
    bool hasHostList() const;

    /**
     * Returns whether the view of the peers is reliable: a host list was read, and either every host listed as live has
     * a current heartbeat or HeartbeatTimeout has passed since the first list.
     */
    bool isSettled(state::Time now) const;

    /** Returns the highest configuration generation among live peers; 0 if there are none. */
    state::Generation highestPeerGeneration(state::Time now) const;

    /** Returns the live peer with the highest configuration generation, the first in order of id among equals. */
    std::optional<state::HostId> peerWithHighestGeneration(state::Time now) const;

    /** Sets whether this host is draining; a draining host is not selected for any task. */
    void setDraining(bool draining);
    bool isDraining() const;

    /** Returns one row for each listed or alive peer. */
    std::vector<PeerStatus> status(state::Time now) const;

private:
    struct Peer
    {
        state::Incarnation incarnation = 0;
        state::Time lastHeartbeat{};
        state::Time lastAcknowledgement{};
        std::uint64_t acknowledged = 0;
        Heartbeat heartbeat;
    };

    explicit Membership(const MembershipOptions &options);

    void recordAcknowledgement(Peer &peer, std::uint64_t acknowledged, state::Time now) const;
    bool isEligible(const state::ListedHost &host, state::Time now) const;
    PeerStatus statusOf(const state::HostId &host, state::Time now) const;

    MembershipOptions m_options;
    std::uint64_t m_sequence = 0;
    bool m_draining = false;
    std::optional<state::Time> m_firstList;
    std::map<state::HostId, state::ListedHost> m_hosts;
    std::map<state::TargetId, state::ListedState> m_targets;
    std::map<state::HostId, Peer> m_peers;
};

} // namespace sapphirecove::coordination
