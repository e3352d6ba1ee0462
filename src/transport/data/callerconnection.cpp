#include "transport/data/callerconnection.h"

#include "transport/beaststring.h"
#include "transport/data/targetexchange.h"
#include "transport/hopbyhop.h"
#include "transport/httpserver.h"
#include "transport/messageframing.h"
#include "transport/sockets.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <utility>

namespace sapphirecove::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using coordination::Executed;
using coordination::Refusal;
using coordination::RefusalReason;

namespace {

/** Lowest accepted rate of a request body; the time-out of the body grows with its declared length accordingly. */
constexpr std::uint64_t MinBytesPerSecond = 65536;

/** Bytes of pipelined requests that are read while a request is served. */
constexpr std::size_t ReadAheadBytes = 16384;

constexpr state::Duration OverloadRetryAfter = std::chrono::seconds(1);
constexpr state::Duration DrainRetryAfter = std::chrono::seconds(1);
constexpr int StatusHeaderTooLarge = 431;

Refusal refusal(RefusalReason reason, std::string detail, std::optional<state::Duration> retryAfter = {})
{
    return Refusal{ reason, Executed::No, retryAfter, std::move(detail) };
}

/** Counts the body bytes of a request; removes the request and its bytes also if the coroutine is destroyed early. */
class RequestGuard
{
public:
    RequestGuard(std::shared_ptr<RequestTable> table, std::shared_ptr<ActiveRequest> request)
        : m_table(std::move(table))
        , m_request(std::move(request))
        , m_bytes(static_cast<std::int64_t>(m_request->info.bodyBytes))
    {
        m_table->bodyBytes += m_bytes;
    }
    ~RequestGuard()
    {
        m_table->bodyBytes -= m_bytes;
        m_table->remove(*m_request);
    }
    RequestGuard(const RequestGuard &) = delete;
    RequestGuard &operator=(const RequestGuard &) = delete;

private:
    std::shared_ptr<RequestTable> m_table;
    std::shared_ptr<ActiveRequest> m_request;
    std::int64_t m_bytes;
};

/** Returns whether a header field of the caller is forwarded to the target. */
bool isForwarded(http::field name, std::string_view text, state::PoolKind kind)
{
    if (kind == state::PoolKind::Model) {
        return name == http::field::content_type || name == http::field::accept;
    }
    const bool isOwn = name == http::field::authorization || name == http::field::expect || name == http::field::host;
    return !isOwn && !isHopByHop(name) && !beast::iequals(text, "X-Tier") && !beast::iequals(text, "X-Deadline-Ms");
}

} // namespace

CallerConnection::CallerConnection(DataState &state, tcp::socket socket)
    : m_state(state)
    , m_socket(std::move(socket))
    , m_buffer(std::size_t{ state.context.limits.headerBytes } + ReadAheadBytes + 65536)
    , m_watchdog(m_socket.get_executor(),
                 [this] {
                     boost::system::error_code ignored;
                     m_socket.cancel(ignored);
                 })
    , m_readAhead(m_socket, m_buffer, ReadAheadBytes)
{
}

asio::awaitable<void> CallerConnection::run()
{
    bool open = true;
    while (open) {
        open = co_await serveNext();
    }
    if (m_socket.is_open()) {
        co_await lingeringClose(m_socket);
    }
}

asio::awaitable<bool> CallerConnection::serveNext()
{
    Parser parser;
    parser.header_limit(m_state.context.limits.headerBytes);
    parser.body_limit(bodyLimit());
    if (!co_await readHead(parser)) {
        co_return false;
    }
    if (const auto early = checkAcceptance(parser)) {
        co_return co_await refuse(*early, false);
    }
    m_configuration = m_state.configuration;
    const auto checked = checkHead(*m_configuration, receivedHead(parser));
    if (const auto *refused = std::get_if<Refusal>(&checked)) {
        const EarlyRefusal early{ *refused, std::nullopt };
        co_return co_await refuse(early, false);
    }
    if (!co_await readBody(parser)) {
        co_return false;
    }
    co_return co_await serveRequest(parser, std::get<RequestHead>(checked));
}

