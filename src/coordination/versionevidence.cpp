#include "coordination/versionevidence.h"

#include <algorithm>
#include <cmath>

namespace sapphirecove::coordination {

namespace {

/** Error rates between which a sequential test decides. */
struct ErrorTest
{
    double baseRate = 0;
    double raisedRate = 0;

    /** Returns the logarithm of the likelihood ratio of the higher rate over the lower one. */
    double logLikelihoodRatio(std::int64_t total, std::int64_t errors) const
    {
        const auto successes = static_cast<double>(total - errors);
        return static_cast<double>(errors) * std::log(raisedRate / baseRate)
            + successes * std::log((1 - raisedRate) / (1 - baseRate));
    }
};

ErrorTest errorTest(double rate, double rise)
{
    return { rate, std::min(rate + rise, 0.95) };
}

double upperBound(double falseAlarmProbability)
{
    return std::log((1 - VersionEvidence::MissedFaultProbability) / falseAlarmProbability);
}

double lowerBound()
{
    return std::log(VersionEvidence::MissedFaultProbability / (1 - VersionEvidence::FalseAlarmProbability));
}

/** Difference of two means with its standard error. */
struct Difference
{
    double value = 0;
    double standardError = 0;
};

std::optional<Difference> difference(const LogarithmStatistics &oldVersion, const LogarithmStatistics &newVersion)
{
    if (std::min(oldVersion.count(), newVersion.count()) < VersionEvidence::MinLatencies) {
        return std::nullopt;
    }
    return Difference{ newVersion.mean() - oldVersion.mean(),
                       std::sqrt(oldVersion.varianceOfMean() + newVersion.varianceOfMean()) };
}

/** Returns by how many standard errors the difference exceeds the tolerated one; empty if it is not known. */
std::optional<double> excessStandardErrors(const std::optional<Difference> &found, double tolerated)
{
    return found ? std::optional((found->value - std::log(tolerated)) / found->standardError) : std::nullopt;
}

std::string percent(double ratio)
{
    return std::to_string(static_cast<int>(std::lround(ratio * 100))) + "%";
}

} // namespace

void VersionEvidence::LatencySample::add(const LatencyLogarithms &latencies)
{
    if (latencies.prefill) {
        prefill.add(*latencies.prefill);
    }
    if (latencies.decode) {
        decode.add(*latencies.decode);
    }
}

void VersionEvidence::Sample::add(const VersionObservation &observation, bool isError)
{
    ++total;
    errors += isError ? 1 : 0;
    absolute.add(observation.latencies);
    relative.add(observation.relative);
}

bool VersionEvidence::isRepeatedInterruption(const SlotRelease &release, state::Time now)
{
    if (release.outcome == GrantOutcome::Complete || release.outcome == GrantOutcome::Failed) {
        return false;
    }
    const auto [item, isFirst] = m_lastInterruption.try_emplace(release.target, now);
    const bool isRepeated = !isFirst && now - item->second < InterruptionWindow;
    item->second = isRepeated ? item->second : now;
    return isRepeated;
}

void VersionEvidence::add(const VersionObservation &observation, bool isNew, state::Time now)
{
    const auto outcome = observation.release.outcome;
    const bool wasSent = outcome != GrantOutcome::Unused && outcome != GrantOutcome::ConnectRefused;
    const bool isError = outcome != GrantOutcome::Complete;
    if (!wasSent || isRepeatedInterruption(observation.release, now)) {
        return;
    }
    const auto addTo = [&](Comparison &comparison) {
        (isNew ? comparison.newVersion : comparison.oldVersion).add(observation, isError);
    };
    addTo(m_step);
    addTo(m_total);
    const auto route = m_routes.find(observation.route);
    if (route != m_routes.end()) {
        addTo(route->second);
    } else if (!observation.route.empty() && m_routes.size() < MaxRoutes) {
        addTo(m_routes[std::string(observation.route)]);
    }
}

void VersionEvidence::startStep()
{
    m_step = Comparison{};
}

double VersionEvidence::baseErrorRate(const Sample &oldVersion) const
{
    // With too few observations of the old version in this comparison, use those since the start of the change.
    const auto &sample = oldVersion.total >= MinLatencies ? oldVersion : m_total.oldVersion;
    if (sample.total == 0) {
        return MinErrorRate;
    }
    const double rate = static_cast<double>(sample.errors) / static_cast<double>(sample.total);
    return std::clamp(rate, MinErrorRate, 0.5);
}

std::optional<std::string> VersionEvidence::findFault(const Comparison &comparison, double falseAlarmProbability) const
{
    const auto &newVersion = comparison.newVersion;
    const double baseRate = baseErrorRate(comparison.oldVersion);
    if (errorTest(baseRate, LargeErrorRateRise).logLikelihoodRatio(newVersion.total, newVersion.errors)
        >= upperBound(falseAlarmProbability)) {
        return std::to_string(newVersion.errors) + " of " + std::to_string(newVersion.total)
            + " requests failed, expected " + percent(baseRate);
    }
    return findLatencyFault(comparison);
}

std::optional<std::string> VersionEvidence::findLatencyFault(const Comparison &comparison)
{
    const auto &oldVersion = comparison.oldVersion;
    const auto &newVersion = comparison.newVersion;
    const auto fault =
        [](const LogarithmStatistics &old, const LogarithmStatistics &tested, double tolerated, const char *what) {
            const auto found = difference(old, tested);
            const auto distance = excessStandardErrors(found, tolerated);
            if (!distance || *distance < FaultStandardErrors) {
                return std::optional<std::string>();
            }
            return std::optional(std::string(what) + " takes " + percent(std::exp(found->value))
                                 + " of the old version's");
        };
    for (const auto &found :
         { fault(oldVersion.relative.prefill,
                 newVersion.relative.prefill,
                 ToleratedSlowdown,
                 "time to first token or answer"),
           fault(oldVersion.relative.decode, newVersion.relative.decode, ToleratedSlowdown, "time between tokens"),
           fault(oldVersion.absolute.prefill,
                 newVersion.absolute.prefill,
                 ToleratedTargetDifference,
                 "time to first token or answer"),
           fault(oldVersion.absolute.decode,
                 newVersion.absolute.decode,
                 ToleratedTargetDifference,
                 "time between tokens") }) {
        if (found) {
            return found;
        }
    }
    return std::nullopt;
}

bool VersionEvidence::isLatencyAcceptable(const Comparison &comparison)
{
    const auto &oldVersion = comparison.oldVersion;
    const auto &newVersion = comparison.newVersion;
    const auto isAcceptable = [](const LogarithmStatistics &old, const LogarithmStatistics &tested, double tolerated) {
        return excessStandardErrors(difference(old, tested), tolerated).value_or(0) <= GoodStandardErrors;
    };
    const bool isCompared = difference(oldVersion.absolute.prefill, newVersion.absolute.prefill).has_value();
    return isCompared && isAcceptable(oldVersion.relative.prefill, newVersion.relative.prefill, ToleratedSlowdown)
        && isAcceptable(oldVersion.relative.decode, newVersion.relative.decode, ToleratedSlowdown)
        && isAcceptable(oldVersion.absolute.prefill, newVersion.absolute.prefill, ToleratedTargetDifference)
        && isAcceptable(oldVersion.absolute.decode, newVersion.absolute.decode, ToleratedTargetDifference);
}

EvidenceVerdict VersionEvidence::stepVerdict() const
{
    if (const auto fault = findFault(m_step, FalseAlarmProbability)) {
        return { Verdict::Bad, *fault };
    }
    for (const auto &[route, comparison] : m_routes) {
        if (const auto fault = findFault(comparison, RouteFalseAlarmProbability)) {
            return { Verdict::Bad, "route " + route + ": " + *fault };
        }
    }
    const auto small = errorTest(baseErrorRate(m_total.oldVersion), SmallErrorRateRise);
    if (small.logLikelihoodRatio(m_total.newVersion.total, m_total.newVersion.errors)
        >= upperBound(FalseAlarmProbability)) {
        return { Verdict::Bad,
                 std::to_string(m_total.newVersion.errors) + " of " + std::to_string(m_total.newVersion.total)
                     + " requests failed since the start" };
    }
    const auto large = errorTest(baseErrorRate(m_step.oldVersion), LargeErrorRateRise);
    const bool isErrorRateGood =
        large.logLikelihoodRatio(m_step.newVersion.total, m_step.newVersion.errors) <= lowerBound();
    // With all traffic on the new version, only earlier observations of the old one are available for comparison.
    const bool hasOldVersion = m_step.oldVersion.absolute.prefill.count() >= MinLatencies;
    const Comparison comparison{ hasOldVersion ? m_step.oldVersion : m_total.oldVersion, m_step.newVersion };
    return { isErrorRateGood && isLatencyAcceptable(comparison) ? Verdict::Good : Verdict::Undecided, "" };
}

bool VersionEvidence::allowsCompletion() const
{
    const auto small = errorTest(baseErrorRate(m_total.oldVersion), SmallErrorRateRise);
    return small.logLikelihoodRatio(m_total.newVersion.total, m_total.newVersion.errors) <= lowerBound();
}

std::int64_t VersionEvidence::observedRequests() const
{
    return m_step.oldVersion.total + m_step.newVersion.total;
}

std::int64_t VersionEvidence::minRequestsPerStep()
{
    return static_cast<std::int64_t>(
        std::ceil(lowerBound() / errorTest(MinErrorRate, LargeErrorRateRise).logLikelihoodRatio(1, 0)));
}

} // namespace sapphirecove::coordination
