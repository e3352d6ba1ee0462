#include "transport/data/targetconnection.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>

namespace sapphirecove::transport {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/** Time without progress after which the connection counts as lost; a non-streaming response can take minutes. */
constexpr state::Duration InactivityTimeout = std::chrono::seconds(300);

} // namespace

TargetConnection::TargetConnection(const asio::any_io_executor &executor, std::size_t chunkBytes)
    : m_socket(executor)
    , m_watchdog(executor,
                 [this] {
                     close();
                 })
    , m_chunk(chunkBytes)
{
}

asio::awaitable<boost::system::error_code> TargetConnection::connect(const Endpoint &endpoint, state::Duration limit)
{
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(endpoint.address, error);
    if (error) {
        co_return error;
    }
    m_closed = false;
    m_buffer.clear();
    m_request = std::make_shared<RequestWrite>();
    m_watchdog.arm(limit);
    const asio::ip::tcp::endpoint address(ip, endpoint.port);
    co_await m_socket.async_connect(address, asio::redirect_error(asio::use_awaitable, error));
    m_watchdog.disarm();
    if (m_watchdog.expired()) {
        error = asio::error::timed_out;
    }
    if (error || m_closed) {
        close();
        co_return error ? error : asio::error::operation_aborted;
    }
    boost::system::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    co_return error;
}

asio::awaitable<TargetIoStatus> TargetConnection::send(const Request &request)
{
    boost::system::error_code error;
    m_watchdog.arm(InactivityTimeout);
    co_await http::async_write(m_socket, request, asio::redirect_error(asio::use_awaitable, error));
    m_watchdog.disarm();
    *m_request = { true, error };
    co_return classify(error);
}

asio::awaitable<TargetIoStatus> TargetConnection::readHead(state::Duration limit, bool withoutBody)
{
    m_response.emplace(m_socket, m_buffer, m_request, withoutBody);
    m_watchdog.arm(std::min(limit, InactivityTimeout));
    const auto error = co_await m_response->readHeader();
    m_watchdog.disarm();
    co_return classify(error);
}

asio::awaitable<TargetIoStatus> TargetConnection::readBody()
{
    m_watchdog.arm(InactivityTimeout);
    const auto error = co_await m_response->readBody(m_chunk, m_chunkSize);
    m_watchdog.disarm();
    co_return classify(error);
}

void TargetConnection::close()
{
    m_closed = true;
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

TargetIoStatus TargetConnection::classify(const boost::system::error_code &error) const
{
    if (!error && !m_closed) {
        return TargetIoStatus::Ok;
    }
    return !m_closed && isMalformedResponse(error) ? TargetIoStatus::Malformed : TargetIoStatus::ConnectionLost;
}

} // namespace sapphirecove::transport
