#pragma once

#include <random>
#include <string>

namespace sapphirecove::load {

/** How the arrival rate changes over a run. */
enum class RateShape {
    Constant,
    Burst, /**< 5 s out of each 30 s at five times the rate */
    Diurnal, /**< one sine wave over the run, between a quarter and seven quarters of the rate */
};

/** Poisson arrivals at a rate that follows a shape; the same seed gives the same arrivals. */
class Arrivals
{
public:
    /** @p rate in requests per second, @p duration in seconds. */
    Arrivals(RateShape shape, double rate, double duration, std::uint64_t seed);

    /** Returns the time of the next arrival in seconds from the start, or a negative number after the end. */
    double next();

private:
    double rateFactorAt(double time) const;

    RateShape m_shape;
    double m_rate;
    double m_duration;
    double m_time = 0;
    std::mt19937_64 m_random;
};

} // namespace sapphirecove::load
