#pragma once

#include "coordination/entry/deciderdirectory.h"
#include "coordination/entry/decidermessages.h"
#include "state/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirecove::coordination::entry {

/** Requests of this host for which another host was asked to decide. */
class PendingDecisionTable
{
public:
    /** What to do about waiting requests now. */
    struct Due
    {
        struct Send
        {
            std::string decider;
            ScheduledRequest request;
        };

        struct Withdrawal
        {
            std::string decider;
            std::uint64_t request = 0;
        };

        std::vector<Send> sends;
        std::vector<Withdrawal> withdrawals; /**< from deciders that were given up */
        std::vector<ScheduledRequest> own; /**< nobody else decides: this host does */
    };

    /** Adds a request. */
    void add(ScheduledRequest request);

    /** Removes a request; returns the decider that was asked, or nothing if none was. */
    std::optional<std::string> remove(std::uint64_t id);

    /**
     * Returns what to send, and moves requests whose decider is silent to the next one. Requests that nobody decides
     * about leave the book, if @p alone allows that this host decides by itself.
     */
    Due due(DeciderDirectory &directory, std::string_view self, bool alone, state::Time now);

    /**
     * Takes a reply of @p decider. Returns the decision, which ends the wait, if it still holds: a permission that was
     * given too long ago, by this host's clock, may have been given to another request since.
     */
    std::optional<Decision> replied(std::string_view decider, const DecisionReply &reply, state::Time now);

    std::size_t size() const
    {
        return m_asks.size();
    }

private:
    struct Pending
    {
        ScheduledRequest request;
        std::string decider; /**< empty until one was asked */
        state::Time firstAsked{}; /**< of this decider */
        state::Time lastAsked{};
        state::Time heard{}; /**< last reply of this decider */
        bool declined = false;
    };

    std::map<std::uint64_t, Pending> m_asks;
};

} // namespace sapphirecove::coordination::entry
