#include "transport/entry/entrymetrics.h"

namespace sapphirecove::transport::entry {

namespace {

/** Routes beyond this many are counted together, so that a large configuration does not exhaust memory. */
constexpr std::size_t MaxSeries = 512;

constexpr std::string_view OverflowRoute = "other";

std::string labelsOf(std::string_view route, std::string_view outcome)
{
    std::string labels = "route=\"";
    labels += route;
    labels += "\",outcome=\"";
    labels += outcome;
    labels += '"';
    return labels;
}

template <typename Map>
auto &seriesOf(Map &map, std::string key, std::string_view overflow)
{
    if (map.size() >= MaxSeries && !map.contains(key)) {
        key = overflow;
    }
    return map[std::move(key)];
}

} // namespace

void LatencyHistogram::add(state::Duration latency)
{
    std::size_t bucket = 0;
    for (auto bound = state::Duration(std::chrono::milliseconds(1)); bucket + 1 < BucketCount && latency > bound;
         bound *= 2) {
        ++bucket;
    }
    ++m_buckets[bucket];
    ++m_count;
    m_sumSeconds += state::toSeconds(latency);
}

void LatencyHistogram::append(std::string &text, std::string_view name, std::string_view labels) const
{
    const std::string prefix(name);
    std::uint64_t cumulative = 0;
    double bound = 0.001;
    for (std::size_t i = 0; i < BucketCount; ++i, bound *= 2) {
        cumulative += m_buckets[i];
        const std::string le = i + 1 == BucketCount ? "+Inf" : std::to_string(bound);
        text += prefix;
        text += "_bucket{";
        text += labels;
        text += ",le=\"" + le + "\"} " + std::to_string(cumulative) + '\n';
    }
    text += prefix + "_sum{" + std::string(labels) + "} " + std::to_string(m_sumSeconds) + '\n';
    text += prefix + "_count{" + std::string(labels) + "} " + std::to_string(m_count) + '\n';
}

void EntryMetrics::countResponse(std::string_view route, std::string_view outcome)
{
    ++seriesOf(m_responses, labelsOf(route, outcome), labelsOf(OverflowRoute, outcome));
}

void EntryMetrics::count(std::string_view name)
{
    ++seriesOf(m_events, std::string(name), OverflowRoute);
}

void EntryMetrics::recordLatency(std::string_view route, state::Duration latency)
{
    seriesOf(m_latencies, std::string(route), OverflowRoute).add(latency);
}

std::string EntryMetrics::text() const
{
    std::string text;
    for (const auto &[labels, value] : m_responses) {
        text += "sapphirecove_answers_total{" + labels + "} " + std::to_string(value) + '\n';
    }
    for (const auto &[name, value] : m_events) {
        text += "sapphirecove_" + name + " " + std::to_string(value) + '\n';
    }
    for (const auto &[route, histogram] : m_latencies) {
        histogram.append(text, "sapphirecove_latency_seconds", "route=\"" + route + '"');
    }
    return text;
}

} // namespace sapphirecove::transport::entry
