#include "transport/entry/exchange.h"

#include "coordination/entry/connectionlimit.h"
#include "transport/beaststring.h"
#include "transport/entry/format.h"
#include "transport/log.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <cstdio>
#include <utility>

namespace sapphirecove::transport::entry {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

using coordination::entry::AttemptOutcome;
using coordination::entry::Decision;
using coordination::entry::RefusalReason;
using coordination::entry::ScheduledRequest;
using state::entry::RequestKind;

namespace {

/** Time to come back after a target did not take the request. */
constexpr state::Duration TargetRetry = std::chrono::milliseconds(300);

/** Silence of a target before its first byte, in latency targets, after which a repeatable request goes elsewhere. */
constexpr double FirstByteTargets = 2;

/** Shortest such silence: below it, a busy target would look dead. */
constexpr state::Duration MinFirstByte = std::chrono::milliseconds(400);

/** Silence between events, in pauses that the route allows, after which a stream is resumed elsewhere. */
constexpr double BetweenBytesPauses = 4;

/** Silence between events if the route declares no pause. */
constexpr state::Duration DefaultBetweenBytes = std::chrono::milliseconds(2000);

/** Attempts that ended without a connection, after which a request is refused. */
constexpr std::size_t MaxUnreachable = 3;

/** Time left to a request below which it is not sent again. */
constexpr state::Duration MinRepeatTime = std::chrono::milliseconds(50);

/** Time after its deadline at which a caller that does not read its answer is disconnected. */
constexpr state::Duration SlowCallerGrace = std::chrono::milliseconds(250);

std::string_view nameOf(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Served:
        return "served";
    case AttemptOutcome::ServerError:
        return "server_error";
    case AttemptOutcome::NotExecuted:
        return "not_executed";
    case AttemptOutcome::Misdirected:
        return "misdirected";
    case AttemptOutcome::Unreachable:
        return "unreachable";
    case AttemptOutcome::Broken:
        return "broken";
    case AttemptOutcome::Stalled:
        return "stalled";
    case AttemptOutcome::Abandoned:
        return "abandoned";
    }
    return "unknown";
}

} // namespace

Exchange::Exchange(ServingContext &context, asio::ip::tcp::socket &caller, Request request, state::Time arrived)
    : m_context(context)
    , m_caller(caller)
    , m_request(std::move(request))
    , m_arrived(arrived)
    , m_admission(context, m_request, arrived, m_admitted)
    , m_wake(context.io)
{
}

Exchange::~Exchange()
{
    m_context.waiting.erase(m_id);
}

asio::awaitable<bool> Exchange::run()
{
    if (auto refusal = m_admission.check()) {
        co_return co_await writeAnswer(std::move(*refusal));
    }
    co_return co_await serve();
}

asio::awaitable<bool> Exchange::serve()
{
    m_context.scheduler.retryBudget().recordRequest(m_admitted.service, m_context.now());
    std::optional<Response> targetError; // Answer of a target that another attempt was to improve on.
    std::size_t unreachable = 0;
    for (;;) {
        if (auto refusal = co_await waitForTarget()) {
            if (m_streamBegun || m_end == End::CallerLeft) {
                logAnswer(0, m_streamBegun ? "stream_not_resumed" : "caller_left");
                co_return false;
            }
            co_return co_await writeAnswer(targetError ? std::move(*targetError) : std::move(*refusal));
        }
        AttemptResult result = co_await attempt();
        m_mayHaveRun = m_mayHaveRun || result.mayHaveRun;
        if (m_end == End::CallerLeft) {
            logAnswer(0, "caller_left");
            co_return false;
        }
        if (result.streamComplete) {
            co_return co_await finishStream();
        }
        if (result.outcome == AttemptOutcome::Unreachable && !m_streamBegun) {
            ++unreachable;
        }
        if (unreachable < MaxUnreachable && mayRepeat(result)) {
            if (result.outcome == AttemptOutcome::ServerError) {
                targetError = std::move(result.answer);
            }
            continue;
        }
        if (m_streamBegun) {
            logAnswer(0, "stream_broken");
            co_return false;
        }
        if (!result.answer && targetError && m_end == End::Open) {
            result.answer = std::move(targetError);
        }
        co_return co_await writeAnswer(finalAnswer(std::move(result)));
    }
}

