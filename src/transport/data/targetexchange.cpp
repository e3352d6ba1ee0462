#include "transport/data/targetexchange.h"

#include "protocol/json.h"
#include "protocol/problemdocument.h"
#include "transport/beaststring.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace sapphirecove::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using coordination::Executed;
using coordination::GrantOutcome;
using coordination::Refusal;
using coordination::RefusalReason;

namespace {

constexpr state::Duration ConnectTimeout = std::chrono::seconds(1);
constexpr state::Duration CancelTimeout = std::chrono::seconds(1);

/** Time-out of a response header; a non-streaming response is sent only once it is complete. */
constexpr state::Duration HeadTimeout = std::chrono::seconds(300);
constexpr state::Duration ResumeHeadTimeout = std::chrono::seconds(2);

/** Delays before each attempt to resume a stream; an engine needs some time to restart its listener. */
constexpr std::array<std::chrono::milliseconds, 4> ResumeDelays{
    std::chrono::milliseconds(0),
    std::chrono::milliseconds(50),
    std::chrono::milliseconds(200),
    std::chrono::milliseconds(800),
};

constexpr std::size_t ChunkBytes = 16384;

/** Detail of a response that was given up in favour of others. */
constexpr const char *TooManyBytes = "the answer was the largest one when the memory for answers was used up";

Refusal refusal(RefusalReason reason, const std::string &detail)
{
    return Refusal{ reason, Executed::Unknown, std::nullopt, detail };
}

/** Returns the error event that ends an incomplete stream. */
std::string errorEvent(const Refusal &refusal)
{
    return "event: error\ndata: " + protocol::encodeProblem(refusal) + "\n\n";
}

} // namespace

TargetExchange::TargetExchange(const DataContext &context,
                               ActiveRequest &request,
                               ResponseWriter &writer,
                               coordination::Dispatch dispatch)
    : m_context(context)
    , m_request(request)
    , m_writer(writer)
    , m_dispatch(std::move(dispatch))
    , m_connection(context.executor, std::min(ChunkBytes, context.limits.streamBufferBytes))
    , m_resumeTimer(context.executor)
    , m_bytes(context.responseBytes, [this] {
        m_connection.close();
        m_resumeTimer.cancel();
    })
{
}

asio::awaitable<bool> TargetExchange::run()
{
    m_request.interrupt = [this] {
        interrupt();
    };
    const bool started = co_await start();
    if (started) {
        Result result = co_await transfer();
        co_await finish(std::move(result));
    }
    m_request.interrupt = nullptr;
    m_connection.close();
    co_return started;
}

asio::awaitable<bool> TargetExchange::start()
{
    const auto remaining = m_dispatch.expires - m_context.clock.now();
    if (remaining <= state::Duration::zero()) {
        co_return refuseStart("grant expired", false);
    }
    const Endpoint endpoint{ m_dispatch.address, m_dispatch.port };
    const auto error = co_await m_connection.connect(endpoint, std::min(ConnectTimeout, remaining));
    if (m_request.stopRequested() || m_request.callerDisconnected) {
        co_return refuseStart("withdrawn before the dispatch", false);
    }
    if (error) {
        co_return refuseStart(error.message(), true);
    }
    if (m_context.clock.now() >= m_dispatch.expires) {
        co_return refuseStart("grant expired", false);
    }
    m_startedAt = m_context.clock.now();
    m_context.send(coordination::DispatchStarted{ m_request.info.id, m_dispatch.grant });
    co_return true;
}

bool TargetExchange::refuseStart(const std::string &detail, bool targetRefused)
{
    m_context.send(coordination::DispatchRefused{ m_request.info.id, m_dispatch.grant, detail, targetRefused });
    return false;
}

