#include "transport/entry/targetprobe.h"

#include "state/time.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <memory>

namespace sapphirecove::transport::entry {

namespace asio = boost::asio;

namespace {

/** Timeout of the connection: several round trips between regions. The request waits for it before it is repeated. */
constexpr state::Duration ProbeTimeout = std::chrono::milliseconds(150);

} // namespace

asio::awaitable<bool> refusesConnections(asio::io_context &io, protocol::Endpoint endpoint)
{
    boost::system::error_code error;
    const auto address = asio::ip::make_address(endpoint.address, error);
    // Shared with the timer's handler, which may run after the connection has been established or refused.
    auto socket = std::make_shared<asio::ip::tcp::socket>(io);
    asio::steady_timer timer(io, ProbeTimeout);
    timer.async_wait([socket](const boost::system::error_code &cancelled) {
        boost::system::error_code ignored;
        if (!cancelled) {
            socket->close(ignored);
        }
    });
    co_await socket->async_connect({ address, endpoint.port }, asio::redirect_error(asio::use_awaitable, error));
    timer.cancel();
    co_return error == asio::error::connection_refused;
}

} // namespace sapphirecove::transport::entry
