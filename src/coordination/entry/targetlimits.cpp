#include "coordination/entry/targetlimits.h"

#include <algorithm>

namespace sapphirecove::coordination::entry {

bool TargetLimits::responded(std::uint32_t target, const RateStatement &statement, state::Time now)
{
    const auto found = m_limits.find(target);
    switch (statement.kind) {
    case RateStatement::Kind::Malformed:
        return false;
    case RateStatement::Kind::None:
        if (found == m_limits.end() || found->second.ended) {
            return false;
        }
        found->second.ended = true;
        found->second.statedAt = now;
        return true;
    case RateStatement::Kind::Limit:
        break;
    }
    const bool changed = found == m_limits.end() || found->second.ended
        || found->second.requestsPerSecond != statement.requestsPerSecond;
    m_limits[target] = { statement.requestsPerSecond, false, now };
    return changed;
}

const TargetLimit *TargetLimits::find(std::uint32_t target) const
{
    const auto found = m_limits.find(target);
    return found == m_limits.end() ? nullptr : &found->second;
}

std::size_t TargetLimits::inForce() const
{
    return static_cast<std::size_t>(std::count_if(m_limits.begin(), m_limits.end(), [](const auto &entry) {
        return !entry.second.ended;
    }));
}

} // namespace sapphirecove::coordination::entry
