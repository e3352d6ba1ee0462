#include "coordination/retrybudget.h"

#include <algorithm>

namespace sapphirecove::coordination {

namespace {

constexpr state::Duration Window = std::chrono::seconds(10);
constexpr double RetriesPerRequest = 0.1;
// Lets a host with little traffic survive a few dead targets.
constexpr std::size_t MinimumRetries = 3;

void dropBefore(std::deque<state::Time> &times, state::Time limit)
{
    while (!times.empty() && times.front() < limit) {
        times.pop_front();
    }
}

} // namespace

void RetryBudget::recordRequest(state::Time now)
{
    expire(now);
    m_requests.push_back(now);
}

bool RetryBudget::take(state::Time now)
{
    expire(now);
    const auto share = static_cast<std::size_t>(RetriesPerRequest * static_cast<double>(m_requests.size()));
    if (m_retries.size() >= std::max(share, MinimumRetries)) {
        return false;
    }
    m_retries.push_back(now);
    return true;
}

void RetryBudget::expire(state::Time now)
{
    dropBefore(m_requests, now - Window);
    dropBefore(m_retries, now - Window);
}

} // namespace sapphirecove::coordination
