#include "coordination/logarithmstatistics.h"

#include <algorithm>
#include <limits>

namespace sapphirecove::coordination {

void LogarithmStatistics::add(double logarithm)
{
    ++m_count;
    const double difference = logarithm - m_mean;
    m_mean += difference / static_cast<double>(m_count);
    m_squares += difference * (logarithm - m_mean);
}

std::int64_t LogarithmStatistics::count() const
{
    return m_count;
}

double LogarithmStatistics::mean() const
{
    return m_mean;
}

double LogarithmStatistics::varianceOfMean() const
{
    if (m_count < 2) {
        return std::numeric_limits<double>::infinity();
    }
    const auto count = static_cast<double>(m_count);
    return std::max(m_squares / (count - 1), MinVariance) / count;
}

} // namespace sapphirecove::coordination
