#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace sapphirecove::transport {

/**
 * Sets the options of a connection that must not wait: no delay of small writes, and an end after a few seconds in
 * which the peer acknowledges nothing, as after its loss of power.
 */
void prepareSocket(boost::asio::ip::tcp::socket &socket);

/** Returns whether @p socket is open, its peer has not closed it and no unexpected byte has arrived. */
bool isIdleAndOpen(boost::asio::ip::tcp::socket &socket);

/**
 * Closes a connection whose peer may still be sending: ends the sending side and discards a bounded amount of input
 * first, because closing with unread input resets the connection and can destroy the answer on its way.
 */
boost::asio::awaitable<void> lingeringClose(boost::asio::ip::tcp::socket &socket);

} // namespace sapphirecove::transport
