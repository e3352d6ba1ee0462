#include "transport/entry/targetattempt.h"

#include "transport/entry/format.h"
#include "transport/log.h"
#include "transport/sockets.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/write.hpp>

#include <array>
#include <utility>

namespace sapphirecove::transport::entry {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

using coordination::entry::AttemptOutcome;

namespace {

/** Timeout for establishing a connection: a region's round trip, one lost packet and its retransmission. */
constexpr state::Duration ConnectTimeout = std::chrono::milliseconds(700);

/** Idle time after which a target may close a connection if its response names none. */
constexpr state::Duration DefaultIdleTimeout = std::chrono::seconds(4);

/** Larger bodies are sent while the response is read, because a target may respond before it has read them. */
constexpr std::size_t LargeBodyBytes = 16384;

/** Largest response that is buffered. */
constexpr std::size_t MaxResponseBytes = std::size_t{ 8 } * 1024 * 1024;

/** Bytes read at once. */
constexpr std::size_t ReadBytes = 16384;

/** Responses to other requests that are skipped on one connection before it counts as broken. */
constexpr int MaxUnrelatedResponses = 4;

/** Most characters of a field that cannot be read in the log. */
constexpr std::size_t MaxLoggedField = 100;

} // namespace

TargetAttempt::TargetAttempt(ServingContext &context, AttemptTarget target, InactivityTimeouts timeouts)
    : m_context(context)
    , m_target(std::move(target))
    , m_timeouts(timeouts)
{
}

asio::awaitable<bool> TargetAttempt::begin(Request request, std::string attemptId, AttemptResult &result)
{
    m_isHead = request.method() == http::verb::head;
    if (m_connection && !isIdleAndOpen(m_connection->socket)) {
        m_connection.reset(); // Bytes that arrived before the request belong to none.
    }
    if (!m_connection) {
        const bool connected = co_await connect(result);
        if (!connected) {
            co_return false;
        }
    }
    if (isWithheld(result)) {
        co_return false;
    }
    auto message = std::make_shared<Request>(std::move(request));
    const bool sent = co_await send(std::move(message), result);
    if (!sent) {
        co_return false;
    }
    const bool hasHeader = co_await readHead(attemptId, result);
    if (!hasHeader) {
        co_return false;
    }
    const auto &head = m_reader->header();
    m_response = m_context.codec.decodeResponse(head);
    m_response.notExecuted = m_response.notExecuted && head.result_int() / 100 != 2;
    if (m_response.notExecuted && m_response.attemptId.empty() && !m_firstOnConnection) {
        // It may be a copy of the answer to an earlier request on this connection.
        m_context.metrics.count("target_refusals_unproven_total");
        result.detail = "refusal without an attempt id on a connection that was used before";
        co_return false;
    }
    if (m_response.notExecuted) {
        result.mayHaveRun = false;
    }
    recordStatement(m_response);
    co_return true;
}

asio::awaitable<AttemptResult> TargetAttempt::finish(bool begun, AttemptResult result, bool streaming, StreamSink &sink)
{
    if (begun) {
        co_await receiveBody(streaming, sink, result);
    }
    m_inactivityDeadline.reset();
    const bool complete = result.response || result.streamComplete;
    if (m_stalled && !complete) {
        result.outcome = m_sent ? AttemptOutcome::Stalled : AttemptOutcome::Unreachable;
        result.detail = m_sent ? "no data within the inactivity timeout" : "connection not established in time";
    } else if (m_aborted && !complete) {
        result.outcome = AttemptOutcome::Abandoned;
    }
    if (m_tooLarge && !complete) {
        m_context.metrics.count("responses_given_up_total");
        result.outcome = AttemptOutcome::Broken;
        result.detail = "largest response when the memory for responses was used up";
    }
    co_return result;
}

void TargetAttempt::abort()
{
    m_aborted = true;
    if (m_connection) {
        boost::system::error_code ignored;
        m_connection->socket.close(ignored);
    }
}

void TargetAttempt::checkConnecting(state::Time now)
{
    if (!m_sent && m_inactivityDeadline && now >= *m_inactivityDeadline && !m_aborted) {
        m_stalled = true;
        abort();
    }
}

void TargetAttempt::giveUpSilent()
{
    m_stalled = true;
    abort();
}

asio::awaitable<bool> TargetAttempt::connect(AttemptResult &result)
{
    m_connection = m_context.pool.acquire(m_target.id, m_context.now());
    if (m_connection) {
        co_return true;
    }
    m_context.metrics.count("target_connections_total");
    m_connection = std::make_unique<TargetConnection>(m_context.io.get_executor());
    startInactivityTimer(ConnectTimeout);
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(m_target.endpoint.address, error);
    const asio::ip::tcp::endpoint endpoint(ip, m_target.endpoint.port);
    co_await m_connection->socket.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (error || m_aborted) {
        result.outcome = AttemptOutcome::Unreachable;
        result.detail = "connect: " + error.message();
        co_return false;
    }
    m_inactivityDeadline.reset();
    prepareSocket(m_connection->socket);
    co_return true;
}

/** Returns whether nothing may be sent any more after the time that it took to connect. */
bool TargetAttempt::isWithheld(AttemptResult &result) const
{
    if (!m_context.fleet.isWithheld({ m_target.hash, m_target.failureDomain, m_target.listConfirmed },
                                    m_context.now())) {
        return false;
    }
    result.outcome = AttemptOutcome::Abandoned;
    result.withheld = true;
    return true;
}

asio::awaitable<bool> TargetAttempt::send(std::shared_ptr<Request> request, AttemptResult &result)
{
    m_sent = true;
    m_sentAt = m_context.now();
    m_firstOnConnection = !std::exchange(m_connection->used, true);
    result.mayHaveRun = true;
    startInactivityTimer(m_timeouts.firstByte);
    if (request->body().size() > LargeBodyBytes) {
        // The request and the progress outlive this attempt, the socket does not: the write then ends with an error.
        auto write = m_requestWrite;
        auto *socket = &m_connection->socket;
        http::async_write(*socket, *request, [request, write](const boost::system::error_code &error, std::size_t) {
            *write = { true, error };
        });
        co_return true;
    }
    boost::system::error_code error;
    co_await http::async_write(m_connection->socket, *request, asio::redirect_error(asio::use_awaitable, error));
    *m_requestWrite = { true, error };
    if (error) {
        result.outcome = AttemptOutcome::Broken;
        result.detail = "send: " + error.message();
        co_return false;
    }
    co_return true;
}

asio::awaitable<void> TargetAttempt::receiveBody(bool streaming, StreamSink &sink, AttemptResult &result)
{
    const auto &head = m_reader->header();
    const bool success = head.result_int() / 100 == 2;
    if (success && !m_response.hasSignature) {
        result.detail = "2xx response without a signature";
        co_return;
    }
    const auto type = head[http::field::content_type];
    if (streaming && success && type.starts_with("text/event-stream")) {
        co_await readStream(sink, result);
        co_return;
    }
    co_await readFullResponse(result);
    if (result.response) {
        returnConnection();
    }
    if (result.response && m_response.notExecuted) {
        result.outcome = AttemptOutcome::NotExecuted;
        result.detail = "status " + std::to_string(head.result_int());
    }
}

/** Applies what the header of a response states about its target. */
void TargetAttempt::recordStatement(const ResponseFields &response)
{
    using coordination::entry::RateStatement;
    // Another incarnation speaks for itself only.
    if (m_reader->header().result() == http::status::misdirected_request) {
        return;
    }
    coordination::entry::SelfStatement statement = response.statement;
    // A response without a signature may be anyone's: reason enough to be careful, but not to end a limit.
    if (!response.hasSignature && !response.notExecuted && statement.rate.kind == RateStatement::Kind::None) {
        statement.rate.kind = RateStatement::Kind::Malformed;
    }
    const state::Time now = m_context.now();
    auto &statements = m_context.scheduler.statements();
    const std::string limitBefore = describeLimit(statements.find(m_target.hash), now);
    const auto changes = statements.heard(m_target.hash, statement, m_sentAt, now);
    if (statement.leaving) {
        m_context.pool.closeAll(m_target.id);
    }
    logStatementChanges(response, changes, limitBefore);
}

void TargetAttempt::logStatementChanges(const ResponseFields &response,
                                        const coordination::entry::StatementChanges &changes,
                                        const std::string &limitBefore)
{
    using coordination::entry::RateStatement;
    const auto &statement = response.statement;
    const std::string hash = std::to_string(m_target.hash);
    if (statement.rate.kind == RateStatement::Kind::Limit) {
        m_context.metrics.count("answers_with_target_limit_total");
    } else if (statement.rate.kind == RateStatement::Kind::Malformed) {
        m_context.metrics.count("target_limits_malformed_total");
        logEvent("target_limit_malformed", { { "target", m_target.id } });
    }
    if (!response.malformedStatement.empty()) {
        m_context.metrics.count("target_statements_malformed_total");
        logEvent("target_statement_malformed",
                 { { "target", m_target.id }, { "field", response.malformedStatement.substr(0, MaxLoggedField) } });
    }
    if (changes.limit) {
        const auto *limit = m_context.scheduler.statements().find(m_target.hash);
        logEvent("target_limit_changed",
                 { { "target", m_target.id },
                   { "target_hash", hash },
                   { "limit", describeLimit(limit, m_context.now()) },
                   { "before", limitBefore },
                   { "source", "response" } });
    }
    if (changes.leaving) {
        m_context.metrics.count("targets_heard_leaving_total");
        logEvent("target_leaving",
                 { { "target", m_target.id }, { "target_hash", hash }, { "before", "no" }, { "source", "response" } });
    }
    if (changes.backOff) {
        m_context.metrics.count("target_back_offs_total");
        logEvent("target_backs_off",
                 { { "target", m_target.id },
                   { "target_hash", hash },
                   { "stated_ms", milliseconds(*statement.backOff) },
                   { "before", "none" },
                   { "source", "response" } });
    }
}

/** Reads the header of the response to @p attemptId and skips late responses to earlier requests of the connection. */
asio::awaitable<bool> TargetAttempt::readHead(const std::string &attemptId, AttemptResult &result)
{
    int unrelated = 0;
    while (unrelated <= MaxUnrelatedResponses) {
        m_bytes = std::make_shared<ByteBudget::Share>(m_context.responseBytes, [this] {
            m_tooLarge = true;
            abort();
        });
        m_reader.emplace(m_connection->socket, m_connection->buffer, m_requestWrite, m_isHead);
        const boost::system::error_code error = co_await m_reader->readHeader();
        if (error) {
            result.outcome = AttemptOutcome::Broken;
            result.detail = "receive: " + error.message();
            co_return false;
        }
        const ResponseFields response = m_context.codec.decodeResponse(m_reader->header());
        if (response.attemptId.empty() || response.attemptId == attemptId) {
            co_return true;
        }
        ++unrelated;
        m_context.metrics.count("foreign_answers_total");
        AttemptResult skipped;
        co_await readFullResponse(skipped);
        if (!skipped.response) {
            break;
        }
    }
    result.outcome = AttemptOutcome::Broken;
    result.detail = "connection carries responses to other requests";
    co_return false;
}

/** Reads a part of the body; returns false after an error. */
asio::awaitable<bool> TargetAttempt::readBodyChunk(std::string &bytes, AttemptResult &result)
{
    std::array<char, ReadBytes> chunk;
    std::size_t size = 0;
    const boost::system::error_code error = co_await m_reader->readBody(chunk, size);
    bytes.assign(chunk.data(), size);
    if (error) {
        result.outcome = AttemptOutcome::Broken;
        result.detail = "body: " + error.message();
        co_return false;
    }
    co_return true;
}

asio::awaitable<void> TargetAttempt::readFullResponse(AttemptResult &result)
{
    std::string body;
    std::string bytes;
    while (!m_reader->complete()) {
        if (!co_await readBodyChunk(bytes, result)) {
            co_return;
        }
        startInactivityTimer(m_timeouts.firstByte);
        body += bytes;
        if (!keep(body.size(), result)) {
            co_return;
        }
        if (body.size() > MaxResponseBytes) {
            result.detail = "response larger than " + std::to_string(MaxResponseBytes) + " bytes";
            co_return;
        }
    }
    Response response;
    static_cast<http::response_header<> &>(response) = m_reader->header();
    response.body() = std::move(body);
    const unsigned status = response.result_int();
    result.outcome = status >= 500 ? AttemptOutcome::ServerError : AttemptOutcome::Served;
    result.response = std::move(response);
    m_bytes->complete();
    result.responseBytes = m_bytes;
}

/** Records that @p bytes of the response are kept; returns false and sets @p result if they are too many. */
bool TargetAttempt::keep(std::size_t bytes, AttemptResult &result)
{
    if (m_bytes->resize(bytes)) {
        return true;
    }
    m_tooLarge = true;
    result.outcome = AttemptOutcome::Broken;
    return false;
}

asio::awaitable<void> TargetAttempt::readStream(StreamSink &sink, AttemptResult &result)
{
    protocol::EventStreamParser events;
    std::string bytes;
    // Only complete events restart the timer, because a stalled target may still send single bytes.
    startInactivityTimer(m_timeouts.firstByte);
    while (!m_reader->complete()) {
        const bool readable = co_await readBodyChunk(bytes, result);
        std::string complete;
        const bool wellFormed = state::handleFailure(
            [&]() -> state::Result<bool> {
                BOOST_LEAF_AUTO(parsed, events.feed(bytes));
                for (auto &event : parsed) {
                    if (!sink.take(event)) {
                        return state::fail("stream.order", "", "event that does not follow the ones before it");
                    }
                    complete += event.raw;
                    ++result.events;
                }
                return true;
            },
            [&](const state::Failure &failure) {
                result.detail = failure.detail;
                return false;
            });
        if (!keep(events.bufferedBytes() + complete.size(), result)) {
            abort();
            co_return;
        }
        const bool ended = m_reader->complete();
        if (ended && wellFormed && !events.insideEvent()) {
            complete += events.incomplete();
        }
        if (!complete.empty()) {
            if (result.events > 0 && !std::exchange(m_eventsForwarded, true)) {
                sink.firstEvent();
            }
            m_inactivityDeadline.reset();
            // Time for writing to a slow caller does not count as inactivity of the target.
            if (!co_await sink.writeEvents(m_reader->header(), std::move(complete))) {
                abort();
                co_return;
            }
            startInactivityTimer(m_timeouts.betweenEvents);
        }
        // The end of the connection alone does not tell a complete stream from one that was cut.
        const bool cut = ended && (events.insideEvent() || (m_reader->endsWithConnection() && result.events == 0));
        if (cut && wellFormed) {
            result.detail = "stream ended inside an event or before the first one";
        }
        if (!readable || !wellFormed || cut) {
            result.outcome = AttemptOutcome::Broken;
            co_return;
        }
    }
    if (!sink.mayEnd()) {
        result.outcome = AttemptOutcome::Broken;
        result.detail = "resumed stream ended without an event";
        co_return;
    }
    result.streamComplete = true;
    result.outcome = AttemptOutcome::Served;
    returnConnection();
}

/** Returns the connection to the pool if it can carry another request. */
void TargetAttempt::returnConnection()
{
    const bool leaves = m_context.scheduler.statements().isLeaving(m_target.hash);
    if (m_aborted || leaves || !m_reader->keepsConnection()) {
        return;
    }
    m_connection->idleTimeout = keepAliveTimeout(m_reader->header(), DefaultIdleTimeout);
    m_context.pool.release(m_target.id, std::move(m_connection), m_target.maxIdleConnections, m_context.now());
}

void TargetAttempt::startInactivityTimer(state::Duration timeout)
{
    m_inactivityDeadline = m_context.now() + timeout;
}

} // namespace sapphirecove::transport::entry