asio::awaitable<bool> CallerConnection::readHead(Parser &parser)
{
    boost::system::error_code error;
    m_watchdog.arm(m_state.context.limits.receiveTimeout);
    co_await http::async_read_header(m_socket, m_buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    m_watchdog.disarm();
    if (!error && !hasClearFraming(parser.get())) {
        error = http::error::bad_transfer_encoding;
    }
    if (!error) {
        co_return true;
    }
    // No response on an idle connection: the caller could take it for the response to its next request.
    if (!parser.got_some()) {
        co_return false;
    }
    if (const auto early = refusalFor(error)) {
        co_await refuse(*early, false);
    }
    co_return false;
}

asio::awaitable<bool> CallerConnection::readBody(Parser &parser)
{
    boost::system::error_code error;
    co_await continueIfExpected(parser);
    m_watchdog.arm(bodyTimeout(parser));
    co_await http::async_read(m_socket, m_buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    m_watchdog.disarm();
    if (!error) {
        co_return true;
    }
    if (const auto early = refusalFor(error)) {
        co_await refuse(*early, false);
    }
    co_return false;
}

asio::awaitable<bool> CallerConnection::serveRequest(Parser &parser, const RequestHead &head)
{
    const bool keepAlive = parser.get().keep_alive();
    const auto now = m_state.context.clock.now();
    const auto checked = checkBody(*m_configuration, head, parser.get().body(), now);
    if (const auto *refused = std::get_if<Refusal>(&checked)) {
        const EarlyRefusal early{ *refused, std::nullopt };
        co_return co_await refuse(early, keepAlive);
    }
    if (m_state.draining) {
        const EarlyRefusal early{ refusal(RefusalReason::Draining, "this host is shutting down", DrainRetryAfter), {} };
        co_return co_await refuse(early, false);
    }
    const auto request = m_state.requests->add();
    const auto id = request->info.id;
    const auto &admitted = std::get<AdmittedRequest>(checked);
    request->info = admitted.info;
    request->info.id = id;
    request->forwarded = forwardedRequest(parser, head, admitted);
    const RequestGuard guard(m_state.requests, request);
    if (!m_state.trySend(coordination::RequestArrived{ request->info })) {
        const EarlyRefusal early{ refusal(RefusalReason::Overloaded, "too many events wait", OverloadRetryAfter), {} };
        co_return co_await refuse(early, keepAlive);
    }
    co_return co_await serveAccepted(*request, keepAlive);
}

asio::awaitable<bool> CallerConnection::serveAccepted(ActiveRequest &request, bool keepAlive)
{
    const ResponseOptions options{ keepAlive, request.forwarded.method == "HEAD" };
    ResponseWriter writer(m_socket, options);
    m_readAhead.start([this, &request] {
        request.callerDisconnected = true;
        m_state.context.send(coordination::CallerDisconnected{ request.info.id });
        request.notifyChange();
    });
    co_await runDispatches(request, writer);
    co_await m_readAhead.stop();
    co_return writer.reusable() && !request.callerDisconnected;
}

asio::awaitable<void> CallerConnection::runDispatches(ActiveRequest &request, ResponseWriter &writer)
{
    for (;;) {
        co_await request.signal.wait([&] {
            return request.dispatch || request.refusal || request.callerDisconnected;
        });
        if (request.refusal) {
            const auto refused = *request.refusal;
            co_await writer.sendProblem(refused);
            co_return;
        }
        if (request.callerDisconnected) {
            co_return;
        }
        request.cancelled = false;
        TargetExchange exchange(m_state.context, request, writer, *std::exchange(request.dispatch, std::nullopt));
        if (co_await exchange.run()) {
            co_return;
        }
    }
}

asio::awaitable<bool> CallerConnection::refuse(const EarlyRefusal &refusal, bool keepAlive)
{
    ResponseWriter writer(m_socket, ResponseOptions{ keepAlive, false });
    co_await writer.sendProblem(refusal.refusal, refusal.status);
    co_return writer.reusable();
}

asio::awaitable<void> CallerConnection::continueIfExpected(const Parser &parser)
{
    static constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
    if (!beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        co_return;
    }
    boost::system::error_code ignored;
    co_await asio::async_write(
        m_socket, asio::buffer(Continue.data(), Continue.size()), asio::redirect_error(asio::use_awaitable, ignored));
}

std::optional<CallerConnection::EarlyRefusal> CallerConnection::refusalFor(const boost::system::error_code &error) const
{
    if (m_watchdog.expired()) {
        return EarlyRefusal{ refusal(RefusalReason::SlowSender, "the request was not received in time"), {} };
    }
    if (error == http::error::header_limit || error == http::error::buffer_overflow) {
        return EarlyRefusal{ refusal(RefusalReason::TooLarge, "the header is too large"), StatusHeaderTooLarge };
    }
    if (error == http::error::body_limit) {
        return EarlyRefusal{ refusal(RefusalReason::TooLarge, "the body is too large"), {} };
    }
    const bool closed = error == http::error::end_of_stream || error == http::error::partial_message;
    if (closed || error.category() != http::make_error_code(http::error::bad_version).category()) {
        return std::nullopt;
    }
    return EarlyRefusal{ refusal(RefusalReason::BadRequest, "malformed HTTP: " + error.message()), {} };
}

std::optional<CallerConnection::EarlyRefusal> CallerConnection::checkAcceptance(const Parser &parser) const
{
    if (parser.get().version() != 11) {
        return EarlyRefusal{ refusal(RefusalReason::BadRequest, "HTTP/1.1 is required"), {} };
    }
    if (m_state.draining) {
        return EarlyRefusal{ refusal(RefusalReason::Draining, "this host is shutting down", DrainRetryAfter), {} };
    }
    if (!m_state.configuration) {
        return EarlyRefusal{ refusal(RefusalReason::NotReady, "no configuration yet", OverloadRetryAfter), {} };
    }
    if (m_state.requests->size() >= m_state.context.limits.requests) {
        return EarlyRefusal{ refusal(RefusalReason::Overloaded, "too many requests", OverloadRetryAfter), {} };
    }
    const auto length = static_cast<std::int64_t>(parser.content_length().value_or(0));
    if (m_state.requests->bodyBytes + length > m_state.configuration->configuration().limits.queueBytes) {
        return EarlyRefusal{ refusal(RefusalReason::Overloaded, "too many bytes of requests", OverloadRetryAfter), {} };
    }
    return std::nullopt;
}

std::uint64_t CallerConnection::bodyLimit() const
{
    const auto own = m_state.context.limits.bodyBytes;
    if (!m_state.configuration) {
        return own;
    }
    return std::min(own, static_cast<std::uint64_t>(m_state.configuration->configuration().limits.maxBodyBytes));
}

state::Duration CallerConnection::bodyTimeout(const Parser &parser) const
{
    const auto length = parser.content_length().value_or(0);
    return m_state.context.limits.receiveTimeout + std::chrono::seconds(length / MinBytesPerSecond);
}

ReceivedHead CallerConnection::receivedHead(const Parser &parser) const
{
    const auto &message = parser.get();
    return ReceivedHead{ toView(message.method_string()), toView(message.target()), message };
}

ForwardedRequest
CallerConnection::forwardedRequest(Parser &parser, const RequestHead &head, const AdmittedRequest &admitted)
{
    auto &message = parser.get();
    ForwardedRequest result;
    result.kind = admitted.kind;
    result.method = std::string(toView(message.method_string()));
    result.path = head.targetPath;
    result.stream = admitted.stream;
    for (const auto &field : message) {
        if (isForwarded(field.name(), toView(field.name_string()), admitted.kind)) {
            result.fields.insert(field.name(), field.name_string(), field.value());
        }
    }
    result.body = std::move(message.body());
    return result;
}

} // namespace sapphirecove::transport