/** Waits until the scheduler has found a target; returns the refusal if it finds none. */
asio::awaitable<std::optional<Response>> Exchange::waitForTarget()
{
    const state::Time now = m_context.now();
    ScheduledRequest request;
    request.id = m_id = ++m_context.lastRequest;
    request.service = m_admitted.service;
    request.route = m_admitted.route->name;
    // Added, not compared in turn: otherwise the less urgent customers would get nothing while there is too much work.
    request.priority = m_admitted.route->priority + m_admitted.customerPriority;
    request.failureDomain = m_context.settings.failureDomain;
    request.latencyTarget = m_admitted.route->latencyTarget;
    request.pauseTarget = m_admitted.route->pauseTarget;
    request.arrived = m_arrived;
    request.deadline = m_admitted.deadline;
    if (m_admitted.route->callerIdleTimeout > state::Duration::zero() && !m_streamBegun) {
        request.deadline = std::min(m_admitted.deadline, m_arrived + m_admitted.route->callerIdleTimeout);
    }
    request.model = m_admitted.model;
    request.promptTokens = m_admitted.head.promptTokens;
    request.expectedOutputTokens = m_admitted.head.expectedOutputTokens;
    request.excludedTargets = m_triedTargets;
    if (!m_charged) {
        request.customer = m_admitted.customer;
        request.cost = m_admitted.cost;
    }
    m_decision.reset();
    m_context.waiting[m_id] = this;
    m_context.fleet.submit(std::move(request), now);
    while (!m_decision && m_end == End::Open) {
        m_wake.expires_at(asio::steady_timer::time_point::max());
        boost::system::error_code ignored;
        co_await m_wake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    m_context.waiting.erase(m_id);
    if (!m_decision) {
        m_context.fleet.withdraw(m_id, m_context.now());
        co_return ownAnswer(m_mayHaveRun ? http::status::gateway_timeout : http::status::service_unavailable,
                            "timed_out");
    }
    if (m_decision->refusal) {
        const auto reason = coordination::entry::nameOf(*m_decision->refusal);
        logEvent("refused",
                 { { "request", m_admitted.head.attemptId },
                   { "route", m_admitted.route->name },
                   { "service", m_admitted.service },
                   { "reason", std::string(reason) },
                   { "may_have_run", m_mayHaveRun ? "yes" : "no" },
                   { "waited_ms", milliseconds(m_context.now() - m_arrived) },
                   { "retry_after_ms", milliseconds(m_decision->retryAfter) },
                   { "customer", m_admitted.customer },
                   { "cost", std::to_string(static_cast<std::int64_t>(m_admitted.cost)) },
                   { "decider", m_decision->decider },
                   { "requests_waiting",
                     std::to_string(m_context.scheduler.waiting() + m_context.fleet.awaitingDecision()) },
                   { "hosts", std::to_string(m_context.fleet.hosts(m_context.now())) } });
        if (m_mayHaveRun) {
            co_return ownAnswer(http::status::bad_gateway, reason);
        }
        const bool overQuota = *m_decision->refusal == RefusalReason::OverQuota;
        co_return ownAnswer(overQuota ? http::status::too_many_requests : http::status::service_unavailable,
                            reason,
                            m_decision->retryAfter);
    }
    m_charged = true;
    co_return std::nullopt;
}

asio::awaitable<AttemptResult> Exchange::attempt()
{
    const state::Time now = m_context.now();
    const state::entry::TargetEntry entry = m_decision->target;
    const std::string &target = entry.id;
    AttemptResult result;
    if (m_end != End::Open) {
        result.outcome = AttemptOutcome::Abandoned;
        m_context.fleet.finished(m_id, result.outcome, 0, now);
        co_return result;
    }
    m_triedTargets.push_back(target);
    logEvent("dispatch",
             { { "request", m_admitted.head.attemptId },
               { "route", m_admitted.route->name },
               { "customer", m_admitted.customer },
               { "target", target },
               { "decider", m_decision->decider },
               { "version", entry.softwareVersion },
               { "target_running", std::to_string(m_decision->targetRunning) },
               { "expected_first_ms", std::to_string(static_cast<int>(m_decision->expectedFirstMs)) },
               { "waited_ms", milliseconds(now - m_arrived) },
               { "attempt", std::to_string(m_triedTargets.size()) } });
    Request request = m_request;
    removeConnectionFields(request);
    ForwardFields fields;
    fields.targetId = target;
    fields.customer = m_admitted.customer;
    fields.deadline = m_admitted.deadline - now;
    fields.lastEventId = m_lastEventId ? m_lastEventId : m_admitted.head.lastEventId;
    m_context.codec.prepareForward(request, fields);
    request.prepare_payload();
    m_attempt = std::make_unique<TargetAttempt>(m_context, attemptTarget(entry), silenceLimits());
    const bool streaming = m_admitted.route->kind == RequestKind::Streaming;
    result = co_await m_attempt->run(std::move(request), m_admitted.head.attemptId, streaming, *this);
    if (m_attempt->lastEventId()) {
        m_lastEventId = m_attempt->lastEventId();
    }
    m_attempt.reset();
    if (result.outcome == AttemptOutcome::NotExecuted && result.answer
        && result.answer->result() == http::status::misdirected_request) {
        result.outcome = AttemptOutcome::Misdirected;
    }
    if (result.outcome == AttemptOutcome::Unreachable) {
        m_triedTargets.pop_back(); // Nothing was sent; the ejection keeps the request away from the target.
    }
    if (result.outcome != AttemptOutcome::Served) {
        m_context.metrics.count("attempts_" + std::string(nameOf(result.outcome)) + "_total");
        logEvent("attempt_failed",
                 { { "request", m_admitted.head.attemptId },
                   { "target", target },
                   { "outcome", std::string(nameOf(result.outcome)) },
                   { "may_have_run", result.mayHaveRun ? "yes" : "no" },
                   { "events", std::to_string(result.events) },
                   { "detail", result.detail } });
    }
    m_context.fleet.finished(m_id, result.outcome, result.events, m_context.now());
    co_return result;
}

AttemptTarget Exchange::attemptTarget(const state::entry::TargetEntry &entry) const
{
    const state::entry::Service *service = m_admitted.table->findService(entry.service);
    const std::uint32_t maxConnections = service == nullptr ? 0 : service->maxConnections;
    const std::size_t hosts = m_context.fleet.hosts(m_context.now());
    return { entry.id,
             { entry.address, entry.port },
             coordination::entry::idleConnectionLimit(maxConnections, entry.slots, hosts) };
}

/** Silence after which the request goes elsewhere. What must not run twice waits until its time is over. */
SilenceLimits Exchange::silenceLimits() const
{
    if (!repeatable()) {
        const state::Duration left = m_admitted.deadline - m_context.now() + SlowCallerGrace;
        return { left, left };
    }
    SilenceLimits limits;
    limits.firstByte = std::max(MinFirstByte, state::scaled(m_admitted.route->latencyTarget, FirstByteTargets));
    limits.betweenBytes = m_admitted.route->pauseTarget > state::Duration::zero()
        ? state::scaled(m_admitted.route->pauseTarget, BetweenBytesPauses)
        : DefaultBetweenBytes;
    return limits;
}

/** Returns whether the request may go to another target after @p result, and takes the repeat from the budget. */
bool Exchange::mayRepeat(const AttemptResult &result)
{
    const bool ended = result.outcome == AttemptOutcome::Served || result.outcome == AttemptOutcome::Abandoned;
    if (ended || m_end != End::Open || m_admitted.deadline - m_context.now() < MinRepeatTime) {
        return false;
    }
    const bool safe = !m_mayHaveRun || repeatable();
    if (!safe) {
        return false;
    }
    if (result.outcome == AttemptOutcome::Unreachable) {
        return true;
    }
    if (m_triedTargets.size() >= m_admitted.route->maxTargets) {
        return false;
    }
    const std::size_t hosts = m_context.fleet.hosts(m_context.now());
    return m_context.scheduler.retryBudget().take(m_admitted.service, hosts, m_context.now());
}

Response Exchange::finalAnswer(AttemptResult result)
{
    if (result.answer && result.outcome != AttemptOutcome::NotExecuted
        && result.outcome != AttemptOutcome::Misdirected) {
        return std::move(*result.answer);
    }
    if (m_end == End::TimedOut) {
        return m_mayHaveRun ? ownAnswer(http::status::gateway_timeout, "timed_out")
                            : ownAnswer(http::status::service_unavailable, "timed_out");
    }
    if (!m_mayHaveRun) {
        return ownAnswer(http::status::service_unavailable, nameOf(result.outcome), TargetRetry);
    }
    return ownAnswer(http::status::bad_gateway, nameOf(result.outcome));
}

void Exchange::decided(Decision decision)
{
    m_decision = std::move(decision);
    m_wake.cancel();
}

void Exchange::callerLeft()
{
    if (m_end != End::Open) {
        return;
    }
    m_end = End::CallerLeft;
    m_wake.cancel();
    // A request that must not run twice is left to finish: cancelling it would not undo what it did.
    const bool leaveRunning = m_admitted.route != nullptr && m_admitted.route->kind == RequestKind::NonIdempotent;
    if (m_attempt && !(leaveRunning && m_attempt->sent())) {
        m_attempt->abort();
    }
}

void Exchange::checkTime(state::Time now)
{
    if (m_end == End::Open && now >= m_admitted.deadline) {
        m_end = End::TimedOut;
        m_wake.cancel();
        if (m_attempt) {
            m_attempt->abort();
        }
    }
    if (m_attempt) {
        m_attempt->checkSilence(now);
    }
    if (m_writing && now >= m_admitted.deadline + SlowCallerGrace) {
        boost::system::error_code ignored;
        m_caller.close(ignored);
    }
}

void Exchange::firstEvent()
{
    const state::Time now = m_context.now();
    m_context.fleet.firstEvent(m_id, now);
    if (!m_streamBegun) {
        m_context.metrics.recordLatency(m_admitted.route->name, now - m_arrived);
    }
}

asio::awaitable<bool> Exchange::writeEvents(const WireCodec::ResponseHeader &head, std::string events)
{
    std::string out;
    const state::Time now = m_context.now();
    if (m_firstEventAt) {
        m_longestPause = std::max(m_longestPause, now - m_lastEventAt);
    } else {
        m_firstEventAt = now;
    }
    m_lastEventAt = now;
    if (!m_streamBegun) {
        m_streamBegun = true;
        http::response_header<> own = head;
        removeConnectionFields(own);
        own.erase(http::field::content_length);
        own.set(http::field::transfer_encoding, "chunked");
        if (!keepAlive()) {
            own.set(http::field::connection, "close");
        }
        out = "HTTP/1.1 " + std::to_string(own.result_int()) + ' ' + std::string(own.reason()) + "\r\n";
        for (const auto &field : own) {
            out += toView(field.name_string());
            out += ": ";
            out += toView(field.value());
            out += "\r\n";
        }
        out += "\r\n";
    }
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", events.size());
    out += size;
    out += events;
    out += "\r\n";
    boost::system::error_code error;
    m_writing = true;
    co_await asio::async_write(m_caller, asio::buffer(out), asio::redirect_error(asio::use_awaitable, error));
    m_writing = false;
    if (error) {
        callerLeft();
    }
    co_return !error;
}

asio::awaitable<bool> Exchange::finishStream()
{
    if (!m_streamBegun) {
        co_return co_await writeAnswer(ownAnswer(http::status::bad_gateway, "empty_stream"));
    }
    constexpr std::string_view lastChunk = "0\r\n\r\n";
    boost::system::error_code error;
    co_await asio::async_write(
        m_caller, asio::buffer(lastChunk.data(), lastChunk.size()), asio::redirect_error(asio::use_awaitable, error));
    logAnswer(200, "stream_complete");
    co_return !error && keepAlive();
}

asio::awaitable<bool> Exchange::writeAnswer(Response answer)
{
    const int status = static_cast<int>(answer.result_int());
    const std::string_view ownReason = reasonOf(answer);
    const std::string reason(ownReason.empty() ? "answer_of_target" : ownReason);
    if (m_end == End::CallerLeft) {
        logAnswer(0, "caller_left");
        co_return false;
    }
    if (status < 500 && m_admitted.route != nullptr) {
        m_context.metrics.recordLatency(m_admitted.route->name, m_context.now() - m_arrived);
    }
    removeConnectionFields(answer);
    answer.version(11);
    const bool keep = keepAlive();
    answer.keep_alive(keep);
    if (m_request.method() != http::verb::head) {
        answer.prepare_payload();
    }
    boost::system::error_code error;
    m_writing = true;
    co_await http::async_write(m_caller, answer, asio::redirect_error(asio::use_awaitable, error));
    m_writing = false;
    logAnswer(status, reason);
    co_return !error && keep;
}

bool Exchange::keepAlive() const
{
    return m_request.keep_alive() && !m_context.stopping;
}

void Exchange::logAnswer(int status, std::string_view reason)
{
    const state::Time now = m_context.now();
    const std::string_view route = m_admitted.route == nullptr ? std::string_view("none") : m_admitted.route->name;
    m_context.metrics.countAnswer(route, std::to_string(status));
    logEvent("answer",
             { { "request", m_admitted.head.attemptId },
               { "route", std::string(route) },
               { "customer", m_admitted.customer },
               { "status", std::to_string(status) },
               { "reason", std::string(reason) },
               { "targets", std::to_string(m_triedTargets.size()) },
               { "first_ms", m_firstEventAt ? milliseconds(*m_firstEventAt - m_arrived) : "none" },
               { "longest_pause_ms", milliseconds(m_longestPause) },
               { "total_ms", milliseconds(now - m_arrived) },
               { "configuration", m_admitted.table ? std::to_string(m_admitted.table->version()) : "none" },
               { "confirmed_ms_ago", milliseconds(now - m_context.confirmed) } });
}

} // namespace sapphirecove::transport::entry
