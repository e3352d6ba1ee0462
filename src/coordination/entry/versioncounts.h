#pragma once

#include <algorithm>
#include <cmath>

namespace sapphirecove::coordination::entry {

/** Requests that were sent to a software version, and the responses that say something about it. */
struct VersionCounts
{
    double dispatched = 0;
    double good = 0;
    double bad = 0;
    double timed = 0; /**< responses whose time is known, and requests that ended without one after an unusual time */
    double latencyLogSum = 0; /**< over the timed ones: logarithm of the time divided by the route's usual time */
    double latencyLogSquareSum = 0;

    /** Largest logarithm that counts: a single very slow response says no more than one of four times the usual. */
    static constexpr double MaxLatencyLog = 1.386;

    /** Adds a time, given as a multiple of the route's usual time. */
    void addLatency(double ratio)
    {
        const double logarithm = std::clamp(std::log(std::max(ratio, 1e-6)), -MaxLatencyLog, MaxLatencyLog);
        timed += 1;
        latencyLogSum += logarithm;
        latencyLogSquareSum += logarithm * logarithm;
    }

    /** Returns the mean time as a multiple of the route's usual time. */
    double meanLatency() const
    {
        return timed > 0 ? std::exp(latencyLogSum / timed) : 1;
    }

    /** Adds the counts of @p other, multiplied by @p factor. */
    void add(const VersionCounts &other, double factor = 1)
    {
        dispatched += factor * other.dispatched;
        good += factor * other.good;
        bad += factor * other.bad;
        timed += factor * other.timed;
        latencyLogSum += factor * other.latencyLogSum;
        latencyLogSquareSum += factor * other.latencyLogSquareSum;
    }

    void scale(double factor)
    {
        const VersionCounts counts = *this;
        *this = {};
        add(counts, factor);
    }
};

/** Counts on one route. */
struct RouteCounts
{
    VersionCounts target; /**< of the version that a service is rolled out to */
    VersionCounts others; /**< of all other versions together */

    void add(const RouteCounts &other, double factor = 1)
    {
        target.add(other.target, factor);
        others.add(other.others, factor);
    }
};

} // namespace sapphirecove::coordination::entry
