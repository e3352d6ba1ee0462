#pragma once

#include "coordination/logarithmstatistics.h"
#include "coordination/message.h"
#include "coordination/targetbaselines.h"
#include "state/identifiers.h"
#include "state/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace sapphirecove::coordination {

/** Result of the evaluation of a new version. */
enum class Verdict {
    Undecided, /**< more observations are needed */
    Good, /**< good enough for the next step */
    Bad,
};

/** Verdict with its reason. */
struct EvidenceVerdict
{
    Verdict verdict = Verdict::Undecided;
    std::string reason; /**< Bad only */
};

/** Outcome of one request on a version. */
struct VersionObservation
{
    const SlotRelease &release;
    std::string_view route; /**< empty if not known */
    LatencyLogarithms latencies; /**< as measured */
    LatencyLogarithms relative; /**< to the target's baseline, as far as it has one */
};

/**
 * Sequential test of a new version against the old one.
 *
 * Errors: Wald's sequential probability ratio test ("Sequential Tests of Statistical Hypotheses", Annals of
 * Mathematical Statistics 16(2), 1945) of the old version's error rate against that rate plus a fixed rise. One
 * test detects a large rise since the last step, one a small rise since the start of the change, one a large rise on
 * each route. Cancelled requests count as errors, because callers cancel when a version hangs; the old version's rate
 * contains the callers who cancel in any case. Refused connections do not count, because a target can be down for other
 * reasons.
 *
 * Latency: the difference between the mean logarithms of both versions over the same period, in total and for each
 * route. Latencies relative to a baseline of the same target are preferred; without enough of them, latencies are
 * compared across targets, where only a ratio above the one expected between targets (ToleratedTargetDifference)
 * counts.
 */
class VersionEvidence
{
public:
    /** Probability that a good version is found Bad in one step: over all requests, and on a single route. */
    static constexpr double FalseAlarmProbability = 0.01;
    static constexpr double RouteFalseAlarmProbability = 0.001;
    /** Probability that a bad version is found Good in one step. */
    static constexpr double MissedFaultProbability = 0.05;
    /** Lower bound of the old version's error rate; with a lower one a single error would decide the test. */
    static constexpr double MinErrorRate = 0.01;
    /** Rise of the error rate that the tests detect: since the last step, and since the start of the change. */
    static constexpr double LargeErrorRateRise = 0.14;
    static constexpr double SmallErrorRateRise = 0.03;
    /** Tolerated ratio of latencies: on the same target, and across targets, which differ in speed. */
    static constexpr double ToleratedSlowdown = 1.25;
    static constexpr double ToleratedTargetDifference = 4;
    /** Number of standard errors by which the ratio must exceed the tolerated one to count as a fault. */
    static constexpr double FaultStandardErrors = 3.5;
    /** Number of standard errors by which the ratio may exceed the tolerated one in a Good step. */
    static constexpr double GoodStandardErrors = 1;
    /** Number of latencies that a comparison needs from each version. */
    static constexpr std::int64_t MinLatencies = 8;
    /** Limit on routes with a sample of their own; further routes count only in the total. */
    static constexpr std::size_t MaxRoutes = 256;
    /**
     * Interrupted and cancelled requests on one target within this time count once, because a target that stops
     * interrupts many at the same time.
     */
    static constexpr state::Duration InterruptionWindow = std::chrono::seconds(1);

    /**
     * Adds the outcome of a request; @p isNew tells which version served it. Requests that were not sent, and repeated
     * interruptions (InterruptionWindow), are ignored.
     */
    void add(const VersionObservation &observation, bool isNew, state::Time now);

    /** Clears the observations of the step; those since the start of the change and those by route are kept. */
    void startStep();

    /** Returns the verdict on the current step. */
    EvidenceVerdict stepVerdict() const;

    /** Returns whether the error rate since the start of the change allows its completion. */
    bool allowsCompletion() const;

    /** Returns the number of requests of both versions in the current step. */
    std::int64_t observedRequests() const;

    /** Returns the number of requests without errors that a step needs before it can be Good. */
    static std::int64_t minRequestsPerStep();

private:
    /** Latencies of one version. */
    struct LatencySample
    {
        LogarithmStatistics prefill;
        LogarithmStatistics decode;

        void add(const LatencyLogarithms &latencies);
    };
    /** Outcomes of one version. */
    struct Sample
    {
        std::int64_t total = 0; /**< complete and failed requests */
        std::int64_t errors = 0;
        LatencySample absolute;
        LatencySample relative;

        void add(const VersionObservation &observation, bool isError);
    };
    /** Outcomes of both versions. */
    struct Comparison
    {
        Sample oldVersion;
        Sample newVersion;
    };

    bool isRepeatedInterruption(const SlotRelease &release, state::Time now);
    double baseErrorRate(const Sample &oldVersion) const;
    std::optional<std::string> findFault(const Comparison &comparison, double falseAlarmProbability) const;
    static std::optional<std::string> findLatencyFault(const Comparison &comparison);
    static bool isLatencyAcceptable(const Comparison &comparison);

    Comparison m_step;
    Comparison m_total;
    std::map<std::string, Comparison, std::less<>> m_routes;
    std::map<state::TargetId, state::Time> m_lastInterruption;
};

} // namespace sapphirecove::coordination
