#pragma once

#include <random>
#include <string>

namespace sapphirecove::load {

/** Variation of the arrival rate over a run. */
enum class RateShape {
    Constant,
    Burst, /**< five times the base rate during 5 s of every 30 s */
    Diurnal, /**< one sine period over the run, between 0.25 and 1.75 times the base rate */
};

/** Poisson arrival process whose rate follows a RateShape; the same seed gives the same arrival times. */
class Arrivals
{
public:
    /** @p rate is the base rate in requests per second, @p duration the length of the run in seconds. */
    Arrivals(RateShape shape, double rate, double duration, std::uint64_t seed);

    /** Returns the time of the next arrival in seconds from the start, or a negative number after the end. */
    double next();

private:
    /** Returns the factor on the base rate at @p time. */
    double rateFactorAt(double time) const;

    RateShape m_shape;
    double m_rate;
    double m_duration;
    double m_time = 0;
    std::mt19937_64 m_random;
};

} // namespace sapphirecove::load
