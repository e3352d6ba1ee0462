#pragma once

#include "transport/systemclock.h"

#include <atomic>

namespace sapphirecove::tests::entry {

/** Clock that a test can move ahead. */
class ShiftedClock final : public transport::TimeSource
{
public:
    state::Time now() const override
    {
        return m_clock.now() + m_shift.load();
    }

    void advance(state::Duration duration)
    {
        m_shift = m_shift.load() + duration;
    }

private:
    transport::SystemClock m_clock;
    std::atomic<state::Duration> m_shift{ state::Duration::zero() };
};

} // namespace sapphirecove::tests::entry
