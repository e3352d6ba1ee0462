#pragma once

#include "state/time.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace sapphirecove::transport::entry {

/** Histogram of latencies; the upper bound of each bucket is twice that of the one before. */
class LatencyHistogram
{
public:
    void add(state::Duration latency);

    /** Appends the histogram in the Prometheus text format. */
    void append(std::string &text, std::string_view name, std::string_view labels) const;

private:
    static constexpr std::size_t BucketCount = 16; /**< 1 ms to 16 s, doubling, and one for longer latencies */

    std::array<std::uint64_t, BucketCount> m_buckets{};
    std::uint64_t m_count = 0;
    double m_sumSeconds = 0;
};

/** Counters and latencies of an entry host; used only by its serving thread. */
class EntryMetrics
{
public:
    /** Counts one final response; @p outcome is a short label. */
    void countResponse(std::string_view route, std::string_view outcome);

    /** Counts one event by name. */
    void count(std::string_view name);

    /** Records the time to the response, or to the first event of a stream. */
    void recordLatency(std::string_view route, state::Duration latency);

    /** Returns all metrics in the Prometheus text format. */
    std::string text() const;

private:
    std::map<std::string, std::uint64_t, std::less<>> m_responses; /**< key: labels */
    std::map<std::string, std::uint64_t, std::less<>> m_events;
    std::map<std::string, LatencyHistogram, std::less<>> m_latencies;
};

} // namespace sapphirecove::transport::entry
