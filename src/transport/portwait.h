#pragma once

#include "state/time.h"

#include <boost/system/error_code.hpp>

#include <functional>
#include <string_view>

namespace sapphirecove::transport {

/**
 * Time for which a starting process waits for a port that another socket uses. The sockets of a process that was
 * killed, or connections that the system gave the port to while the process was away, need some seconds to end.
 */
constexpr state::Duration PortWait = std::chrono::seconds(10);

/**
 * Calls @p bind until it returns anything but address_in_use, or until @p wait is over; returns its last result. Blocks
 * the calling thread, which must not serve yet. @p endpoint names the port in the log.
 */
boost::system::error_code
bindWhenFree(std::string_view endpoint, state::Duration wait, const std::function<boost::system::error_code()> &bind);

} // namespace sapphirecove::transport
