#include "coordination/entry/fleetretrybudget.h"

namespace sapphirecove::coordination::entry {

namespace {

/** Fraction of the deployment's bound that hosts use. The rest covers hosts that restarted and lost their counts. */
constexpr double UsedShare = 0.6;

} // namespace

FleetRetryBudget::FleetRetryBudget(const state::entry::Bounds &bounds)
    : m_ratio(bounds.retryRatio * UsedShare)
    , m_slack(bounds.retrySlack * UsedShare)
    , m_span(bounds.retryWindow)
{
}

void FleetRetryBudget::recordRequest(std::string_view service, state::Time now)
{
    windowOf(service).requests.add(now);
}

bool FleetRetryBudget::available(std::string_view service, std::size_t hosts, state::Time now)
{
    Window &window = windowOf(service);
    const double allowed = m_ratio * static_cast<double>(window.requests.count(now))
        + m_slack / static_cast<double>(hosts == 0 ? 1 : hosts);
    return static_cast<double>(window.retries.count(now)) + 1 <= allowed;
}

bool FleetRetryBudget::take(std::string_view service, std::size_t hosts, state::Time now)
{
    if (!available(service, hosts, now)) {
        return false;
    }
    windowOf(service).retries.add(now);
    return true;
}

FleetRetryBudget::Window &FleetRetryBudget::windowOf(std::string_view service)
{
    const auto found = m_windows.find(service);
    if (found != m_windows.end()) {
        return found->second;
    }
    return m_windows.emplace(std::string(service), Window{ SlidingWindowCounter(m_span), SlidingWindowCounter(m_span) })
        .first->second;
}

} // namespace sapphirecove::coordination::entry