asio::awaitable<TargetExchange::Result> TargetExchange::transfer()
{
    auto request = requestForTarget();
    const bool withoutBody = request.method() == http::verb::head;
    m_connection.send(std::move(request));
    const auto step = co_await m_connection.readHead(HeadTimeout, withoutBody);
    if (step == TargetIoStatus::Malformed) {
        co_return malformedResult("the target sent a malformed answer");
    }
    if (step == TargetIoStatus::ConnectionLost) {
        if (!expectsStream()) {
            co_return interruptedResult("the connection to the target ended before its answer");
        }
        co_return co_await resumeStream("the connection to the target ended before its answer");
    }
    m_status = static_cast<int>(m_connection.head().result_int());
    if (isStreamResponse()) {
        m_streamHead = responseHead();
        co_return co_await forwardStream();
    }
    co_return co_await forwardNonStreaming();
}

asio::awaitable<TargetExchange::Result> TargetExchange::forwardNonStreaming()
{
    ResponseHead head = responseHead();
    head.length = m_connection.contentLength();
    std::string buffered;
    while (!m_connection.complete()) {
        const auto step = co_await m_connection.readBody();
        if (m_bytes.givenUp()) {
            co_return malformedResult(TooManyBytes);
        }
        if (step != TargetIoStatus::Ok) {
            co_return step == TargetIoStatus::ConnectionLost ? interruptedResult("the answer of the target was cut")
                                                             : malformedResult("the target sent a malformed answer");
        }
        if (!m_connection.chunk().empty()) {
            recordFirstToken();
        }
        buffered += m_connection.chunk();
        if (!m_bytes.resize(buffered.size())) {
            co_return malformedResult(TooManyBytes);
        }
        // A response that fits into the buffer is forwarded only after it was received completely.
        if (buffered.size() > m_context.limits.streamBufferBytes) {
            co_return co_await forwardUnbuffered(std::move(head), std::move(buffered));
        }
    }
    co_return co_await forwardBuffered(head, buffered);
}

asio::awaitable<TargetExchange::Result> TargetExchange::forwardBuffered(const ResponseHead &head,
                                                                        const std::string &body)
{
    if (m_request.forwarded.kind == state::PoolKind::Model && m_status == 200 && !readChatResponse(body)) {
        co_return malformedResult("the target sent a malformed answer");
    }
    if (m_request.forwarded.method == "HEAD") {
        m_writer.begin(head);
        co_await m_writer.finish({});
    } else {
        co_await m_writer.send(head, body);
    }
    co_return Result{ m_status >= 500 ? GrantOutcome::Failed : GrantOutcome::Complete, std::nullopt, {} };
}

asio::awaitable<TargetExchange::Result> TargetExchange::forwardUnbuffered(ResponseHead head, std::string first)
{
    m_writer.begin(head);
    co_await m_writer.write(first);
    first = {};
    m_bytes.resize(0);
    while (!m_connection.complete()) {
        const auto step = co_await m_connection.readBody();
        if (step != TargetIoStatus::Ok) {
            co_return step == TargetIoStatus::ConnectionLost ? interruptedResult("the answer of the target was cut")
                                                             : malformedResult("the target sent a malformed answer");
        }
        co_await m_writer.write(m_connection.chunk());
    }
    co_await m_writer.finish({});
    co_return Result{ m_status >= 500 ? GrantOutcome::Failed : GrantOutcome::Complete, std::nullopt, {} };
}

asio::awaitable<TargetExchange::Result> TargetExchange::forwardStream()
{
    const auto step = co_await relayEvents();
    if (step == TargetIoStatus::Ok) {
        co_return Result{};
    }
    if (step == TargetIoStatus::Malformed) {
        co_return malformedResult("the target sent a malformed stream");
    }
    co_return co_await resumeStream("the stream was cut before its end marker");
}

