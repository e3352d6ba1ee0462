#pragma once

#include "state/time.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>

namespace sapphirecove::transport {

/**
 * Timeout of an operation: calls a function, usually one that cancels a socket, unless it is disarmed in time.
 * All calls must be on one thread. The function is never called after destruction.
 */
class Watchdog
{
public:
    Watchdog(const boost::asio::any_io_executor &executor, std::function<void()> onExpiry);
    ~Watchdog();

    Watchdog(const Watchdog &) = delete;
    Watchdog &operator=(const Watchdog &) = delete;

    /** Starts or restarts the timeout. */
    void arm(state::Duration timeout);

    /** Cancels the timeout. */
    void disarm();

    /** Returns whether the last timeout has expired. */
    bool expired() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace sapphirecove::transport
