#pragma once

#include <cstdint>

namespace sapphirecove::coordination {

/** Running mean and variance of the logarithm of a measure (Welford, Technometrics 4(3), 1962). */
class LogarithmStatistics
{
public:
    /** Variance assumed at least, a spread of 5%, so that a few equal values do not look certain. */
    static constexpr double MinVariance = 0.0025;

    /** Adds the logarithm of a value. */
    void add(double logarithm);

    std::int64_t count() const;
    double mean() const;

    /** Returns the variance of the mean; infinite for fewer than two values. */
    double varianceOfMean() const;

private:
    std::int64_t m_count = 0;
    double m_mean = 0;
    double m_squares = 0;
};

} // namespace sapphirecove::coordination
