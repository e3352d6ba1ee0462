#include "transport/entry/callersession.h"

#include "transport/entry/format.h"
#include "transport/log.h"
#include "transport/messageframing.h"
#include "transport/sockets.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <exception>
#include <utility>

namespace sapphirecove::transport::entry {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

/** Timeout for a body after its header was read; callers with slow links send some megabytes within it. */
constexpr state::Duration BodyTimeout = std::chrono::seconds(20);

/** Retry-After of a request that was given up as the bodies of all requests took too much memory. */
constexpr state::Duration BodyRetryAfter = std::chrono::seconds(1);

/** Bytes that are peeked at, only to tell a closed connection from a further request. */
constexpr std::size_t PeekBytes = 1;

} // namespace

std::string_view CallerSession::nameOf(ReadPhase phase)
{
    switch (phase) {
    case ReadPhase::FirstByte:
        return "first_byte";
    case ReadPhase::Header:
        return "header";
    case ReadPhase::Body:
        return "body";
    }
    return "unknown";
}

CallerSession::CallerSession(ServingContext &context, tcp::socket socket)
    : m_context(context)
    , m_socket(std::move(socket))
{
}

asio::awaitable<void> CallerSession::run()
{
    const auto self = shared_from_this();
    try {
        co_await serve();
    } catch (const std::exception &exception) {
        // Without this, the connection would end without a trace in the log.
        m_context.metrics.count("caller_sessions_failed_total");
        logEvent("caller_session_failed",
                 { { "detail", exception.what() }, { "request_in_hand", idle() ? "no" : "yes" } });
    }
    m_ending = true;
    co_await lingeringClose(m_socket);
}

asio::awaitable<void> CallerSession::serve()
{
    bool open = true;
    while (open) {
        auto request = co_await readRequest();
        if (!request) {
            break;
        }
        m_exchange = std::make_unique<Exchange>(m_context, m_socket, std::move(*request), m_context.now());
        watchForDisconnect();
        open = co_await m_exchange->run();
        m_exchange.reset();
    }
}

asio::awaitable<std::optional<Request>> CallerSession::readRequest()
{
    BoundedParser parser;
    boost::system::error_code error;
    m_requestBytes.reset();
    setReadDeadline(ReadPhase::FirstByte, currentLimits().idleTimeout);
    if (m_buffer.size() == 0) {
        co_await m_socket.async_wait(tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
    }
    if (!error) {
        // The configuration may have changed while the connection was idle.
        const state::entry::CallerLimits limits = currentLimits();
        parser.header_limit(limits.maxHeaderBytes);
        parser.body_limit(limits.maxBodyBytes);
        limitUnparsed(m_buffer, limits.maxHeaderBytes);
        setReadDeadline(ReadPhase::Header, limits.headerTimeout);
        m_receiving = true;
        m_requestBytes.emplace(m_context.requestBytes, [this] {
            cancelRead();
        });
        error = co_await readHeader(m_socket, m_buffer, parser, *m_requestBytes);
    }
    if (!error && !hasClearFraming(parser.get())) {
        error = http::error::bad_transfer_encoding;
    }
    if (!error && !parser.is_done()) {
        setReadDeadline(ReadPhase::Body, BodyTimeout);
        if (parser.get()[http::field::expect] == "100-continue") {
            http::response<http::empty_body> continueResponse(http::status::continue_, 11);
            co_await http::async_write(m_socket, continueResponse, asio::redirect_error(asio::use_awaitable, error));
        }
        if (m_requestBytes->givenUp()) {
            error = asio::error::no_buffer_space;
        }
        if (!error) {
            error = co_await readRest(m_socket, m_buffer, parser, *m_requestBytes);
        }
    }
    shrinkIdle(m_buffer);
    if (!error) {
        m_requestBytes->resize(keptBytes(parser, m_buffer));
        m_requestBytes->complete();
    }
    m_readDeadline.reset();
    const bool tooSlow = m_readTimedOut && m_receiving;
    m_receiving = false;
    if (error) {
        m_ending = true;
        co_await rejectRequest(error, tooSlow);
        co_return std::nullopt;
    }
    co_return parser.release();
}

/** Returns the limits of the configuration in force. */
state::entry::CallerLimits CallerSession::currentLimits() const
{
    return m_context.table ? m_context.table->limits() : state::entry::CallerLimits();
}

/** Sends an error response to a malformed request or one that arrives too slowly; does nothing if the connection has
 * ended. */
asio::awaitable<void> CallerSession::rejectRequest(const boost::system::error_code &error, bool tooSlow)
{
    static const auto &httpErrors = http::make_error_code(http::error::end_of_stream).category();
    const bool malformed =
        error.category() == httpErrors && error != http::error::end_of_stream && error != http::error::partial_message;
    const bool tooMany = error == asio::error::no_buffer_space;
    if (!malformed && !tooSlow && !tooMany) {
        co_return;
    }
    http::status status = http::status::bad_request;
    std::string_view reason = tooSlow ? "request_too_slow" : "malformed";
    std::optional<state::Duration> retryAfter;
    if (tooMany) {
        status = http::status::service_unavailable;
        reason = "too_many_bytes";
        retryAfter = BodyRetryAfter;
        m_context.metrics.count("requests_given_up_total");
    } else if (tooSlow) {
        status = http::status::request_timeout;
    } else if (error == http::error::header_limit || error == http::error::buffer_overflow) {
        status = http::status::request_header_fields_too_large;
    } else if (error == http::error::body_limit) {
        status = http::status::payload_too_large;
    }
    logEvent("request_rejected",
             { { "detail", error.message() }, { "status", std::to_string(static_cast<int>(status)) } });
    Response response = makeErrorResponse(status, reason, retryAfter);
    response.keep_alive(false);
    response.prepare_payload();
    boost::system::error_code ignored;
    co_await http::async_write(m_socket, response, asio::redirect_error(asio::use_awaitable, ignored));
}

/** Detects that the caller closes the connection while its request is being served. */
void CallerSession::watchForDisconnect()
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
            self->watchForDisconnect();
        } else if (readError || size == 0) {
            self->m_exchange->callerDisconnected();
        }
    });
}

