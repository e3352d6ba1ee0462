#include "coordination/targetbaselines.h"

#include <algorithm>
#include <cmath>

namespace sapphirecove::coordination {

namespace {

/** Work of a prefill that does not depend on the prompt, in tokens. */
constexpr double FixedPrefillTokens = 64;

std::optional<double> logOf(state::Duration time, double work)
{
    if (time <= state::Duration(0)) {
        return std::nullopt;
    }
    return std::log(static_cast<double>(time.count()) / work);
}

} // namespace

LogLatencies logLatencies(const SlotRelease &release)
{
    LogLatencies latencies;
    if (release.outcome != GrantOutcome::Complete) {
        return latencies;
    }
    if (release.outputTokens == 0) {
        latencies.prefill = logOf(release.total, 1);
        return latencies;
    }
    const auto cached = std::min(release.cachedTokens, release.promptTokens);
    latencies.prefill = logOf(release.timeToFirstToken, FixedPrefillTokens + release.promptTokens - cached);
    if (release.outputTokens > 1) {
        latencies.decode = logOf(release.total - release.timeToFirstToken, release.outputTokens - 1.0);
    }
    return latencies;
}

void TargetBaselines::Mean::add(double logarithm)
{
    count = std::min(count + 1, MaxCount);
    value += (logarithm - value) / count;
}

std::optional<double> TargetBaselines::Mean::difference(const std::optional<double> &logarithm) const
{
    return logarithm && count >= MinCount ? std::optional(*logarithm - value) : std::nullopt;
}

void TargetBaselines::add(const state::TargetId &target,
                          const state::VersionName &version,
                          const LogLatencies &latencies)
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

LogLatencies TargetBaselines::relative(const state::TargetId &target,
                                       const state::VersionName &version,
                                       const LogLatencies &latencies) const
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end() || found->second.version != version) {
        return {};
    }
    return { found->second.prefill.difference(latencies.prefill), found->second.decode.difference(latencies.decode) };
}

} // namespace sapphirecove::coordination
