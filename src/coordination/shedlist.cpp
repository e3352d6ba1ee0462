#include "coordination/shedlist.h"

#include <algorithm>

namespace sapphirecove::coordination {

void ShedList::add(state::Tier tier, const state::RequestId &request, const state::HostId &from)
{
    m_size += m_tiers[tier].try_emplace(request, from).second ? 1 : 0;
}

bool ShedList::contains(const state::RequestId &request) const
{
    return std::ranges::any_of(m_tiers, [&](const auto &tier) {
        return tier.second.contains(request);
    });
}

void ShedList::remove(const state::RequestId &request)
{
    for (auto &[tier, requests] : m_tiers) {
        m_size -= requests.erase(request);
    }
}

void ShedList::removeHost(const state::HostId &host)
{
    for (auto &[tier, requests] : m_tiers) {
        m_size -= std::erase_if(requests, [&](const auto &item) {
            return item.second == host;
        });
    }
}

std::vector<state::Tier> ShedList::tiers() const
{
    std::vector<state::Tier> result;
    for (const auto &[tier, requests] : m_tiers) {
        if (!requests.empty()) {
            result.push_back(tier);
        }
    }
    return result;
}

std::vector<ShedList::Item> ShedList::take(state::Tier tier)
{
    std::vector<Item> items;
    for (auto position = m_tiers.begin(); position != m_tiers.end() && position->first >= tier;) {
        for (const auto &[request, from] : position->second) {
            items.push_back({ .request = request, .from = from });
        }
        position = m_tiers.erase(position);
    }
    m_size -= items.size();
    return items;
}

std::size_t ShedList::size() const
{
    return m_size;
}

void ShedList::clear()
{
    m_tiers.clear();
    m_size = 0;
}

} // namespace sapphirecove::coordination
