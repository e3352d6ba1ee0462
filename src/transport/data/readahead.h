#pragma once

#include "transport/signal.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <functional>

namespace sapphirecove::transport {

/**
 * Reads from a caller's connection while its request is served, to detect that the caller has disconnected. Bytes of a
 * following request stay in the connection's buffer. Once the buffer is full, a disconnect is no longer detected, since
 * reading is the only portable way to notice that a TCP connection was closed.
 *
 * A caller that closes only its sending side counts as disconnected, as with other HTTP servers.
 */
class ReadAhead
{
public:
    ReadAhead(boost::asio::ip::tcp::socket &socket, boost::beast::flat_buffer &buffer, std::size_t limit);

    /** Starts to read; @p onClosed is called at most once, when the connection was closed or failed. */
    void start(std::function<void()> onClosed);

    /** Stops reading and waits until the buffer is no longer in use. */
    boost::asio::awaitable<void> stop();

private:
    void read();
    void finish(const boost::system::error_code &error, std::size_t bytes);

    boost::asio::ip::tcp::socket &m_socket;
    boost::beast::flat_buffer &m_buffer;
    std::size_t m_limit;
    boost::asio::cancellation_signal m_cancel;
    Signal m_finished;
    std::function<void()> m_onClosed;
    bool m_reading = false;
    bool m_stopping = false;
};

} // namespace sapphirecove::transport
