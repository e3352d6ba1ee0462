#include "transport/decisions/latencyrecorder.h"

#include <utility>

namespace sapphirecove::transport {

namespace accumulators = boost::accumulators;

LatencyRecorder::LatencyRecorder(std::string name, std::string help)
    : m_name(std::move(name))
    , m_help(std::move(help))
    , m_present(emptyTail())
{
}

void LatencyRecorder::add(state::Duration value, state::Time now)
{
    advance(now);
    const double seconds = state::toSeconds(value);
    ++m_count;
    m_sum += seconds;
    m_present(seconds);
}

LatencySummary LatencyRecorder::summary(state::Time now)
{
    advance(now);
    const Tail &tail = m_complete ? *m_complete : m_present;
    return LatencySummary{ m_name, m_help, m_count, m_sum, quantile(tail, 0.95), quantile(tail, 0.99) };
}

LatencyRecorder::Tail LatencyRecorder::emptyTail()
{
    return Tail(accumulators::tag::tail<accumulators::right>::cache_size = KeptValues);
}

std::optional<double> LatencyRecorder::quantile(const Tail &tail, double probability)
{
    const auto count = static_cast<double>(accumulators::count(tail));
    if (count == 0 || count * (1 - probability) > KeptValues) {
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
    m_complete = std::exchange(m_present, emptyTail());
    m_windowStart = now;
}

} // namespace sapphirecove::transport
