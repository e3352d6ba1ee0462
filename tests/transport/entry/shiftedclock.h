#pragma once

#include "transport/systemclock.h"

#include <atomic>
#include <condition_variable>
#include <mutex>

namespace sapphirecove::tests::entry {

/** Clock that a test can move ahead, and with which it can pause the threads that read it. */
class ShiftedClock final : public transport::TimeSource
{
public:
    state::Time now() const override
    {
        std::unique_lock lock(m_mutex);
        m_waiting = m_paused;
        m_changed.notify_all();
        m_changed.wait(lock, [this] {
            return !m_paused;
        });
        return m_clock.now() + m_shift;
    }

    void advance(state::Duration duration)
    {
        const std::lock_guard lock(m_mutex);
        m_shift += duration;
    }

    /** Holds up the next thread that reads the clock, until resume(); returns once there is one. */
    void pause()
    {
        std::unique_lock lock(m_mutex);
        m_paused = true;
        m_waiting = false;
        m_changed.wait(lock, [this] {
            return m_waiting;
        });
    }

    void resume()
    {
        const std::lock_guard lock(m_mutex);
        m_paused = false;
        m_changed.notify_all();
    }

private:
    transport::SystemClock m_clock;
    mutable std::mutex m_mutex;
    mutable std::condition_variable m_changed;
    mutable bool m_waiting = false; /**< a thread waits for resume() */
    bool m_paused = false;
    state::Duration m_shift = state::Duration::zero();
};

} // namespace sapphirecove::tests::entry
