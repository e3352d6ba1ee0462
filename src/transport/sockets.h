#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace sapphirecove::transport {

/**
 * Sets the options of a latency-sensitive connection: small writes are not delayed, and the connection is closed if
 * the peer acknowledges nothing for a few seconds, for example after it has lost power.
 */
void prepareSocket(boost::asio::ip::tcp::socket &socket);

/** Returns whether @p socket is open, its peer has not closed it and no unexpected byte has arrived. */
bool isIdleAndOpen(boost::asio::ip::tcp::socket &socket);

/**
 * Closes a connection whose peer may still be sending: shuts down the sending side and discards a bounded amount of
 * input first, because closing with unread input resets the connection, and the peer could lose the response.
 */
boost::asio::awaitable<void> lingeringClose(boost::asio::ip::tcp::socket &socket);

} // namespace sapphirecove::transport
