#include "coordination/entry/ratepacer.h"

#include <algorithm>

namespace sapphirecove::coordination::entry {

namespace {

/** Time for which requests that others sent beyond the rate are remembered. */
constexpr double DebtSeconds = 4;

} // namespace

double RatePacer::rateWithin(double requests, double burstSeconds)
{
    // A second's requests, and the larger one of what was kept unused and a single request.
    return std::min(std::max(0.0, requests - 1), requests / (1 + burstSeconds));
}

RatePacer::RatePacer(double phase, state::Time now)
    : m_level(phase)
    , m_updated(now)
{
}

void RatePacer::skip(state::Time now)
{
    m_updated = std::max(m_updated, now);
}

void RatePacer::refill(double rate, state::Time now, double burstSeconds)
{
    m_level += rate * std::max(0.0, state::toSeconds(now - m_updated));
    m_level = std::min(m_level, std::max(1.0, rate * burstSeconds));
    skip(now);
}

void RatePacer::dropSaved(double most)
{
    m_level = std::min(m_level, most);
}

bool RatePacer::ready() const
{
    return m_level >= 1;
}

void RatePacer::spend(double requests, double rate)
{
    m_level = std::max(m_level - requests, -std::max(1.0, rate * DebtSeconds));
}

} // namespace sapphirecove::coordination::entry
