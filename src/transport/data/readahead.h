#pragma once

#include "transport/signal.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <functional>

namespace sapphirecove::transport {

/**
 * Reads from a caller's connection while its request is served, to notice that the caller has gone. Bytes of a
 * following request are kept in the connection's buffer; when the buffer is full the watch ends, since TCP gives no
 * other portable sign of a closed connection.
 *
 * A caller that closes only its sending side counts as gone, as it does with other HTTP servers.
 */
class ReadAhead
{
public:
    ReadAhead(boost::asio::ip::tcp::socket &socket, boost::beast::flat_buffer &buffer, std::size_t limit);

    /** Starts to watch; @p onClosed is called at most once, when the connection has ended. */
    void start(std::function<void()> onClosed);

    /** Ends the watch and waits until the buffer is no longer in use. */
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
