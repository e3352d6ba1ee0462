#include "coordination/slidingwindowcounter.h"

namespace sapphirecove::coordination {

void SlidingWindowCounter::add(state::Time now)
{
    m_events.push_back(now);
}

std::size_t SlidingWindowCounter::count(state::Time now)
{
    while (!m_events.empty() && m_events.front() < now - m_span) {
        m_events.pop_front();
    }
    return m_events.size();
}

} // namespace sapphirecove::coordination
