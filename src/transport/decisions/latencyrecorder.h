#pragma once

#include "state/time.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace sapphirecove::transport {

/** Values of one duration for the metrics endpoint. */
struct LatencySummary
{
    std::string name; /**< as in the text exposition format, without prefix and unit */
    std::string help;
    std::uint64_t count = 0; /**< since the start of the process */
    double sum = 0; /**< seconds since the start of the process */
    std::optional<double> quantile95; /**< seconds, over the last complete minute or the first one so far */
    std::optional<double> quantile99;
};

/**
 * Measures a duration by exact upper tail quantiles over windows of one minute. A window keeps its longest values only;
 * a quantile that needs more of them is left out.
 */
class LatencyRecorder
{
public:
    static constexpr state::Duration Window = std::chrono::minutes(1);
    static constexpr std::size_t MaxKeptValues = 2048;

    LatencyRecorder(std::string name, std::string help);

    /** Takes one value that was measured at @p now. */
    void add(state::Duration value, state::Time now);

    /** Returns the values as of @p now. */
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
