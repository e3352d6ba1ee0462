#include "coordination/entry/targetchoice.h"

namespace sapphirecove::coordination::entry {

namespace {

/**
 * Weight of the stream's duration in the cost: a fast target frees its slot sooner, but the first event counts most.
 */
constexpr double StreamWeight = 0.15;

/**
 * Cost in milliseconds of a target in another failure domain of the region, and of one in another region, whose link is
 * billed.
 */
constexpr double OtherDomainCostMs = 4;
constexpr double OtherRegionCostMs = 40;

/** Cost in milliseconds of a target all of whose recent attempts failed. */
constexpr double FailureCostMs = 2000;

} // namespace

ExpectedTimeChoice::ExpectedTimeChoice(std::map<std::string, std::string> regionOfDomain)
    : m_regionOfDomain(regionOfDomain.begin(), regionOfDomain.end())
{
}

TargetLoad *
ExpectedTimeChoice::choose(std::span<TargetLoad *const> targets, const Work &work, std::string_view origin) const
{
    TargetLoad *best = nullptr;
    double bestCost = 0;
    for (TargetLoad *target : targets) {
        const double cost = costOf(*target, work, origin);
        if (best == nullptr || cost < bestCost) {
            best = target;
            bestCost = cost;
        }
    }
    return best;
}

double ExpectedTimeChoice::costOf(const TargetLoad &target, const Work &work, std::string_view origin) const
{
    double distanceMs = 0;
    const std::string &domain = target.entry().failureDomain;
    if (domain != origin) {
        const bool sameRegion = regionOf(domain) == regionOf(origin);
        distanceMs = sameRegion ? OtherDomainCostMs : OtherRegionCostMs;
    }
    return target.expectedFirstMs(work) + StreamWeight * target.expectedStreamMs(work) + distanceMs
        + FailureCostMs * target.failureShare();
}

std::string_view ExpectedTimeChoice::regionOf(std::string_view domain) const
{
    const auto found = m_regionOfDomain.find(domain);
    return found == m_regionOfDomain.end() ? std::string_view() : std::string_view(found->second);
}

} // namespace sapphirecove::coordination::entry
