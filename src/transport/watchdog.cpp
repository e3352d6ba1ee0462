#include "transport/watchdog.h"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <utility>

namespace sapphirecove::transport {

// Shared with the pending wait: an expired timer's handler may already be queued when the watchdog is disarmed or
// destroyed, and the generation shows it that it is outdated.
struct Watchdog::State
{
    State(const boost::asio::any_io_executor &executor, std::function<void()> function)
        : timer(executor)
        , onExpiry(std::move(function))
    {
    }

    boost::asio::steady_timer timer;
    std::function<void()> onExpiry;
    std::uint64_t generation = 0;
    bool expired = false;
};

Watchdog::Watchdog(const boost::asio::any_io_executor &executor, std::function<void()> onExpiry)
    : m_state(std::make_shared<State>(executor, std::move(onExpiry)))
{
}

Watchdog::~Watchdog()
{
    disarm();
}

void Watchdog::arm(state::Duration timeout)
{
    const auto generation = ++m_state->generation;
    m_state->expired = false;
    m_state->timer.expires_after(timeout);
    m_state->timer.async_wait([state = m_state, generation](const boost::system::error_code &error) {
        if (!error && state->generation == generation) {
            state->expired = true;
            state->onExpiry();
        }
    });
}

void Watchdog::disarm()
{
    ++m_state->generation;
    m_state->timer.cancel();
}

bool Watchdog::expired() const
{
    return m_state->expired;
}

} // namespace sapphirecove::transport