asio::awaitable<TargetExchange::Result> TargetExchange::resumeStream(std::string cause)
{
    for (const auto pause : ResumeDelays) {
        const bool pastDeadline = m_context.clock.now() + pause >= m_request.info.deadline;
        if (pastDeadline || !m_relay.resumable() || m_request.stopRequested() || m_request.callerDisconnected) {
            break;
        }
        boost::system::error_code ignored;
        m_resumeTimer.expires_after(pause);
        co_await m_resumeTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        if (m_request.stopRequested() || !co_await reopenStream()) {
            continue;
        }
        m_relay.restart();
        const auto step = co_await relayEvents();
        if (step == TargetIoStatus::Ok) {
            co_return Result{};
        }
        if (step == TargetIoStatus::Malformed) {
            co_return malformedResult("the target sent a malformed stream");
        }
    }
    co_return interruptedResult(cause);
}

asio::awaitable<bool> TargetExchange::reopenStream()
{
    m_connection.close();
    const Endpoint endpoint{ m_dispatch.address, m_dispatch.port };
    if (co_await m_connection.connect(endpoint, ConnectTimeout)) {
        co_return false;
    }
    TargetConnection::Request request(http::verb::get, "/v1/streams/" + m_request.info.id, 11);
    request.set(http::field::host, toString(endpoint));
    request.set(http::field::accept, "text/event-stream");
    request.set("Last-Event-ID", std::to_string(m_relay.lastEventId()));
    m_connection.send(std::move(request));
    if (co_await m_connection.readHead(ResumeHeadTimeout, false) != TargetIoStatus::Ok) {
        co_return false;
    }
    if (!isStreamResponse()) {
        co_return false;
    }
    m_status = 200;
    if (!m_writer.started()) {
        m_streamHead = responseHead();
    }
    co_return true;
}

asio::awaitable<TargetIoStatus> TargetExchange::relayEvents()
{
    m_relaysEvents = true;
    std::string output;
    while (!m_connection.complete()) {
        const auto step = co_await m_connection.readBody();
        output.clear();
        const auto fed = m_relay.feed(m_connection.chunk(), output);
        if (!output.empty()) {
            recordFirstToken();
            if (!m_writer.started()) {
                m_writer.begin(m_streamHead);
            }
        }
        if (m_relay.ended()) {
            co_await m_writer.finish(output);
            co_return TargetIoStatus::Ok;
        }
        co_await m_writer.write(output);
        if (!m_bytes.resize(m_relay.bufferedBytes())) {
            co_return TargetIoStatus::Malformed;
        }
        if (fed == EventRelay::FeedResult::Malformed || step == TargetIoStatus::Malformed) {
            co_return TargetIoStatus::Malformed;
        }
        if (fed == EventRelay::FeedResult::Gap || step == TargetIoStatus::ConnectionLost) {
            co_return TargetIoStatus::ConnectionLost;
        }
    }
    co_return TargetIoStatus::ConnectionLost;
}

asio::awaitable<void> TargetExchange::finish(Result result)
{
    // The outcome is final: a decision made before it was known must not abort the end of the response.
    m_request.interrupt = nullptr;
    const bool failed = result.outcome == GrantOutcome::Interrupted || result.refusal.has_value();
    if (failed && m_request.stopRequested()) {
        result.outcome = GrantOutcome::Cancelled;
        result.detail = "cancelled";
        if (m_request.refusal) {
            result.refusal = m_request.refusal;
        }
        if (m_request.forwarded.kind == state::PoolKind::Model) {
            cancelAtTarget(m_context.executor, Endpoint{ m_dispatch.address, m_dispatch.port }, m_request.info.id);
        }
    }
    m_connection.close();
    m_context.send(finishedEvent(result));
    if (!result.refusal) {
        co_return;
    }
    if (m_writer.started()) {
        if (m_relaysEvents) {
            // The event tells the caller the reason; the missing end marker and last chunk show that it is incomplete.
            co_await m_writer.write(errorEvent(*result.refusal));
        }
        m_writer.abort();
        co_return;
    }
    co_await m_writer.sendProblem(*result.refusal);
}

