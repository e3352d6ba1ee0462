#include "bench/arrivals.h"

#include <cmath>
#include <numbers>

namespace sapphirecove::load {

namespace {

constexpr double BurstPeriodSeconds = 30;
constexpr double BurstStartSeconds = 10;
constexpr double BurstLengthSeconds = 5;
constexpr double BurstFactor = 5;
constexpr double DiurnalAmplitude = 0.75;

} // namespace

Arrivals::Arrivals(RateShape shape, double rate, double duration, std::uint64_t seed)
    : m_shape(shape)
    , m_rate(rate)
    , m_duration(duration)
    , m_random(seed)
{
}

double Arrivals::next()
{
    // Thinning: candidate arrivals are drawn at the maximum rate of the shape, and each is accepted with the ratio of
    // the rate at its time to the maximum rate as probability.
    const double maxFactor = m_shape == RateShape::Burst ? BurstFactor : 1 + DiurnalAmplitude;
    std::exponential_distribution<double> gap(m_rate * maxFactor);
    std::uniform_real_distribution<double> acceptance(0, 1);
    while (m_time < m_duration) {
        m_time += gap(m_random);
        if (acceptance(m_random) * maxFactor < rateFactorAt(m_time) && m_time < m_duration) {
            return m_time;
        }
    }
    return -1;
}

double Arrivals::rateFactorAt(double time) const
{
    switch (m_shape) {
    case RateShape::Constant:
        return 1;
    case RateShape::Burst: {
        const double phase = std::fmod(time, BurstPeriodSeconds);
        return phase >= BurstStartSeconds && phase < BurstStartSeconds + BurstLengthSeconds ? BurstFactor : 1;
    }
    case RateShape::Diurnal:
        return 1 - DiurnalAmplitude * std::cos(2 * std::numbers::pi * time / m_duration);
    }
    return 1;
}

} // namespace sapphirecove::load
