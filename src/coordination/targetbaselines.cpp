#include "coordination/targetbaselines.h"

#include <algorithm>
#include <cmath>

namespace sapphirecove::coordination {

namespace {

/** Constant cost of a prefill, expressed in prompt tokens. */
constexpr double FixedPrefillTokens = 64;

/**
 * Lower bounds of measured times; shorter times count as this long. Differences of milliseconds are noise: process
 * scheduling alone varies by as much, and callers wait 860 ms for a first token. Without a bound, a good version was
 * halted for 1.5 ms against 1 ms (149%).
 */
constexpr state::Duration MinTimeToFirstToken = std::chrono::milliseconds(20);
constexpr state::Duration MinTokenInterval = std::chrono::milliseconds(2);

std::optional<double> logarithmPerUnit(state::Duration time, double work)
{
    if (time <= state::Duration(0)) {
        return std::nullopt;
    }
    return std::log(static_cast<double>(time.count()) / work);
}

/** Returns @p time, or @p least if it is shorter; zero means not measured and stays. */
state::Duration atLeast(state::Duration time, state::Duration least)
{
    return time > state::Duration(0) ? std::max(time, least) : time;
}

} // namespace

LatencyLogarithms latencyLogarithms(const SlotRelease &release)
{
    LatencyLogarithms latencies;
    if (release.outcome != GrantOutcome::Complete) {
        return latencies;
    }
    if (release.outputTokens == 0) {
        latencies.prefill = logarithmPerUnit(release.total, 1);
        return latencies;
    }
    const auto cached = std::min(release.cachedTokens, release.promptTokens);
    latencies.prefill = logarithmPerUnit(atLeast(release.timeToFirstToken, MinTimeToFirstToken),
                                         FixedPrefillTokens + release.promptTokens - cached);
    if (release.outputTokens > 1) {
        const auto gaps = release.outputTokens - 1;
        latencies.decode =
            logarithmPerUnit(atLeast(release.total - release.timeToFirstToken, gaps * MinTokenInterval), gaps);
    }
    return latencies;
}

void TargetBaselines::Mean::add(double logarithm)
{
    count = std::min(count + 1, MaxSamples);
    value += (logarithm - value) / count;
}

std::optional<double> TargetBaselines::Mean::difference(const std::optional<double> &logarithm) const
{
    return logarithm && count >= MinSamples ? std::optional(*logarithm - value) : std::nullopt;
}

void TargetBaselines::add(const state::TargetId &target,
                          const state::VersionName &version,
                          const LatencyLogarithms &latencies)
{
    auto &baseline = m_targets[target];
    if (baseline.version != version) {
        baseline = { version, {}, {} };
    }
    if (latencies.prefill) {
        baseline.prefill.add(*latencies.prefill);
    }
    if (latencies.decode) {
        baseline.decode.add(*latencies.decode);
    }
}

LatencyLogarithms TargetBaselines::relative(const state::TargetId &target,
                                            const state::VersionName &version,
                                            const LatencyLogarithms &latencies) const
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end() || found->second.version != version) {
        return {};
    }
    return { found->second.prefill.difference(latencies.prefill), found->second.decode.difference(latencies.decode) };
}

} // namespace sapphirecove::coordination