bool TargetExchange::readChatResponse(std::string_view body)
{
    const auto document = state::handleFailure(
        [&] {
            return protocol::parseJson(body, "target.answer", m_dispatch.address);
        },
        [](const state::Failure &) {
            return protocol::json::value();
        });
    if (!document.is_object() || !document.as_object().contains("choices")) {
        return false;
    }
    m_usage = protocol::usageOf(document);
    return true;
}

TargetConnection::Request TargetExchange::requestForTarget() const
{
    TargetConnection::Request request;
    request.method_string(toBeast(m_request.forwarded.method));
    request.target(toBeast(m_request.forwarded.path));
    request.version(11);
    for (const auto &field : m_request.forwarded.fields) {
        request.insert(field.name(), field.name_string(), field.value());
    }
    request.set(http::field::host, toString(Endpoint{ m_dispatch.address, m_dispatch.port }));
    request.set("X-Request-Id", m_request.info.id);
    request.keep_alive(false);
    request.body() = m_request.forwarded.body;
    request.prepare_payload();
    return request;
}

bool TargetExchange::expectsStream() const
{
    return m_request.forwarded.kind == state::PoolKind::Model && m_request.forwarded.stream;
}

bool TargetExchange::isStreamResponse() const
{
    const auto type = m_connection.head()[http::field::content_type];
    return expectsStream() && m_connection.head().result() == http::status::ok
        && beast::iequals(type.substr(0, type.find(';')), "text/event-stream");
}

ResponseHead TargetExchange::responseHead() const
{
    ResponseHead head;
    head.status = m_status;
    for (const auto &field : m_connection.head()) {
        head.fields.insert(field.name(), field.name_string(), field.value());
    }
    head.fields.set("X-Request-Id", m_request.info.id);
    return head;
}

void TargetExchange::recordFirstToken()
{
    if (std::exchange(m_firstTokenSeen, true)) {
        return;
    }
    m_request.responseStarted = true;
    m_timeToFirstToken = m_context.clock.now() - m_startedAt;
    m_context.send(coordination::FirstTokenReceived{ m_request.info.id });
}

void TargetExchange::interrupt()
{
    m_connection.close();
    m_resumeTimer.cancel();
    m_writer.abort();
}

coordination::DispatchFinished TargetExchange::finishedEvent(const Result &result) const
{
    coordination::DispatchFinished event;
    event.request = m_request.info.id;
    event.grant = m_dispatch.grant;
    event.outcome = result.outcome;
    event.status = result.refusal && !m_writer.started() ? httpStatus(result.refusal->reason) : m_status;
    const auto &usage = m_usage ? m_usage : m_relay.usage();
    event.promptTokens = usage ? usage->promptTokens : m_request.info.promptTokens;
    event.cachedTokens = usage ? usage->cachedTokens : 0;
    event.outputTokens = usage ? usage->completionTokens : m_relay.events();
    event.timeToFirstToken = m_timeToFirstToken;
    event.total = m_context.clock.now() - m_startedAt;
    event.detail = result.detail;
    return event;
}

TargetExchange::Result TargetExchange::interruptedResult(const std::string &detail)
{
    return Result{ GrantOutcome::Interrupted, refusal(RefusalReason::OutcomeUnknown, detail), detail };
}

TargetExchange::Result TargetExchange::malformedResult(const std::string &detail)
{
    return Result{ GrantOutcome::Failed, refusal(RefusalReason::TargetFailed, detail), detail };
}

void cancelAtTarget(const asio::any_io_executor &executor, Endpoint target, const state::RequestId &request)
{
    auto client = std::make_shared<HttpClient>(executor, std::move(target));
    HttpCall call;
    call.method = http::verb::post;
    call.path = "/v1/streams/" + request + "/cancel";
    asio::co_spawn(
        executor,
        [client, call]() -> asio::awaitable<void> {
            co_await client->send(call, CancelTimeout);
        },
        asio::detached);
}

} // namespace sapphirecove::transport
