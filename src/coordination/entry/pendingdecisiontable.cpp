#include "coordination/entry/pendingdecisiontable.h"

#include <algorithm>
#include <utility>

namespace sapphirecove::coordination::entry {

namespace {

/** Time without any reply after which a decider is given up: some round trips between regions and a repeated ask. */
constexpr state::Duration SilenceLimit = std::chrono::milliseconds(300);

/** Time after which an ask without a reply is repeated: datagrams get lost; above a round trip between regions. */
constexpr state::Duration RepeatUnanswered = std::chrono::milliseconds(90);

/** Interval at which a waiting request is asked for again, which tells the decider that it still waits. */
constexpr state::Duration RepeatQueued = std::chrono::milliseconds(250);

} // namespace

void PendingDecisionTable::add(ScheduledRequest request)
{
    const std::uint64_t id = request.id;
    m_asks[id].request = std::move(request);
}

std::optional<std::string> PendingDecisionTable::remove(std::uint64_t id)
{
    const auto found = m_asks.find(id);
    if (found == m_asks.end()) {
        return std::nullopt;
    }
    const std::string decider = found->second.decider;
    m_asks.erase(found);
    return decider.empty() ? std::nullopt : std::optional(decider);
}

PendingDecisionTable::Due
PendingDecisionTable::due(DeciderDirectory &directory, std::string_view self, bool alone, state::Time now)
{
    Due due;
    for (auto item = m_asks.begin(); item != m_asks.end();) {
        Pending &pending = item->second;
        if (!pending.decider.empty()) {
            const state::Time heard = std::max(pending.heard, pending.firstAsked);
            if (pending.declined || now - heard > SilenceLimit) {
                directory.suspect(pending.decider, now);
                due.withdrawals.push_back({ pending.decider, item->first });
                pending.decider.clear();
                pending.declined = false;
            }
        }
        if (pending.decider.empty()) {
            const auto next = directory.decider(now);
            if (!next || *next == self) {
                if (!alone) {
                    ++item;
                    continue;
                }
                due.own.push_back(std::move(pending.request));
                item = m_asks.erase(item);
                continue;
            }
            pending.decider = *next;
            pending.firstAsked = now;
            pending.heard = state::Time();
            pending.lastAsked = state::Time();
        }
        const state::Duration interval = pending.heard == state::Time() ? RepeatUnanswered : RepeatQueued;
        if (now - pending.lastAsked >= interval) {
            pending.lastAsked = now;
            due.sends.push_back({ pending.decider, pending.request });
        }
        ++item;
    }
    return due;
}

std::optional<Decision>
PendingDecisionTable::replied(std::string_view decider, const DecisionReply &reply, state::Time now)
{
    const auto found = m_asks.find(reply.decision.request);
    if (found == m_asks.end() || found->second.decider != decider) {
        return std::nullopt;
    }
    Pending &pending = found->second;
    pending.heard = now;
    if (reply.state == DecisionReply::State::Declined) {
        pending.declined = true;
        return std::nullopt;
    }
    if (reply.state == DecisionReply::State::Queued) {
        return std::nullopt;
    }
    const state::Time decided = state::timeFromMicroseconds(reply.requestSent) + reply.held;
    if (!reply.decision.refusal && now - decided > PlacementLifetime) {
        pending.lastAsked = state::Time(); // Asked for again at once.
        return std::nullopt;
    }
    m_asks.erase(found);
    return reply.decision;
}

} // namespace sapphirecove::coordination::entry
