#include "bench/arrivals.h"

#include <cmath>
#include <numbers>

namespace sapphirecove::load {

namespace {

constexpr double BurstPeriod = 30; // seconds
constexpr double BurstStart = 10;
constexpr double BurstLength = 5;
constexpr double BurstFactor = 5;
constexpr double DiurnalSwing = 0.75;

} // namespace

Arrivals::Arrivals(Shape shape, double rate, double duration, std::uint64_t seed)
    : m_shape(shape)
    , m_rate(rate)
    , m_duration(duration)
    , m_random(seed)
{
}

double Arrivals::next()
{
    // Thinning: candidates arrive at the highest rate of the shape, and each is kept with the share that the rate at
    // its time has of the highest.
    const double highest = m_shape == Shape::Burst ? BurstFactor : 1 + DiurnalSwing;
    std::exponential_distribution<double> gap(m_rate * highest);
    std::uniform_real_distribution<double> share(0, 1);
    while (m_time < m_duration) {
        m_time += gap(m_random);
        if (share(m_random) * highest < factorAt(m_time) && m_time < m_duration) {
            return m_time;
        }
    }
    return -1;
}

double Arrivals::factorAt(double time) const
{
    switch (m_shape) {
    case Shape::Constant:
        return 1;
    case Shape::Burst: {
        const double phase = std::fmod(time, BurstPeriod);
        return phase >= BurstStart && phase < BurstStart + BurstLength ? BurstFactor : 1;
    }
    case Shape::Diurnal:
        return 1 - DiurnalSwing * std::cos(2 * std::numbers::pi * time / m_duration);
    }
    return 1;
}

} // namespace sapphirecove::load
