#include "transport/listener.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <optional>
#include <utility>

namespace sapphirecove::transport {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/** Delay after a failed accept, for example while the process has no free file descriptor. */
constexpr std::chrono::milliseconds AcceptRetryDelay{ 20 };

} // namespace

state::Result<std::unique_ptr<Listener>>
Listener::create(asio::io_context &context, const std::string &address, std::uint16_t port, state::Duration portWait)
{
    const auto peer = address + ':' + std::to_string(port);
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(address, error);
    if (error) {
        return state::fail("listen", peer, "not an IP address");
    }
    const tcp::endpoint endpoint(ip, port);
    std::optional<tcp::acceptor> acceptor;
    // Both bind and listen fail if another socket uses the port. After a failed listen, the socket has to be a new one.
    error = bindWhenFree(peer, portWait, [&] {
        boost::system::error_code failure;
        acceptor.emplace(context);
        acceptor->open(endpoint.protocol(), failure);
        if (!failure) {
            acceptor->set_option(tcp::acceptor::reuse_address(true), failure);
        }
        if (!failure) {
            acceptor->bind(endpoint, failure);
        }
        if (!failure) {
            acceptor->listen(asio::socket_base::max_listen_connections, failure);
        }
        return failure;
    });
    if (error) {
        return state::fail("listen", peer, error.message());
    }
    return std::unique_ptr<Listener>(new Listener(std::move(*acceptor)));
}

Listener::Listener(tcp::acceptor acceptor)
    : m_acceptor(std::move(acceptor))
{
}

void Listener::start(OnConnection onConnection)
{
    m_onConnection = std::move(onConnection);
    asio::co_spawn(m_acceptor.get_executor(), accept(), asio::detached);
}

std::uint16_t Listener::port() const
{
    return m_acceptor.local_endpoint().port();
}

asio::awaitable<void> Listener::accept()
{
    for (;;) {
        boost::system::error_code error;
        tcp::socket socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (error) {
            asio::steady_timer pause(m_acceptor.get_executor(), AcceptRetryDelay);
            co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
            continue;
        }
        socket.set_option(tcp::no_delay(true), error);
        m_onConnection(std::move(socket));
    }
}

} // namespace sapphirecove::transport
