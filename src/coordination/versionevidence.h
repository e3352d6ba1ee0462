#pragma once

#include "coordination/message.h"
#include "state/identifiers.h"
#include "state/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace sapphirecove::coordination {

/** What the observations say of a version under trial. */
enum class Verdict {
    Open, /**< more observations are needed */
    Good, /**< good enough for the next step */
    Bad,
};

/** Verdict with its reason. */
struct EvidenceVerdict
{
    Verdict verdict = Verdict::Open;
    std::string reason; /**< Bad only */
};

/** Running mean and variance of the logarithm of a measure (Welford's method). */
class LogStatistics
{
public:
    /** Adds @p value, which must be positive. */
    void add(double value);
    std::int64_t count() const;
    double mean() const;

    /** Returns the variance of the mean; at least a small floor, so that equal values do not look certain. */
    double varianceOfMean() const;

private:
    std::int64_t m_count = 0;
    double m_mean = 0;
    double m_squares = 0;
};

/** Outcomes and latencies of one version. */
struct VersionSample
{
    std::int64_t total = 0; /**< completed and failed requests */
    std::int64_t errors = 0;
    LogStatistics prefill; /**< time to first token for each uncached prompt token, or total time of a service call */
    LogStatistics decode; /**< time for each output token */
};

/** Outcomes of both versions on one route. */
struct RouteSample
{
    VersionSample before;
    VersionSample after;
};

/**
 * Sequential test of a new version against the old one.
 *
 * Errors: Wald's sequential probability ratio test ("Sequential Tests of Statistical Hypotheses", Annals of
 * Mathematical Statistics 16(2), 1945) of the old version's error rate against that rate plus a fixed rise. One test
 * looks for a large rise since the last step, another for a small rise since the start of the change, a third for a
 * rise on one route. Latency: the difference of the mean logarithms of both versions' latencies over the same period.
 */
class VersionEvidence
{
public:
    /** Chance of calling a good version bad, and a bad one good, at one step. */
    static constexpr double FalseAlarm = 0.01;
    static constexpr double FalseAlarmOnRoute = 0.001;
    static constexpr double MissedFault = 0.05;
    /** Error rate assumed for the old version at least; a lower one would make a single error decisive. */
    static constexpr double MinErrorRate = 0.01;
    /** Rise of the error rate that the tests look for: since the last step and since the start. */
    static constexpr double LargeRise = 0.14;
    static constexpr double SmallRise = 0.03;
    /** Latency ratio that is tolerated, and the number of standard errors required for a verdict. */
    static constexpr double ToleratedSlowdown = 1.25;
    static constexpr double LatencyErrors = 3.5;
    /** Fewest latencies of each version for a verdict. */
    static constexpr std::int64_t MinLatencies = 8;
    /** Routes with a sample of their own; further routes count only in the total. */
    static constexpr std::size_t MaxRoutes = 256;
    /** Interrupted answers of one target within this time count once: a dying target interrupts many at once. */
    static constexpr state::Duration CutWindow = std::chrono::seconds(1);

    /** Adds the outcome of a request; @p isNew tells which version served it. Outcomes without a run are ignored. */
    void add(const SlotRelease &release, std::string_view route, bool isNew, state::Time now);

    /** Starts the observations of a step; the totals since the start of the change remain. */
    void startStep();

    /** Returns the verdict on the present step. */
    EvidenceVerdict stepVerdict() const;

    /** Returns whether the observations since the start allow the end of the change. */
    bool allowsCompletion() const;

    /** Returns the requests of both versions in the present step. */
    std::int64_t observed() const;

    /** Returns the number of faultless requests that a step needs before it can be Good. */
    static std::int64_t requestsForStep();

private:
    bool isRepeatedCut(const SlotRelease &release, state::Time now);
    std::optional<std::string> errorFault() const;
    std::optional<std::string> routeFault() const;
    std::optional<std::string> latencyFault() const;
    bool isLatencyAcceptable() const;

    RouteSample m_step;
    RouteSample m_total;
    std::map<std::string, RouteSample, std::less<>> m_routes;
    std::map<state::TargetId, state::Time> m_lastCut;
};

} // namespace sapphirecove::coordination
