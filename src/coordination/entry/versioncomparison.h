#pragma once

#include "coordination/entry/versioncounts.h"

#include <cstdint>
#include <optional>

namespace sapphirecove::coordination::entry {

/** Why a version counts as bad. */
enum class VersionFault { Failures, Slowness };

/**
 * Sequential comparison of a new software version with the others, on one route or on all of them.
 *
 * Both tests are cumulative sums that never fall below zero (E. S. Page, "Continuous Inspection Schemes", 1954), so
 * that a version that turns bad is found as fast after many good responses as after none. The yardstick is what the
 * other versions do at the same time; it is kept while they get too few requests to say.
 */
class VersionComparison
{
public:
    VersionComparison();

    /**
     * Adds the responses since the last call; @p kept is the fraction of the other versions' earlier responses that
     * still counts.
     */
    void add(const RouteCounts &counts, double kept);

    /** Returns what is wrong with the new version; nothing if no fault was found so far. */
    std::optional<VersionFault> fault() const;

    /** Returns whether a sum is so high that it may be a fault: no time to end a rollout. */
    bool isDoubtful() const;

private:
    double slownessThreshold() const;
    void updateYardstick();

    VersionCounts m_others; /**< recent ones */
    double m_usualFailures; /**< share of the other versions' responses */
    std::optional<double> m_usualLatencyLog; /**< mean; none while the other versions have answered too little */
    double m_latencyDeviation = 0; /**< of the logarithms */
    double m_failures = 0; /**< log-likelihood ratio of a raised failure share */
    double m_slowness = 0; /**< sum of the logarithms above the usual one and the allowance */
};

} // namespace sapphirecove::coordination::entry
