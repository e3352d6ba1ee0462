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

/** Outcome of one request on a version. */
struct VersionObservation
{
    const SlotRelease &release;
    std::string_view route; /**< empty if not known */
    LogLatencies latencies; /**< as measured */
    LogLatencies relative; /**< to the target's baseline, as far as it has one */
};

/**
 * Sequential test of a new version against the old one.
 *
 * Errors: Wald's sequential probability ratio test ("Sequential Tests of Statistical Hypotheses", Annals of
 * Mathematical Statistics 16(2), 1945) of the old version's error rate against that rate plus a fixed rise. One test
 * looks for a large rise since the last step, one for a small rise since the start of the change, one for a large rise
 * on each route. Cancelled requests count as errors, since callers of a version that hangs give up; the old version's
 * rate contains those that would have given up anyway. Refused connections do not count: a target can be down for other
 * reasons.
 *
 * Latency: the difference between the mean logarithms of both versions over the same period, in total and for each
 * route. Latencies relative to a baseline of the same target are preferred; without enough of them latencies are
 * compared across targets, where only a difference beyond that between targets (UnequalTargets) counts.
 */
class VersionEvidence
{
public:
    /** Chance of calling a good version bad at one step: by the total, and by one route. */
    static constexpr double FalseAlarm = 0.01;
    static constexpr double FalseAlarmOnRoute = 0.001;
    /** Chance of calling a bad version good at one step. */
    static constexpr double MissedFault = 0.05;
    /** Error rate assumed for the old version at least; with a lower one a single error would decide. */
    static constexpr double MinErrorRate = 0.01;
    /** Rise of the error rate that the tests look for: since the last step, and since the start. */
    static constexpr double LargeRise = 0.14;
    static constexpr double SmallRise = 0.03;
    /** Ratio of latencies that is tolerated on the same target, and across targets of unequal speed. */
    static constexpr double ToleratedSlowdown = 1.25;
    static constexpr double UnequalTargets = 4;
    /** Standard errors by which the ratio must exceed the tolerated one for a fault. */
    static constexpr double FaultDistance = 3.5;
    /** Standard errors by which the ratio may exceed the tolerated one in a Good step. */
    static constexpr double GoodDistance = 1;
    /** Fewest latencies of each version for a comparison. */
    static constexpr std::int64_t MinLatencies = 8;
    /** Routes with a sample of their own; further routes count only in the total. */
    static constexpr std::size_t MaxRoutes = 256;
    /** Interrupted and cancelled answers of one target within this time count once: a dying target ends many at once.
     */
    static constexpr state::Duration CutWindow = std::chrono::seconds(1);

    /** Adds the outcome of a request; @p isNew tells which version served it. Outcomes that show nothing are ignored.
     */
    void add(const VersionObservation &observation, bool isNew, state::Time now);

    /** Starts the observations of a step; the totals since the start of the change and those by route remain. */
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
    /** Latencies of one version. */
    struct LatencySample
    {
        LogarithmStatistics prefill;
        LogarithmStatistics decode;

        void add(const LogLatencies &latencies);
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
        Sample before;
        Sample after;
    };

    bool isRepeatedCut(const SlotRelease &release, state::Time now);
    double baseErrorRate(const Sample &before) const;
    std::optional<std::string> faultIn(const Comparison &comparison, double falseAlarm) const;
    static std::optional<std::string> latencyFault(const Comparison &comparison);
    static bool isLatencyAcceptable(const Comparison &comparison);

    Comparison m_step;
    Comparison m_total;
    std::map<std::string, Comparison, std::less<>> m_routes;
    std::map<state::TargetId, state::Time> m_lastCut;
};

} // namespace sapphirecove::coordination
