#include "transport/entry/callersession.h"

#include "transport/log.h"
#include "transport/sockets.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <utility>

namespace sapphirecove::transport::entry {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

/** Time for a body once its head was read; callers with slow links send some megabytes within it. */
constexpr state::Duration BodyLimit = std::chrono::seconds(20);

/** Readable bytes are looked at this far only to tell a close from a request. */
constexpr std::size_t PeekBytes = 1;

} // namespace

CallerSession::CallerSession(ServingContext &context, tcp::socket socket)
    : m_context(context)
    , m_socket(std::move(socket))
{
}

asio::awaitable<void> CallerSession::run()
{
    const auto self = shared_from_this();
    bool open = true;
    while (open) {
        auto request = co_await readRequest();
        if (!request) {
            break;
        }
        m_exchange = std::make_unique<Exchange>(m_context, m_socket, std::move(*request), m_context.now());
        watchCaller();
        open = co_await m_exchange->run();
        m_exchange.reset();
    }
    co_await lingeringClose(m_socket);
}

asio::awaitable<std::optional<Request>> CallerSession::readRequest()
{
    const state::entry::CallerLimits limits =
        m_context.table ? m_context.table->limits() : state::entry::CallerLimits();
    Parser parser;
    parser.header_limit(limits.maxHeaderBytes);
    parser.body_limit(limits.maxBodyBytes);
    m_readUntil = m_context.now() + limits.idleTimeout;
    boost::system::error_code error;
    if (m_buffer.size() == 0) {
        co_await m_socket.async_wait(tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
    }
    if (!error) {
        m_readUntil = m_context.now() + limits.headerTimeout;
        m_receiving = true;
        co_await http::async_read_header(m_socket, m_buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    }
    if (!error && !parser.is_done()) {
        m_readUntil = m_context.now() + BodyLimit;
        if (parser.get()[http::field::expect] == "100-continue") {
            http::response<http::empty_body> go(http::status::continue_, 11);
            co_await http::async_write(m_socket, go, asio::redirect_error(asio::use_awaitable, error));
        }
        if (!error) {
            co_await http::async_read(m_socket, m_buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        }
    }
    m_readUntil.reset();
    m_receiving = false;
    if (error) {
        co_await rejectRequest(error);
        co_return std::nullopt;
    }
    co_return parser.release();
}

/** Answers a request that could not be read, if its caller is still there. */
asio::awaitable<void> CallerSession::rejectRequest(const boost::system::error_code &error)
{
    static const auto &httpErrors = http::make_error_code(http::error::end_of_stream).category();
    const bool malformed =
        error.category() == httpErrors && error != http::error::end_of_stream && error != http::error::partial_message;
    if (!malformed) {
        co_return;
    }
    http::status status = http::status::bad_request;
    if (error == http::error::header_limit) {
        status = http::status::request_header_fields_too_large;
    } else if (error == http::error::body_limit) {
        status = http::status::payload_too_large;
    }
    logEvent("request_rejected",
             { { "detail", error.message() }, { "status", std::to_string(static_cast<int>(status)) } });
    Response answer = ownAnswer(status, "malformed");
    answer.keep_alive(false);
    answer.prepare_payload();
    boost::system::error_code ignored;
    co_await http::async_write(m_socket, answer, asio::redirect_error(asio::use_awaitable, ignored));
}

/** Watches for the caller's close while its request is under way. */
void CallerSession::watchCaller()
{
    if (m_watching || m_buffer.size() > 0) {
        return;
    }
    m_watching = true;
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const boost::system::error_code &error) {
        self->m_watching = false;
        if (error || !self->m_exchange) {
            return;
        }
        char byte[PeekBytes];
        boost::system::error_code readError;
        self->m_socket.non_blocking(true, readError);
        const std::size_t size = self->m_socket.receive(asio::buffer(byte), tcp::socket::message_peek, readError);
        const bool spurious = readError == asio::error::would_block || readError == asio::error::try_again;
        if (spurious) {
            self->watchCaller();
        } else if (readError || size == 0) {
            self->m_exchange->callerLeft();
        }
    });
}

void CallerSession::checkTime(state::Time now)
{
    if (m_readUntil && now >= *m_readUntil) {
        m_readUntil.reset();
        close();
    }
    if (m_exchange) {
        m_exchange->checkTime(now);
    }
}

void CallerSession::closeIfIdle()
{
    if (idle()) {
        close();
    }
}

void CallerSession::close()
{
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

} // namespace sapphirecove::transport::entry
