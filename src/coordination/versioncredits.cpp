#include "coordination/versioncredits.h"

#include <algorithm>

namespace sapphirecove::coordination {

namespace {

/** Credit that a version can accumulate while its targets are full; more would allow a burst afterwards. */
constexpr double MaximumCredit = 2;

constexpr int PerMille = 1000;

/** Compensates for rounding errors in summed shares, which would otherwise withhold a grant that is due. */
constexpr double RoundingTolerance = 1e-9;

} // namespace

void VersionCredits::setWeights(std::span<const VersionWeight> weights)
{
    std::map<state::VersionName, Limit> limits;
    for (const VersionWeight &weight : weights) {
        if (!weight.halted && weight.sharePerMille >= PerMille) {
            continue;
        }
        Limit limit;
        limit.share = weight.halted ? 0 : std::max(0, weight.sharePerMille) / static_cast<double>(PerMille);
        const auto previous = m_limits.find(weight.version);
        limit.credit = limit.share == 0 || previous == m_limits.end() ? 0 : previous->second.credit;
        limits[weight.version] = limit;
    }
    m_limits = std::move(limits);
}

bool VersionCredits::isUnlimited(const state::VersionName &version) const
{
    return !m_limits.contains(version);
}

bool VersionCredits::mayGrant(const state::VersionName &version) const
{
    return isUnlimited(version) || isDue(version);
}

bool VersionCredits::canEarn(const state::VersionName &version) const
{
    const auto limit = m_limits.find(version);
    return limit == m_limits.end() || limit->second.share > 0;
}

bool VersionCredits::isDue(const state::VersionName &version) const
{
    const auto limit = m_limits.find(version);
    return limit != m_limits.end() && limit->second.credit >= 1 - RoundingTolerance;
}

void VersionCredits::granted(const state::VersionName &version)
{
    for (auto &[name, limit] : m_limits) {
        limit.credit = std::min(MaximumCredit, limit.credit + limit.share);
    }
    const auto limit = m_limits.find(version);
    if (limit != m_limits.end()) {
        limit->second.credit -= 1;
    }
}

} // namespace sapphirecove::coordination
