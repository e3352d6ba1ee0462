#pragma once

#include "protocol/endpoint.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace sapphirecove::transport::entry {

/**
 * Returns whether the target at @p endpoint refuses connections, which tells a crash from the end of one connection. No
 * answer within a few round trips counts as not refused.
 */
boost::asio::awaitable<bool> refusesConnections(boost::asio::io_context &io, protocol::Endpoint endpoint);

} // namespace sapphirecove::transport::entry