void CallerSession::checkTimeouts(state::Time now)
{
    // Callers go by the newest limit, also on connections that were idle before.
    if (m_readDeadline && m_readPhase == ReadPhase::FirstByte) {
        m_readDeadline = std::max(*m_readDeadline, m_readPhaseSince + currentLimits().idleTimeout);
    }
    // What has arrived is read in this turn of the event loop; only then it is known whether the caller is too slow.
    if (m_readDeadline && now >= *m_readDeadline && !hasUnreadBytes()) {
        m_readDeadline.reset();
        m_readTimedOut = true;
        recordClose("timeout");
        cancelRead();
    }
    if (m_exchange) {
        m_exchange->checkTimeouts(now);
    }
}

void CallerSession::closeIfIdle()
{
    if (idle()) {
        recordClose("stopping");
        cancelRead();
    }
}

void CallerSession::setReadDeadline(ReadPhase phase, state::Duration timeout)
{
    m_readPhase = phase;
    m_readPhaseSince = m_context.now();
    m_readDeadline = m_readPhaseSince + timeout;
}

/** Counts the close of an open connection by this host, and logs it if a part of a request has arrived. */
void CallerSession::recordClose(std::string_view cause)
{
    if (!m_socket.is_open()) {
        return;
    }
    boost::system::error_code ignored;
    const std::size_t unread = m_socket.available(ignored) + m_buffer.size();
    m_context.metrics.count("caller_connections_closed_total");
    if (unread == 0 && !m_receiving) {
        return;
    }
    m_context.metrics.count("caller_connections_closed_with_request_total");
    logEvent("caller_connection_closed",
             { { "cause", std::string(cause) },
               { "phase", std::string(nameOf(m_readPhase)) },
               { "phase_ms", milliseconds(m_context.now() - m_readPhaseSince) },
               { "unread_bytes", std::to_string(unread) },
               { "configuration", m_context.table ? std::to_string(m_context.table->version()) : "none" },
               { "configuration_age_ms", milliseconds(m_context.now() - m_context.configurationInForce) } });
}

/** Returns whether bytes of the caller have arrived that have not been read from the socket. */
bool CallerSession::hasUnreadBytes() const
{
    boost::system::error_code error;
    return m_socket.is_open() && m_socket.available(error) > 0 && !error;
}

/** Ends the connection unless the read has just succeeded. Closing it would lose a request that was read. */
void CallerSession::cancelRead()
{
    boost::system::error_code ignored;
    m_socket.cancel(ignored);
}

} // namespace sapphirecove::transport::entry
