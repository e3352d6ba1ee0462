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

/** Reply and the process that it goes to. */
struct AddressedReply
{
    HostProcess to;
    DecisionReply reply;
};

/**
 * Requests of other hosts that this host decides about. They wait and count in its Scheduler like its own.
 *
 * A placed request holds its slot until its host says that it has ended, or until a report of that host leaves it out,
 * or until the host has been silent for long.
 */
class RemoteRequestTable
{
public:
    RemoteRequestTable(Scheduler &scheduler, std::string host, std::uint64_t incarnation);

    /** Takes @p ask; @p localId is a new id of the scheduler for it. Returns the reply. */
    AddressedReply asked(const DecisionRequest &ask, std::uint64_t localId, state::Time now);

    /** Takes @p ask while this host does not decide: it keeps what was decided, and nothing waits. */
    AddressedReply declined(const DecisionRequest &ask);

    /** Returns the reply for a decision of the scheduler, or nothing if the request is this host's own. */
    std::optional<AddressedReply> decided(const Decision &decision, state::Time now);

    /** Takes what has become of a request. */
    void received(const AttemptUpdate &news, state::Time now);

    /** Ends what the sender of @p report does not run any more. */
    void reported(const PeerReport &report, state::Time now);

    /** Drops requests whose hosts have stopped to ask, and slots of hosts that are gone. */
    void expire(state::Time now);

    /** Forgets what waits: after a pause of this process its hosts have turned to another decider. */
    void forgetWaiting();

    /** Returns whether another host has asked within the last seconds. */
    bool askedLately(state::Time now) const;

private:
    struct Entry
    {
        HostProcess requester;
        std::uint64_t askerId = 0;
        std::int64_t sent = 0; /**< Ask::sent of the first ask */
        state::Time received{};
        state::Time lastAsked{};
        std::optional<DecisionReply> reply; /**< once decided */
        state::Time decided{};
        state::Time heard{}; /**< last sign of the host while the request holds a slot */
    };

    using Key = std::pair<std::uint64_t, std::uint64_t>; /**< incarnation and id of the asker */

    DecisionReply replyTo(const Entry &entry, DecisionReply::State state) const;
    void erase(std::uint64_t localId);
    void abandon(std::uint64_t localId, state::Time now);

    Scheduler &m_scheduler;
    std::string m_host;
    std::uint64_t m_incarnation;
    std::unordered_map<std::uint64_t, Entry> m_entries; /**< by the scheduler's id */
    std::map<Key, std::uint64_t> m_localIds;
    state::Time m_lastAsk{};
};

} // namespace sapphirecove::coordination::entry
