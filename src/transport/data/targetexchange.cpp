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

constexpr state::Duration ConnectLimit = std::chrono::seconds(1);
constexpr state::Duration CancelLimit = std::chrono::seconds(1);

/** Time for the header of an answer; a document that is not streamed starts only when it is complete. */
constexpr state::Duration HeadLimit = std::chrono::seconds(300);
constexpr state::Duration ResumeHeadLimit = std::chrono::seconds(2);

/** Pauses before the attempts to resume a stream; an engine that restarts its listener needs a moment. */
constexpr std::array<std::chrono::milliseconds, 4> ResumePauses{
    std::chrono::milliseconds(0),
    std::chrono::milliseconds(50),
    std::chrono::milliseconds(200),
    std::chrono::milliseconds(800),
};

constexpr std::size_t ChunkBytes = 16384;

Refusal refusal(RefusalReason reason, const std::string &detail)
{
    return Refusal{ reason, Executed::Unknown, std::nullopt, detail };
}

/** Returns the last event of a stream that ends early. */
std::string errorEvent(const Refusal &refusal)
{
    return "event: error\ndata: " + protocol::encodeProblem(refusal) + "\n\n";
}

} // namespace

TargetExchange::TargetExchange(const DataContext &context,
                               ActiveRequest &request,
                               ResponseWriter &answer,
                               coordination::Dispatch dispatch)
    : m_context(context)
    , m_request(request)
    , m_answer(answer)
    , m_dispatch(std::move(dispatch))
    , m_connection(context.executor, std::min(ChunkBytes, context.limits.streamBufferBytes))
    , m_pause(context.executor)
{
}

