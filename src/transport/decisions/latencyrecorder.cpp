#include "transport/decisions/latencyrecorder.h"

#include <utility>

namespace sapphirecove::transport {

namespace accumulators = boost::accumulators;

LatencyRecorder::LatencyRecorder(std::string name, std::string help)
    : m_name(std::move(name))
    , m_help(std::move(help))
    , m_currentWindow(emptyAccumulator())
{
}

void LatencyRecorder::add(state::Duration value, state::Time now)
{
    advance(now);
    const double seconds = state::toSeconds(value);
    ++m_count;
    m_sum += seconds;
    m_currentWindow(seconds);
}

LatencySummary LatencyRecorder::summary(state::Time now)
{
    advance(now);
    const TailAccumulator &tail = m_lastWindow ? *m_lastWindow : m_currentWindow;
    return LatencySummary{ m_name, m_help, m_count, m_sum, quantile(tail, 0.95), quantile(tail, 0.99) };
}

LatencyRecorder::TailAccumulator LatencyRecorder::emptyAccumulator()
{
    return TailAccumulator(accumulators::tag::tail<accumulators::right>::cache_size = MaxKeptValues);
}

std::optional<double> LatencyRecorder::quantile(const TailAccumulator &tail, double probability)
{
    const auto count = static_cast<double>(accumulators::count(tail));
    if (count == 0 || count * (1 - probability) > MaxKeptValues) {
        return std::nullopt;
    }
    return accumulators::quantile(tail, accumulators::quantile_probability = probability);
}

void LatencyRecorder::advance(state::Time now)
{
    if (m_windowStart == state::Time{}) {
        m_windowStart = now;
        return;
    }
    if (now - m_windowStart < Window) {
        return;
    }
    m_lastWindow = std::exchange(m_currentWindow, emptyAccumulator());
    m_windowStart = now;
}

} // namespace sapphirecove::transport
