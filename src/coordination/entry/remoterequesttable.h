#pragma once

#include "coordination/entry/decidermessages.h"
#include "coordination/entry/scheduler.h"
#include "state/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sapphirecove::coordination::entry {

/** Reply and the process to which it is sent. */
struct AddressedReply
{
    HostProcess to;
    DecisionReply reply;
};

/**
 * Requests of other hosts for which this host decides. They wait and count in its Scheduler like its own.
 *
 * A placed request holds its slot until its host reports that it has ended, until a report of its host no longer lists
 * it, or until its host has not reported for several seconds.
 */
class RemoteRequestTable
{
public:
    RemoteRequestTable(Scheduler &scheduler, std::string host, std::uint64_t incarnation);

    /**
     * Queues the request of @p message, or renews it if it is known; @p localId is a new scheduler id for it. Returns
     * the reply.
     */
    AddressedReply handleRequest(const DecisionRequest &message, std::uint64_t localId, state::Time now);

    /**
     * Replies to @p message while this host does not decide: earlier decisions stay valid, waiting requests are
     * dropped.
     */
    AddressedReply decline(const DecisionRequest &message, state::Time now);

    /** Records a decision of the scheduler. Returns the reply, or nothing if the request is this host's own. */
    std::optional<AddressedReply> recordDecision(const Decision &decision, state::Time now);

    /**
     * Processes the progress, the end or the withdrawal of a request. Returns false, and changes nothing, if it is
     * meant for an earlier process of this host.
     */
    bool handleUpdate(const AttemptUpdate &update, state::Time now);

    /** Ends the requests that the sender of @p report no longer runs, and those that its predecessors waited for. */
    void handleReport(const PeerReport &report, state::Time now);

    /** Drops requests that their hosts no longer renew, and frees the slots of hosts that timed out. */
    void expire(state::Time now);

    /** Drops the waiting requests. After a pause of this process, their hosts have turned to another decider. */
    void dropWaiting(state::Time now);

    /** Drops the waiting requests of earlier processes of @p host, as the one with @p incarnation has taken over. */
    void dropPredecessors(std::string_view host, std::uint64_t incarnation, state::Time now);

    /** Returns whether another host has sent a decision request within the last seconds. */
    bool hasRecentRequests(state::Time now) const;

private:
    struct Entry
    {
        HostProcess requester;
        std::uint64_t requesterId = 0;
        std::int64_t sent = 0; /**< DecisionRequest::sent of the first request */
        state::Time received{};
        state::Time lastRequested{};
        std::optional<DecisionReply> reply; /**< set once decided */
        state::Time decided{};
        state::Time lastSeen{}; /**< last evidence that the host is alive while the request holds a slot */
    };

    using Key = std::pair<std::uint64_t, std::uint64_t>; /**< incarnation and request id of the requester */

    DecisionReply replyTo(const Entry &entry, DecisionReply::State state) const;
    template <typename Predicate>
    void dropWaitingIf(Predicate predicate, state::Time now);
    void erase(std::uint64_t localId);
    void abandon(std::uint64_t localId, state::Time now);

    Scheduler &m_scheduler;
    std::string m_host;
    std::uint64_t m_incarnation;
    std::uint32_t m_processHash;
    std::unordered_map<std::uint64_t, Entry> m_entries; /**< by the scheduler's id */
    std::map<Key, std::uint64_t> m_localIds;
    state::Time m_lastRequest{};
};

} // namespace sapphirecove::coordination::entry
