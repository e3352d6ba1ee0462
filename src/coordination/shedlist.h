#pragma once

#include "state/identifiers.h"

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace sapphirecove::coordination {

/** Slot requests that will be denied as soon as the tier gate allows it. */
class ShedList
{
public:
    /** Slot request to deny. */
    struct Item
    {
        state::RequestId request;
        state::HostId from;
    };

    void add(state::Tier tier, const state::RequestId &request, const state::HostId &from);

    bool contains(const state::RequestId &request) const;

    /** Removes a slot request that was withdrawn. */
    void remove(const state::RequestId &request);

    /** Removes all slot requests of a host. */
    void removeHost(const state::HostId &host);

    /** Returns the tiers with entries, lowest tier (highest number) first. */
    std::vector<state::Tier> tiers() const;

    /** Removes and returns the slot requests of a tier and of all lower ones, lowest tier first. */
    std::vector<Item> take(state::Tier tier);

    std::size_t size() const;

    void clear();

private:
    std::map<state::Tier, std::unordered_map<state::RequestId, state::HostId>, std::greater<>> m_tiers;
    std::size_t m_size = 0;
};

} // namespace sapphirecove::coordination
