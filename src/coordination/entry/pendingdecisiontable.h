#pragma once

#include "coordination/entry/deciderdirectory.h"
#include "coordination/entry/decidermessages.h"
#include "state/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sapphirecove::coordination::entry {

/** Requests of this host that wait for a decision of another host. */
class PendingDecisionTable
{
public:
    /** Actions that are due for waiting requests. */
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
        std::vector<Withdrawal> withdrawals; /**< for deciders that timed out or declined */
        std::vector<ScheduledRequest> local; /**< to be decided by this host, as no other host decides */
    };

    void add(ScheduledRequest request);

    /** Removes a request; returns the decider to which it was sent, or nothing if it was not sent yet. */
    std::optional<std::string> remove(std::uint64_t id);

    /**
     * Returns the messages that are due, and moves requests whose decider timed out or declined to the next decider. If
     * no other host decides and @p mayDecideLocally is set, requests are removed and returned in Due::local.
     */
    Due collectDue(DeciderDirectory &directory, std::string_view self, bool mayDecideLocally, state::Time now);

    /** Placement that was not used. */
    struct Outdated
    {
        std::uint64_t request = 0;
        std::string decider;
        state::Duration targetsAge{}; /**< of the list that it was made from */
    };

    /**
     * Processes a reply of @p decider. Returns the decision and removes the request if the decision is valid. A
     * placement that is too old by this host's clock is not used, since the decider may have given the slot to another
     * request. If its list of targets is older than @p oldestTargets, the next decider is asked.
     */
    std::optional<Decision>
    handleReply(std::string_view decider, const DecisionReply &reply, state::Time oldestTargets, state::Time now);

    /** Returns the placements that were made from too old a list of targets since the last call. */
    std::vector<Outdated> takeOutdated()
    {
        return std::exchange(m_outdated, {});
    }

    std::size_t size() const
    {
        return m_pending.size();
    }

private:
    struct Pending
    {
        ScheduledRequest request;
        std::string decider; /**< empty until the request is sent */
        state::Time firstRequested{}; /**< first request to this decider */
        state::Time lastRequested{};
        state::Time lastReply{}; /**< last reply of this decider */
        bool declined = false;
    };

    std::map<std::uint64_t, Pending> m_pending;
    std::vector<Outdated> m_outdated;
};

} // namespace sapphirecove::coordination::entry
