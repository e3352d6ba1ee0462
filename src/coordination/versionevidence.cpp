#include "coordination/versionevidence.h"

#include <algorithm>
#include <cmath>

namespace sapphirecove::coordination {

namespace {

/** Rates of errors between which a sequential test decides. */
struct ErrorTest
{
    double before = 0;
    double after = 0;

    /** Returns the logarithm of the likelihood ratio of the higher rate over the lower one. */
    double ratio(std::int64_t total, std::int64_t errors) const
    {
        const auto successes = static_cast<double>(total - errors);
        return static_cast<double>(errors) * std::log(after / before)
            + successes * std::log((1 - after) / (1 - before));
    }
};

ErrorTest errorTest(double rate, double rise)
{
    return { rate, std::min(rate + rise, 0.95) };
}

double upperBound(double falseAlarm)
{
    return std::log((1 - VersionEvidence::MissedFault) / falseAlarm);
}

double lowerBound()
{
    return std::log(VersionEvidence::MissedFault / (1 - VersionEvidence::FalseAlarm));
}

/** Difference of two means with its standard error. */
struct Difference
{
    double value = 0;
    double error = 0;
};

std::optional<Difference> difference(const LogarithmStatistics &before, const LogarithmStatistics &after)
{
    if (std::min(before.count(), after.count()) < VersionEvidence::MinLatencies) {
        return std::nullopt;
    }
    return Difference{ after.mean() - before.mean(), std::sqrt(before.varianceOfMean() + after.varianceOfMean()) };
}

/** Returns by how much the difference exceeds the tolerated one, in standard errors; empty if it is not known. */
std::optional<double> excess(const std::optional<Difference> &found, double tolerated)
{
    return found ? std::optional((found->value - std::log(tolerated)) / found->error) : std::nullopt;
}

std::string percent(double ratio)
{
    return std::to_string(static_cast<int>(std::lround(ratio * 100))) + "%";
}

} // namespace

void VersionEvidence::LatencySample::add(const LogLatencies &latencies)
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

bool VersionEvidence::isRepeatedCut(const SlotRelease &release, state::Time now)
{
    if (release.outcome == GrantOutcome::Complete || release.outcome == GrantOutcome::Failed) {
        return false;
    }
    const auto [item, isFirst] = m_lastCut.try_emplace(release.target, now);
    const bool isRepeated = !isFirst && now - item->second < CutWindow;
    item->second = isRepeated ? item->second : now;
    return isRepeated;
}

void VersionEvidence::add(const VersionObservation &observation, bool isNew, state::Time now)
{
    const auto outcome = observation.release.outcome;
    const bool wasSent = outcome != GrantOutcome::Unused && outcome != GrantOutcome::ConnectRefused;
    const bool isError = outcome != GrantOutcome::Complete;
    if (!wasSent || isRepeatedCut(observation.release, now)) {
        return;
    }
    const auto addTo = [&](Comparison &comparison) {
        (isNew ? comparison.after : comparison.before).add(observation, isError);
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

double VersionEvidence::baseErrorRate(const Sample &before) const
{
    // Without observations of the old version in this comparison, those of the whole change must do.
    const auto &sample = before.total >= MinLatencies ? before : m_total.before;
    if (sample.total == 0) {
        return MinErrorRate;
    }
    const double rate = static_cast<double>(sample.errors) / static_cast<double>(sample.total);
    return std::clamp(rate, MinErrorRate, 0.5);
}

std::optional<std::string> VersionEvidence::faultIn(const Comparison &comparison, double falseAlarm) const
{
    const auto &after = comparison.after;
    const double before = baseErrorRate(comparison.before);
    if (errorTest(before, LargeRise).ratio(after.total, after.errors) >= upperBound(falseAlarm)) {
        return std::to_string(after.errors) + " of " + std::to_string(after.total) + " requests failed, expected "
            + percent(before);
    }
    return latencyFault(comparison);
}

std::optional<std::string> VersionEvidence::latencyFault(const Comparison &comparison)
{
    const auto &before = comparison.before;
    const auto &after = comparison.after;
    const auto fault =
        [](const LogarithmStatistics &old, const LogarithmStatistics &tested, double tolerated, const char *what) {
            const auto found = difference(old, tested);
            const auto distance = excess(found, tolerated);
            if (!distance || *distance < FaultDistance) {
                return std::optional<std::string>();
            }
            return std::optional(std::string(what) + " takes " + percent(std::exp(found->value))
                                 + " of the old version's");
        };
    for (const auto &found :
         { fault(before.relative.prefill, after.relative.prefill, ToleratedSlowdown, "time to first token or answer"),
           fault(before.relative.decode, after.relative.decode, ToleratedSlowdown, "time between tokens"),
           fault(before.absolute.prefill, after.absolute.prefill, UnequalTargets, "time to first token or answer"),
           fault(before.absolute.decode, after.absolute.decode, UnequalTargets, "time between tokens") }) {
        if (found) {
            return found;
        }
    }
    return std::nullopt;
}

bool VersionEvidence::isLatencyAcceptable(const Comparison &comparison)
{
    const auto &before = comparison.before;
    const auto &after = comparison.after;
    const auto isAcceptable = [](const LogarithmStatistics &old, const LogarithmStatistics &tested, double tolerated) {
        return excess(difference(old, tested), tolerated).value_or(0) <= GoodDistance;
    };
    const bool isCompared = difference(before.absolute.prefill, after.absolute.prefill).has_value();
    return isCompared && isAcceptable(before.relative.prefill, after.relative.prefill, ToleratedSlowdown)
        && isAcceptable(before.relative.decode, after.relative.decode, ToleratedSlowdown)
        && isAcceptable(before.absolute.prefill, after.absolute.prefill, UnequalTargets)
        && isAcceptable(before.absolute.decode, after.absolute.decode, UnequalTargets);
}

EvidenceVerdict VersionEvidence::stepVerdict() const
{
    if (const auto fault = faultIn(m_step, FalseAlarm)) {
        return { Verdict::Bad, *fault };
    }
    for (const auto &[route, comparison] : m_routes) {
        if (const auto fault = faultIn(comparison, FalseAlarmOnRoute)) {
            return { Verdict::Bad, "route " + route + ": " + *fault };
        }
    }
    const auto small = errorTest(baseErrorRate(m_total.before), SmallRise);
    if (small.ratio(m_total.after.total, m_total.after.errors) >= upperBound(FalseAlarm)) {
        return { Verdict::Bad,
                 std::to_string(m_total.after.errors) + " of " + std::to_string(m_total.after.total)
                     + " requests failed since the start" };
    }
    const auto large = errorTest(baseErrorRate(m_step.before), LargeRise);
    const bool isFaultless = large.ratio(m_step.after.total, m_step.after.errors) <= lowerBound();
    // With the whole traffic on the new version, only earlier observations of the old one are left to compare with.
    const bool hasBefore = m_step.before.absolute.prefill.count() >= MinLatencies;
    const Comparison comparison{ hasBefore ? m_step.before : m_total.before, m_step.after };
    return { isFaultless && isLatencyAcceptable(comparison) ? Verdict::Good : Verdict::Open, "" };
}

bool VersionEvidence::allowsCompletion() const
{
    const auto small = errorTest(baseErrorRate(m_total.before), SmallRise);
    return small.ratio(m_total.after.total, m_total.after.errors) <= lowerBound();
}

std::int64_t VersionEvidence::observed() const
{
    return m_step.before.total + m_step.after.total;
}

std::int64_t VersionEvidence::requestsForStep()
{
    return static_cast<std::int64_t>(std::ceil(lowerBound() / errorTest(MinErrorRate, LargeRise).ratio(1, 0)));
}

} // namespace sapphirecove::coordination
