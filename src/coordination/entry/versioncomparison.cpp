#include "coordination/entry/versioncomparison.h"

#include <algorithm>
#include <cmath>

namespace sapphirecove::coordination::entry {

namespace {

/** Recent responses of the other versions that make a yardstick. */
constexpr double MinYardstickResponses = 8;

/** Failure share of the other versions while it is not known, and its limits. */
constexpr double PriorFailureShare = 0.05;
constexpr double MinFailureShare = 0.03;
constexpr double MaxFailureShare = 0.5;

/** Responses with PriorFailureShare that are added to those of the other versions, as few say little. */
constexpr double PriorResponses = 10;

/** Rise of the failure share that the test looks for. */
constexpr double FailureRise = 0.25;
constexpr double MaxRaisedShare = 0.95;

/** Log-likelihood ratio at which a version counts as failing: 10,000 to 1, as there are tests for each route. */
const double FailureThreshold = std::log(10000.0);

/** Fraction of the threshold of a fault from which on a version is doubtful. */
constexpr double DoubtfulShare = 0.75;

/** Multiple of the usual time that the test looks for. */
const double SlowFactor = 1.8;

/**
 * Allowance and threshold of a cumulative sum, as is usual: half of the shift that is looked for, and five standard
 * deviations.
 */
const double SlownessAllowance = std::log(SlowFactor) / 2;
constexpr double ThresholdDeviations = 5;

/** Lower limit of the standard deviation: few responses show it too low, as some are far slower than the others. */
constexpr double MinLatencyDeviation = 0.5;

} // namespace

VersionComparison::VersionComparison()
    : m_usualFailures(PriorFailureShare)
{
}

void VersionComparison::add(const RouteCounts &counts, double kept)
{
    m_others.scale(kept);
    m_others.add(counts.others);
    updateYardstick();
    const double raised = std::min(m_usualFailures + FailureRise, MaxRaisedShare);
    m_failures += counts.target.bad * std::log(raised / m_usualFailures)
        + counts.target.good * std::log((1 - raised) / (1 - m_usualFailures));
    m_failures = std::max(0.0, m_failures);
    if (m_usualLatencyLog) {
        m_slowness += counts.target.latencyLogSum - counts.target.timed * (*m_usualLatencyLog + SlownessAllowance);
        m_slowness = std::max(0.0, m_slowness);
    }
}

void VersionComparison::updateYardstick()
{
    const double responses = m_others.good + m_others.bad;
    if (responses >= MinYardstickResponses) {
        const double share = (m_others.bad + PriorFailureShare * PriorResponses) / (responses + PriorResponses);
        m_usualFailures = std::clamp(share, MinFailureShare, MaxFailureShare);
    }
    if (m_others.timed >= MinYardstickResponses) {
        const double mean = m_others.latencyLogSum / m_others.timed;
        const double variance = m_others.latencyLogSquareSum / m_others.timed - mean * mean;
        m_usualLatencyLog = mean;
        m_latencyDeviation = std::sqrt(std::max(0.0, variance));
    }
}

std::optional<VersionFault> VersionComparison::fault() const
{
    if (m_failures >= FailureThreshold) {
        return VersionFault::Failures;
    }
    if (m_slowness >= slownessThreshold()) {
        return VersionFault::Slowness;
    }
    return std::nullopt;
}

bool VersionComparison::isDoubtful() const
{
    return m_failures >= DoubtfulShare * FailureThreshold || m_slowness >= DoubtfulShare * slownessThreshold();
}

double VersionComparison::slownessThreshold() const
{
    return ThresholdDeviations * std::max(m_latencyDeviation, MinLatencyDeviation);
}

} // namespace sapphirecove::coordination::entry
