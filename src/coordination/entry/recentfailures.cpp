#include "coordination/entry/recentfailures.h"

namespace sapphirecove::coordination::entry {

bool RecentFailures::contains(std::uint64_t request, state::Time now)
{
    expire(now);
    return m_counts.contains(request);
}

void RecentFailures::add(std::uint64_t request, state::Time now)
{
    m_items.push_back({ request, now });
    ++m_counts[request];
    expire(now);
}

void RecentFailures::expire(state::Time now)
{
    while (!m_items.empty() && (now - m_items.front().at > KeptFor || m_items.size() > MaxRequests)) {
        const auto found = m_counts.find(m_items.front().request);
        if (--found->second == 0) {
            m_counts.erase(found);
        }
        m_items.pop_front();
    }
}

} // namespace sapphirecove::coordination::entry
