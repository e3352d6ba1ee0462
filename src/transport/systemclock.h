#pragma once

#include "state/time.h"

#include <chrono>

namespace sapphirecove::transport {

/** Source of the current time; an interface, so that tests can control the time. */
class TimeSource
{
public:
    virtual ~TimeSource() = default;

    /** Returns the current time; callable from any thread. */
    virtual state::Time now() const = 0;
};

/**
 * Clock of this machine. Reads the Unix time once at construction and adds the time that has passed on the steady
 * clock, so that the result never decreases when the system clock is set.
 */
class SystemClock : public TimeSource
{
public:
    SystemClock();

    state::Time now() const override;

private:
    std::chrono::steady_clock::time_point m_steadyStart;
    state::Time m_start;
};

} // namespace sapphirecove::transport
