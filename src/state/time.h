#pragma once

#include <chrono>
#include <cstdint>

namespace sapphirecove::state {

/** Span of time in microseconds. */
using Duration = std::chrono::microseconds;

/**
 * Clock type of all points in time: microseconds since the Unix epoch.
 *
 * It has no now(): decision code takes the current time as an argument, and only the transport layer reads a system
 * clock.
 */
struct Clock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<Clock, duration>; // NOLINT(readability-identifier-naming)
    static constexpr bool is_steady = false; // NOLINT(readability-identifier-naming)
};

/** Point in time, microseconds since the Unix epoch. */
using Time = Clock::time_point;

/** Returns the time @p value microseconds after the Unix epoch. */
constexpr Time timeFromMicroseconds(std::int64_t value)
{
    return Time(Duration(value));
}

/** Returns the microseconds between the Unix epoch and @p time. */
constexpr std::int64_t toMicroseconds(Time time)
{
    return time.time_since_epoch().count();
}

/** Returns @p duration in seconds. */
constexpr double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/** Returns the duration closest to @p seconds, truncated to microseconds. */
constexpr Duration durationFromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

/** Returns @p duration in milliseconds. */
constexpr double toMilliseconds(Duration duration)
{
    return toSeconds(duration) * 1000;
}

/** Returns the duration closest to @p milliseconds, truncated to microseconds. */
constexpr Duration durationFromMilliseconds(double milliseconds)
{
    return durationFromSeconds(milliseconds / 1000);
}

/** Returns @p duration times @p factor, truncated to microseconds. */
constexpr Duration scaled(Duration duration, double factor)
{
    return durationFromSeconds(toSeconds(duration) * factor);
}

} // namespace sapphirecove::state
