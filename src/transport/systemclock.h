#pragma once

#include "state/time.h"

#include <chrono>

namespace sapphirecove::transport {

/** Source of the present time; an interface so that tests can set it. */
class TimeSource
{
public:
    virtual ~TimeSource() = default;

    /** Returns the present time; callable from any thread. */
    virtual state::Time now() const = 0;
};

/**
 * Time of the machine. The Unix time is read once at construction and the steady clock is added to it, so that the
 * result never runs backwards when the system clock is set.
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
