#pragma once

#include "coordination/message.h"
#include "state/identifiers.h"

#include <map>
#include <optional>

namespace sapphirecove::coordination {

/** Logarithms of a request's latencies; empty if not measured. */
struct LatencyLogarithms
{
    /** Time to first token per uncached prompt token, or the total time of a call to a plain service. */
    std::optional<double> prefill;
    std::optional<double> decode; /**< time per output token after the first */
};

/** Returns the latencies of a complete request. */
LatencyLogarithms latencyLogarithms(const SlotRelease &release);

/**
 * Latencies of each target under the version in force. Targets differ in speed, so a new version on a target is
 * compared with the old version on the same target and not with other targets.
 */
class TargetBaselines
{
public:
    /** Number of latencies that a baseline needs. */
    static constexpr int MinSamples = 8;
    /** Number of latencies after which the mean becomes an exponential moving average. */
    static constexpr int MaxSamples = 200;

    /** Adds latencies of @p target under @p version; another version resets the baseline. */
    void add(const state::TargetId &target, const state::VersionName &version, const LatencyLogarithms &latencies);

    /** Returns @p latencies relative to the target's baseline under @p version; empty where there is no baseline. */
    LatencyLogarithms relative(const state::TargetId &target,
                               const state::VersionName &version,
                               const LatencyLogarithms &latencies) const;

    /** Removes targets that are not in @p known. */
    template <typename Known>
    void retain(const Known &known)
    {
        std::erase_if(m_targets, [&](const auto &item) {
            return !known.contains(item.first);
        });
    }

private:
    struct Mean
    {
        int count = 0;
        double value = 0;

        void add(double logarithm);
        std::optional<double> difference(const std::optional<double> &logarithm) const;
    };
    struct Baseline
    {
        state::VersionName version;
        Mean prefill;
        Mean decode;
    };

    std::map<state::TargetId, Baseline> m_targets;
};

} // namespace sapphirecove::coordination
