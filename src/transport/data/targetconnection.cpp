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
    : m_executor(executor)
    , m_watchdog(executor,
                 [this] {
                     close();
                 })
    , m_chunk(chunkBytes)
{
}

TargetConnection::~TargetConnection()
{
    detach();
}

asio::awaitable<boost::system::error_code> TargetConnection::connect(const Endpoint &endpoint, state::Duration limit)
{
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(endpoint.address, error);
    if (error) {
        co_return error;
    }
    detach();
    m_response.reset();
    m_closed = false;
    m_buffer.clear();
    // A write that is still pending would go on with the rest of the earlier request on a socket that is opened again.
    m_current = std::shared_ptr<Sending>(new Sending{ asio::ip::tcp::socket(m_executor), {}, {}, this });
    const auto current = m_current;
    m_watchdog.arm(limit);
    const asio::ip::tcp::endpoint address(ip, endpoint.port);
    co_await current->socket.async_connect(address, asio::redirect_error(asio::use_awaitable, error));
    m_watchdog.disarm();
    if (m_watchdog.expired()) {
        error = asio::error::timed_out;
    }
    if (error || m_closed) {
        close();
        co_return error ? error : asio::error::operation_aborted;
    }
    boost::system::error_code ignored;
    current->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    co_return error;
}

void TargetConnection::send(Request request)
{
    m_current->request = std::move(request);
    const auto current = m_current;
    http::async_write(
        current->socket, current->request, [current](const boost::system::error_code &error, std::size_t) {
            current->progress = { true, error };
            if (current->connection != nullptr) {
                current->connection->sent();
            }
        });
}

/** Called when the request was sent or could not be: the target has the whole time for its response from now on. */
void TargetConnection::sent()
{
    if (m_headLimit) {
        m_watchdog.arm(*m_headLimit);
    }
}

/** Ends the connection on the current socket, of which a pending write remains the owner. */
void TargetConnection::detach()
{
    if (m_current) {
        m_current->connection = nullptr;
        boost::system::error_code ignored;
        m_current->socket.close(ignored);
    }
}

asio::awaitable<TargetIoStatus> TargetConnection::readHead(state::Duration limit, bool withoutBody)
{
    const std::shared_ptr<const RequestWrite> progress(m_current, &m_current->progress);
    m_response.emplace(m_current->socket, m_buffer, progress, withoutBody);
    m_headLimit = std::min(limit, InactivityTimeout);
    m_watchdog.arm(progress->ended ? *m_headLimit : InactivityTimeout);
    const auto error = co_await m_response->readHeader();
    m_headLimit.reset();
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
    if (m_current) {
        boost::system::error_code ignored;
        m_current->socket.close(ignored);
    }
}

TargetIoStatus TargetConnection::classify(const boost::system::error_code &error) const
{
    if (!error && !m_closed) {
        return TargetIoStatus::Ok;
    }
    return !m_closed && isMalformedResponse(error) ? TargetIoStatus::Malformed : TargetIoStatus::ConnectionLost;
}

} // namespace sapphirecove::transport