asio::awaitable<bool> TargetExchange::run()
{
    m_request.interrupt = [this] {
        interrupt();
    };
    const bool started = co_await start();
    if (started) {
        Verdict verdict = co_await transfer();
        co_await conclude(std::move(verdict));
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
    const auto error = co_await m_connection.connect(endpoint, std::min(ConnectLimit, remaining));
    if (m_request.stopRequested() || m_request.callerGone) {
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

asio::awaitable<TargetExchange::Verdict> TargetExchange::transfer()
{
    const auto request = requestForTarget();
    // A write error is not final: the target may have read the request and answered before it closed.
    co_await m_connection.send(request);
    const auto step = co_await m_connection.readHead(HeadLimit, request.method() == http::verb::head);
    if (step == TargetIoStatus::Malformed) {
        co_return malformed("the target sent a malformed answer");
    }
    if (step == TargetIoStatus::ConnectionLost) {
        if (!expectsStream()) {
            co_return cut("the connection to the target ended before its answer");
        }
        co_return co_await resumeStream("the connection to the target ended before its answer");
    }
    m_status = static_cast<int>(m_connection.head().result_int());
    if (answersWithStream()) {
        m_streamHead = headForCaller();
        co_return co_await forwardStream();
    }
    co_return co_await forwardDocument();
}

asio::awaitable<TargetExchange::Verdict> TargetExchange::forwardDocument()
{
    ResponseHead head = headForCaller();
    head.length = m_connection.contentLength();
    std::string held;
    while (!m_connection.complete()) {
        const auto step = co_await m_connection.readBody();
        if (step != TargetIoStatus::Ok) {
            co_return step == TargetIoStatus::ConnectionLost ? cut("the answer of the target was cut")
                                                             : malformed("the target sent a malformed answer");
        }
        if (!m_connection.chunk().empty()) {
            noteFirstToken();
        }
        held += m_connection.chunk();
        // Within the buffer an answer is sent only once it is known to be complete.
        if (held.size() > m_context.limits.streamBufferBytes) {
            co_return co_await forwardLarge(std::move(head), std::move(held));
        }
    }
    co_return co_await forwardHeld(head, held);
}

asio::awaitable<TargetExchange::Verdict> TargetExchange::forwardHeld(const ResponseHead &head, const std::string &body)
{
    if (m_request.call.kind == state::PoolKind::Model && m_status == 200 && !readChatAnswer(body)) {
        co_return malformed("the target sent a malformed answer");
    }
    if (m_request.call.method == "HEAD") {
        m_answer.begin(head);
        co_await m_answer.finish({});
    } else {
        co_await m_answer.send(head, body);
    }
    co_return Verdict{ m_status >= 500 ? GrantOutcome::Failed : GrantOutcome::Complete, std::nullopt, {} };
}

asio::awaitable<TargetExchange::Verdict> TargetExchange::forwardLarge(ResponseHead head, std::string first)
{
    m_answer.begin(head);
    co_await m_answer.write(first);
    first = {};
    while (!m_connection.complete()) {
        const auto step = co_await m_connection.readBody();
        if (step != TargetIoStatus::Ok) {
            co_return step == TargetIoStatus::ConnectionLost ? cut("the answer of the target was cut")
                                                             : malformed("the target sent a malformed answer");
        }
        co_await m_answer.write(m_connection.chunk());
    }
    co_await m_answer.finish({});
    co_return Verdict{ m_status >= 500 ? GrantOutcome::Failed : GrantOutcome::Complete, std::nullopt, {} };
}

asio::awaitable<TargetExchange::Verdict> TargetExchange::forwardStream()
{
    const auto step = co_await relayEvents();
    if (step == TargetIoStatus::Ok) {
        co_return Verdict{};
    }
    if (step == TargetIoStatus::Malformed) {
        co_return malformed("the target sent a malformed stream");
    }
    co_return co_await resumeStream("the stream was cut before its end marker");
}

asio::awaitable<TargetExchange::Verdict> TargetExchange::resumeStream(std::string cause)
{
    for (const auto pause : ResumePauses) {
        const bool late = m_context.clock.now() + pause >= m_request.info.deadline;
        if (late || !m_relay.resumable() || m_request.stopRequested() || m_request.callerGone) {
            break;
        }
        boost::system::error_code ignored;
        m_pause.expires_after(pause);
        co_await m_pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        if (m_request.stopRequested() || !co_await reopenStream()) {
            continue;
        }
        m_relay.restart();
        const auto step = co_await relayEvents();
        if (step == TargetIoStatus::Ok) {
            co_return Verdict{};
        }
        if (step == TargetIoStatus::Malformed) {
            co_return malformed("the target sent a malformed stream");
        }
    }
    co_return cut(cause);
}

asio::awaitable<bool> TargetExchange::reopenStream()
{
    m_connection.close();
    const Endpoint endpoint{ m_dispatch.address, m_dispatch.port };
    if (co_await m_connection.connect(endpoint, ConnectLimit)) {
        co_return false;
    }
    TargetConnection::Request request(http::verb::get, "/v1/streams/" + m_request.info.id, 11);
    request.set(http::field::host, toString(endpoint));
    request.set(http::field::accept, "text/event-stream");
    request.set("Last-Event-ID", std::to_string(m_relay.lastEventId()));
    if (co_await m_connection.send(request) != TargetIoStatus::Ok) {
        co_return false;
    }
    if (co_await m_connection.readHead(ResumeHeadLimit, false) != TargetIoStatus::Ok) {
        co_return false;
    }
    if (!answersWithStream()) {
        co_return false;
    }
    m_status = 200;
    if (!m_answer.begun()) {
        m_streamHead = headForCaller();
    }
    co_return true;
}

asio::awaitable<TargetIoStatus> TargetExchange::relayEvents()
{
    m_forwardsEvents = true;
    std::string output;
    while (!m_connection.complete()) {
        const auto step = co_await m_connection.readBody();
        output.clear();
        const auto fed = m_relay.feed(m_connection.chunk(), output);
        if (!output.empty()) {
            noteFirstToken();
            if (!m_answer.begun()) {
                m_answer.begin(m_streamHead);
            }
        }
        if (m_relay.ended()) {
            co_await m_answer.finish(output);
            co_return TargetIoStatus::Ok;
        }
        co_await m_answer.write(output);
        if (fed == EventRelay::Feed::Malformed || step == TargetIoStatus::Malformed) {
            co_return TargetIoStatus::Malformed;
        }
        if (fed == EventRelay::Feed::Gap || step == TargetIoStatus::ConnectionLost) {
            co_return TargetIoStatus::ConnectionLost;
        }
    }
    co_return TargetIoStatus::ConnectionLost;
}

asio::awaitable<void> TargetExchange::conclude(Verdict verdict)
{
    // The outcome is fixed: a decision that was made before it became known must not cut the final answer off.
    m_request.interrupt = nullptr;
    const bool failed = verdict.outcome == GrantOutcome::Interrupted || verdict.refusal.has_value();
    if (failed && m_request.stopRequested()) {
        verdict.outcome = GrantOutcome::Cancelled;
        verdict.detail = "cancelled";
        if (m_request.refusal) {
            verdict.refusal = m_request.refusal;
        }
        if (m_request.call.kind == state::PoolKind::Model) {
            cancelAtTarget(m_context.executor, Endpoint{ m_dispatch.address, m_dispatch.port }, m_request.info.id);
        }
    }
    m_connection.close();
    m_context.send(finishedEvent(verdict));
    if (!verdict.refusal) {
        co_return;
    }
    if (m_answer.begun()) {
        if (m_forwardsEvents) {
            // The caller reads why the stream ends; the missing end marker and final chunk show that it is incomplete.
            co_await m_answer.write(errorEvent(*verdict.refusal));
        }
        m_answer.abort();
        co_return;
    }
    co_await m_answer.sendProblem(*verdict.refusal);
}

bool TargetExchange::readChatAnswer(std::string_view body)
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
    request.method_string(toBeast(m_request.call.method));
    request.target(toBeast(m_request.call.path));
    request.version(11);
    for (const auto &field : m_request.call.fields) {
        request.insert(field.name(), field.name_string(), field.value());
    }
    request.set(http::field::host, toString(Endpoint{ m_dispatch.address, m_dispatch.port }));
    request.set("X-Request-Id", m_request.info.id);
    request.keep_alive(false);
    request.body() = m_request.call.body;
    request.prepare_payload();
    return request;
}

bool TargetExchange::expectsStream() const
{
    return m_request.call.kind == state::PoolKind::Model && m_request.call.stream;
}

bool TargetExchange::answersWithStream() const
{
    const auto type = m_connection.head()[http::field::content_type];
    return expectsStream() && m_connection.head().result() == http::status::ok
        && beast::iequals(type.substr(0, type.find(';')), "text/event-stream");
}

ResponseHead TargetExchange::headForCaller() const
{
    ResponseHead head;
    head.status = m_status;
    for (const auto &field : m_connection.head()) {
        head.fields.insert(field.name(), field.name_string(), field.value());
    }
    head.fields.set("X-Request-Id", m_request.info.id);
    return head;
}

void TargetExchange::noteFirstToken()
{
    if (std::exchange(m_firstTokenSeen, true)) {
        return;
    }
    m_request.answerBegun = true;
    m_timeToFirstToken = m_context.clock.now() - m_startedAt;
    m_context.send(coordination::FirstTokenReceived{ m_request.info.id });
}

void TargetExchange::interrupt()
{
    m_connection.close();
    m_pause.cancel();
    m_answer.abort();
}

coordination::DispatchFinished TargetExchange::finishedEvent(const Verdict &verdict) const
{
    coordination::DispatchFinished event;
    event.request = m_request.info.id;
    event.grant = m_dispatch.grant;
    event.outcome = verdict.outcome;
    event.status = verdict.refusal && !m_answer.begun() ? httpStatus(verdict.refusal->reason) : m_status;
    const auto &usage = m_usage ? m_usage : m_relay.usage();
    event.promptTokens = usage ? usage->promptTokens : m_request.info.promptTokens;
    event.cachedTokens = usage ? usage->cachedTokens : 0;
    event.outputTokens = usage ? usage->completionTokens : m_relay.events();
    event.timeToFirstToken = m_timeToFirstToken;
    event.total = m_context.clock.now() - m_startedAt;
    event.detail = verdict.detail;
    return event;
}

TargetExchange::Verdict TargetExchange::cut(const std::string &detail)
{
    return Verdict{ GrantOutcome::Interrupted, refusal(RefusalReason::OutcomeUnknown, detail), detail };
}

TargetExchange::Verdict TargetExchange::malformed(const std::string &detail)
{
    return Verdict{ GrantOutcome::Failed, refusal(RefusalReason::TargetFailed, detail), detail };
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
            co_await client->send(call, CancelLimit);
        },
        asio::detached);
}

} // namespace sapphirecove::transport
