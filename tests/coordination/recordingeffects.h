#pragma once

#include "coordination/requesteffects.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace sapphirecove::coordination::test {

/** Records the calls of a RequestTable and answers them from public members that the test sets. */
class RecordingEffects : public RequestEffects
{
public:
    void addAction(Action action) override
    {
        actions.push_back(std::move(action));
    }

    void send(const state::HostId &to, Message message, state::Time) override
    {
        messages.emplace_back(to, std::move(message));
    }

    std::optional<Route> route(const RequestInfo &, std::span<const state::GroupId> excluded, state::Time) override
    {
        for (const Route &candidate : routes) {
            if (std::find(excluded.begin(), excluded.end(), candidate.group) == excluded.end()) {
                return candidate;
            }
        }
        return std::nullopt;
    }

    std::optional<state::HostId> arbiterOf(const state::GroupId &group, state::Time) override
    {
        const auto found = arbiters.find(group);
        return found == arbiters.end() ? std::nullopt : std::optional(found->second);
    }

    KeyLookupResult claimKey(const RequestInfo &, state::Time) override
    {
        return keyLookupResult;
    }

    void releaseKey(const RequestInfo &request, state::Time) override
    {
        released.push_back(request.id);
    }

    void finishKey(const RequestInfo &request, std::optional<int> status, state::Time) override
    {
        finished.emplace_back(request.id, status);
    }

    /** Returns the recorded actions of one type, in order. */
    template <typename T>
    std::vector<T> all() const
    {
        std::vector<T> found;
        for (const Action &action : actions) {
            if (const T *typed = std::get_if<T>(&action)) {
                found.push_back(*typed);
            }
        }
        return found;
    }

    /** Returns the messages of one type that were sent to @p host. */
    template <typename T>
    std::vector<T> sentTo(const state::HostId &host) const
    {
        std::vector<T> found;
        for (const auto &[to, message] : messages) {
            const T *typed = std::get_if<T>(&message);
            if (typed != nullptr && to == host) {
                found.push_back(*typed);
            }
        }
        return found;
    }

    Actions actions;
    std::vector<std::pair<state::HostId, Message>> messages;
    std::vector<Route> routes;
    std::map<state::GroupId, state::HostId> arbiters;
    KeyLookupResult keyLookupResult = KeyLookupResult::Free;
    std::vector<state::RequestId> released;
    std::vector<std::pair<state::RequestId, std::optional<int>>> finished;
};

} // namespace sapphirecove::coordination::test
