#pragma once

#include "state/time.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace sapphirecove::transport {

/** Summary of one duration for the metrics endpoint. */
struct LatencySummary
{
    std::string name; /**< metric name in the text exposition format, without prefix and unit */
    std::string help;
    std::uint64_t count = 0; /**< since the start of the process */
    double sum = 0; /**< seconds since the start of the process */
    /** Seconds; over the last complete window, or over the first one until it is complete. */
    std::optional<double> quantile95;
    std::optional<double> quantile99;
};

/**
 * Computes exact upper quantiles of a duration over windows of one minute. A window keeps only its longest values; a
 * quantile that would need more values than were kept is omitted.
 */
class LatencyRecorder
{
public:
    static constexpr state::Duration Window = std::chrono::minutes(1);
    static constexpr std::size_t MaxKeptValues = 2048;

    LatencyRecorder(std::string name, std::string help);

    /** Adds a value that was measured at @p now. */
    void add(state::Duration value, state::Time now);

    /** Returns the summary as of @p now. */
    LatencySummary summary(state::Time now);

private:
    using TailAccumulator = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::count,
                                   boost::accumulators::tag::tail_quantile<boost::accumulators::right>>>;

    static TailAccumulator emptyAccumulator();
    static std::optional<double> quantile(const TailAccumulator &tail, double probability);
    void advance(state::Time now);

    std::string m_name;
    std::string m_help;
    std::uint64_t m_count = 0;
    double m_sum = 0;
    state::Time m_windowStart{};
    TailAccumulator m_currentWindow;
    std::optional<TailAccumulator> m_lastWindow;
};

} // namespace sapphirecove::transport
