#include "transport/sockets.h"

#include "transport/log.h"
#include "transport/watchdog.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <array>

namespace sapphirecove::transport {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

/** Time in milliseconds for which sent bytes may stay unacknowledged: several repetitions of a lost packet. */
constexpr int UnacknowledgedLimitMs = 4000;

constexpr std::size_t MaxDiscardedBytes = std::size_t{ 1024 } * 1024;
constexpr state::Duration DiscardLimit = std::chrono::seconds(1);

} // namespace

void prepareSocket(tcp::socket &socket)
{
    boost::system::error_code error;
    socket.set_option(tcp::no_delay(true), error);
    if (!error) {
        socket.set_option(UserTimeout(UnacknowledgedLimitMs), error);
    }
    if (error) {
        logEvent("socket_option_failed", { { "detail", error.message() } });
    }
}

bool isIdleAndOpen(tcp::socket &socket)
{
    if (!socket.is_open()) {
        return false;
    }
    boost::system::error_code error;
    socket.non_blocking(true, error);
    if (error) {
        return false;
    }
    char byte = 0;
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block || error == asio::error::try_again;
}

asio::awaitable<void> lingeringClose(tcp::socket &socket)
{
    boost::system::error_code error;
    socket.shutdown(tcp::socket::shutdown_send, error);
    Watchdog watchdog(socket.get_executor(), [&socket] {
        boost::system::error_code ignored;
        socket.cancel(ignored);
    });
    watchdog.arm(DiscardLimit);
    std::array<char, 4096> discarded{};
    std::size_t total = 0;
    while (!error && total < MaxDiscardedBytes) {
        total +=
            co_await socket.async_read_some(asio::buffer(discarded), asio::redirect_error(asio::use_awaitable, error));
    }
    socket.close(error);
}

} // namespace sapphirecove::transport
