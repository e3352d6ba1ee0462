#include "coordination/entry/pendingdecisiontable.h"

#include <algorithm>
#include <utility>

namespace sapphirecove::coordination::entry {

namespace {

/** Time without a reply after which the next decider is tried: several round trips between regions and one retry. */
constexpr state::Duration ReplyTimeout = std::chrono::milliseconds(300);

/**
 * Interval between retries of an unanswered decision request, as datagrams may be lost; longer than a round trip
 * between regions.
 */
constexpr state::Duration RetryInterval = std::chrono::milliseconds(90);

/** Interval at which a queued request is sent again, which tells the decider that it still waits. */
constexpr state::Duration RefreshInterval = std::chrono::milliseconds(250);

} // namespace

void PendingDecisionTable::add(ScheduledRequest request)
{
    const std::uint64_t id = request.id;
    m_pending[id].request = std::move(request);
}

std::optional<std::string> PendingDecisionTable::remove(std::uint64_t id)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end()) {
        return std::nullopt;
    }
    const std::string decider = found->second.decider;
    m_pending.erase(found);
    return decider.empty() ? std::nullopt : std::optional(decider);
}

PendingDecisionTable::Due PendingDecisionTable::collectDue(DeciderDirectory &directory,
                                                           std::string_view self,
                                                           bool mayDecideLocally,
                                                           state::Time now)
{
    Due due;
    for (auto item = m_pending.begin(); item != m_pending.end();) {
        Pending &pending = item->second;
        if (!pending.decider.empty()) {
            const state::Time waitingSince = std::max(pending.lastReply, pending.firstRequested);
            if (pending.declined || now - waitingSince > ReplyTimeout) {
                directory.suspect(pending.decider, now);
                due.withdrawals.push_back({ pending.decider, item->first });
                pending.decider.clear();
                pending.declined = false;
            }
        }
        if (pending.decider.empty()) {
            const auto next = directory.decider(now);
            if (!next || *next == self) {
                if (!mayDecideLocally) {
                    ++item;
                    continue;
                }
                due.local.push_back(std::move(pending.request));
                item = m_pending.erase(item);
                continue;
            }
            pending.decider = *next;
            pending.firstRequested = now;
            pending.lastReply = state::Time();
            pending.lastRequested = state::Time();
        }
        const state::Duration interval = pending.lastReply == state::Time() ? RetryInterval : RefreshInterval;
        if (now - pending.lastRequested >= interval) {
            pending.lastRequested = now;
            due.sends.push_back({ pending.decider, pending.request });
        }
        ++item;
    }
    return due;
}

std::optional<Decision> PendingDecisionTable::handleReply(std::string_view decider,
                                                          const DecisionReply &reply,
                                                          state::Time oldestTargets,
                                                          state::Time now)
{
    const auto found = m_pending.find(reply.decision.request);
    if (found == m_pending.end() || found->second.decider != decider) {
        return std::nullopt;
    }
    Pending &pending = found->second;
    pending.lastReply = now;
    if (reply.state == DecisionReply::State::Declined) {
        pending.declined = true;
        return std::nullopt;
    }
    if (reply.state == DecisionReply::State::Queued) {
        return std::nullopt;
    }
    const state::Time decided = state::timeFromMicroseconds(reply.requestSent) + reply.held;
    if (!reply.decision.refusal && now - decided > PlacementLifetime) {
        pending.lastRequested = state::Time(); // Sends the decision request again at once.
        return std::nullopt;
    }
    Decision decision = reply.decision;
    decision.targetsConfirmed = decided - reply.targetsAge;
    if (!decision.refusal && decision.targetsConfirmed < oldestTargets) {
        m_outdated.push_back({ found->first, pending.decider, now - decision.targetsConfirmed });
        pending.declined = true;
        return std::nullopt;
    }
    m_pending.erase(found);
    return decision;
}

} // namespace sapphirecove::coordination::entry
