#include "coordination/retrybudget.h"

#include <algorithm>

namespace sapphirecove::coordination {

namespace {

constexpr state::Duration Window = std::chrono::seconds(10);
constexpr double RetriesPerRequest = 0.1;
// Allows a host with little traffic to retry after a few failed targets.
constexpr std::size_t MinimumRetries = 3;

} // namespace

RetryBudget::RetryBudget()
    : m_requests(Window)
    , m_retries(Window)
{
}

void RetryBudget::recordRequest(state::Time now)
{
    m_requests.add(now);
}

bool RetryBudget::take(state::Time now)
{
    const auto share = static_cast<std::size_t>(RetriesPerRequest * static_cast<double>(m_requests.count(now)));
    if (m_retries.count(now) >= std::max(share, MinimumRetries)) {
        return false;
    }
    m_retries.add(now);
    return true;
}

} // namespace sapphirecove::coordination
