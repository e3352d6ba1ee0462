#include "transport/entry/exchange.h"

#include "coordination/entry/connectionlimit.h"
#include "transport/beaststring.h"
#include "transport/entry/format.h"
#include "transport/entry/targetprobe.h"
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
using coordination::entry::PlacedTarget;
using coordination::entry::RefusalReason;
using coordination::entry::ScheduledRequest;
using state::entry::RequestKind;

namespace {

/** Retry-After when a target did not accept the request. */
constexpr state::Duration TargetRetryAfter = std::chrono::milliseconds(300);

/** Longest Retry-After when the targets of a service take no requests; as when they are overloaded. */
constexpr state::Duration MaxTargetRetryAfter = std::chrono::seconds(5);

/**
 * Time after which the deciders know what a target has told this host: an urgent report, lost and sent again. Until
 * then a request that was withheld must not be placed there again.
 */
constexpr state::Duration StatementReportTime = std::chrono::milliseconds(600);

/**
 * Placements of one request that may be given back since the target wants no requests or may have left; each of them
 * takes a round trip to the decider.
 */
constexpr std::size_t MaxWithheldPlacements = 8;

/**
 * Time without a first byte, as a multiple of the route's latency target, after which a retryable request moves to
 * another target.
 */
constexpr double FirstByteTimeoutFactor = 2;

/** Lower bound of the time without a first byte; with less, a busy target would look like a failed one. */
constexpr state::Duration MinFirstByteTimeout = std::chrono::milliseconds(400);

/**
 * Time between events, as a share of the time after which the caller leaves, after which a stream moves to another
 * target. The rest is for the prefill there. A sound target may pause for a second.
 */
constexpr double EventGapShare = 0.6;

/** Largest share of the time left for a request that a silent target may use up. */
constexpr double MaxSilenceShare = 0.5;

/**
 * Targets that may refuse to go on with a stream, or to take over from a silent target, without being counted as tried.
 * They did not run the request, but a caller does not wait for many.
 */
constexpr std::size_t MaxUncountedRefusals = 2;

/** Number of attempts without a connection after which a request is refused. */
constexpr std::size_t MaxUnreachableAttempts = 3;

/** Time before the end of the shutdown grace at which a request without an answer is refused or fails. */
constexpr state::Duration AnswerReserve = std::chrono::milliseconds(600);

/** A request with less remaining time than this is not sent again. */
constexpr state::Duration MinRetryTime = std::chrono::milliseconds(50);

/** Time after the deadline at which a caller that does not read its response is disconnected. */
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
    case AttemptOutcome::Crashed:
        return "crashed";
    }
    return "unknown";
}

/** Returns whether @p status tells the caller that its request has not run and never will. */
bool promisesNoRun(http::status status)
{
    return status == http::status::request_timeout || status == http::status::misdirected_request
        || status == http::status::too_many_requests || status == http::status::service_unavailable;
}

} // namespace

Exchange::Exchange(ServingContext &context, asio::ip::tcp::socket &caller, Request request, state::Time arrived)
    : m_context(context)
    , m_caller(caller)
    , m_request(std::move(request))
    , m_arrived(arrived)
    , m_admission(context, m_request, arrived, m_admitted)
    , m_decisionTimer(context.io)
    , m_handover(context, *this, *this)
{
}

Exchange::~Exchange()
{
    m_context.waitingExchanges.erase(m_id);
}

asio::awaitable<bool> Exchange::run()
{
    if (auto refusal = m_admission.check()) {
        co_return co_await writeResponse(std::move(*refusal));
    }
    bool keep = false;
    bool failed = false;
    try {
        keep = co_await serve();
    } catch (const std::exception &exception) {
        failed = true;
        m_context.metrics.count("requests_failed_by_exception_total");
        logEvent("request_failed_by_exception",
                 { { "request", m_admitted.fields.attemptId }, { "detail", exception.what() } });
    }
    m_handover.cancel(m_context.now());
    if (failed) {
        giveBackTarget();
        if (!m_streamStarted && !m_responding) {
            keep = co_await writeResponse(internalError());
        }
    }
    co_return keep;
}

/** Ends what serve() has begun at a target or at the decider. */
void Exchange::giveBackTarget()
{
    const state::Time now = m_context.now();
    if (m_attempt) {
        m_mayHaveRun = m_mayHaveRun || m_attempt->sent();
        m_attempt->abort();
        m_attempt.reset();
    }
    m_context.waitingExchanges.erase(m_id);
    m_context.fleet.withdraw(m_id, now);
    m_context.fleet.finished(m_id, AttemptOutcome::Abandoned, 0, now);
}

Response Exchange::internalError() const
{
    return m_mayHaveRun ? makeErrorResponse(http::status::bad_gateway, "internal_error")
                        : makeErrorResponse(http::status::service_unavailable, "internal_error", TargetRetryAfter);
}

asio::awaitable<bool> Exchange::serve()
{
    m_context.scheduler.retryBudget().recordRequest(m_admitted.service, m_context.now());
    if (m_admitted.route->resumable) {
        m_events = protocol::EventSequence(m_admitted.fields.lastEventId);
    }
    std::optional<Response> targetErrorResponse; // Sent if no later attempt gets a better response.
    std::size_t unreachable = 0;
    for (;;) {
        auto handover = co_await m_handover.take();
        std::optional<Response> refusal;
        if (!handover) {
            refusal = co_await waitForTarget();
        }
        if (refusal) {
            if (m_state == State::CallerDisconnected) {
                logResponse(0, "caller_left");
                co_return false;
            }
            if (m_streamStarted) {
                recordUnanswered("stream_not_resumed");
                co_return false;
            }
            co_return co_await writeResponse(targetErrorResponse ? std::move(*targetErrorResponse)
                                                                 : std::move(*refusal));
        }
        AttemptResult result;
        if (handover) {
            result = co_await continueHandover(std::move(*handover));
        } else {
            result = co_await runAttempt();
        }
        if (result.responseBytes) {
            m_responseBytes.push_back(std::move(result.responseBytes));
        }
        m_mayHaveRun = m_mayHaveRun || result.mayHaveRun;
        m_lastOutcome = result.outcome;
        m_handover.firstAttemptEnded(m_context.now());
        if (m_state == State::CallerDisconnected) {
            logResponse(0, "caller_left");
            co_return false;
        }
        if (result.streamComplete) {
            co_return co_await finishStream();
        }
        if (result.outcome == AttemptOutcome::Unreachable && !m_streamStarted) {
            ++unreachable;
        }
        if (mayPlaceAgain(result)) {
            continue;
        }
        if (unreachable < MaxUnreachableAttempts && mayRetry(result)) {
            if (result.outcome == AttemptOutcome::ServerError) {
                targetErrorResponse = std::move(result.response);
            }
            continue;
        }
        if (m_streamStarted) {
            recordUnanswered("stream_broken");
            co_return false;
        }
        if (!result.response && targetErrorResponse && m_state == State::Open) {
            result.response = std::move(targetErrorResponse);
        }
        co_return co_await writeResponse(finalResponse(std::move(result)));
    }
}

/** Returns this request as the scheduler sees it, without an id. */
ScheduledRequest Exchange::scheduledRequest() const
{
    ScheduledRequest request;
    request.service = m_admitted.service;
    request.route = m_admitted.route->name;
    // The two priorities are added. Comparing one after the other would starve less urgent customers under overload.
    request.priority = m_admitted.route->priority + m_admitted.customerPriority;
    request.failureDomain = m_context.settings.failureDomain;
    request.latencyTarget = m_admitted.route->latencyTarget;
    request.pauseTarget = m_admitted.route->pauseTarget;
    request.arrived = m_arrived;
    request.deadline = m_admitted.deadline;
    if (m_admitted.route->callerIdleTimeout > state::Duration::zero() && !m_streamStarted) {
        request.deadline = std::min(m_admitted.deadline, m_arrived + m_admitted.route->callerIdleTimeout);
    }
    request.model = m_admitted.model;
    request.promptTokens = m_admitted.fields.promptTokens;
    request.expectedOutputTokens = m_admitted.fields.expectedOutputTokens;
    request.excludedTargets = m_triedTargets;
    request.excludedTargets.insert(request.excludedTargets.end(), m_rejectingTargets.begin(), m_rejectingTargets.end());
    request.parts = m_admitted.suspects;
    request.backOffs = m_backOffs;
    request.permittedRegions = m_admitted.permittedRegions;
    if (!m_quotaCharged) {
        request.customer = m_admitted.customer;
        request.cost = m_admitted.cost;
    }
    return request;
}

/** Requests a decision about this request, with the regions that are allowed now. */
void Exchange::submit()
{
    m_admission.updateRegions();
    ScheduledRequest request = scheduledRequest();
    request.id = m_id = ++m_context.lastRequestId;
    m_decision.reset();
    m_context.waitingExchanges[m_id] = this;
    m_context.fleet.submit(std::move(request), m_context.now());
}

/** Waits until the scheduler has chosen a target; returns the error response if it refuses the request. */
asio::awaitable<std::optional<Response>> Exchange::waitForTarget()
{
    submit();
    while (!m_decision && m_state == State::Open) {
        m_decisionTimer.expires_at(asio::steady_timer::time_point::max());
        boost::system::error_code ignored;
        co_await m_decisionTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        if (std::exchange(m_regionsChanged, false) && !m_decision && m_state == State::Open) {
            m_context.waitingExchanges.erase(m_id);
            m_context.fleet.withdraw(m_id, m_context.now());
            submit();
        }
    }
    m_context.waitingExchanges.erase(m_id);
    if (!m_decision) {
        m_context.fleet.withdraw(m_id, m_context.now());
        co_return makeErrorResponse(m_mayHaveRun ? http::status::gateway_timeout : http::status::service_unavailable,
                                    "timed_out");
    }
    refuseIfBlocked();
    if (m_decision->refusal) {
        const auto reason = coordination::entry::nameOf(*m_decision->refusal);
        logEvent("refused",
                 { { "request", m_admitted.fields.attemptId },
                   { "route", m_admitted.route->name },
                   { "service", m_admitted.service },
                   { "reason", std::string(reason) },
                   { "parts", describeParts(m_admitted.suspects) },
                   { "may_have_run", m_mayHaveRun ? "yes" : "no" },
                   { "waited_ms", milliseconds(m_context.now() - m_arrived) },
                   { "retry_after_ms", milliseconds(m_decision->retryAfter) },
                   { "customer", m_admitted.customer },
                   { "cost", std::to_string(static_cast<std::int64_t>(m_admitted.cost)) },
                   { "regions", coordination::entry::describe(m_admitted.permittedRegions) },
                   { "decider", m_decision->decider },
                   { "requests_waiting",
                     std::to_string(m_context.scheduler.waiting() + m_context.fleet.awaitingDecision()) },
                   { "hosts", std::to_string(m_context.fleet.hosts(m_context.now())) } });
        if (m_mayHaveRun) {
            co_return makeErrorResponse(http::status::bad_gateway, reason);
        }
        const bool overQuota = *m_decision->refusal == RefusalReason::OverQuota;
        co_return makeErrorResponse(overQuota ? http::status::too_many_requests : http::status::service_unavailable,
                                    reason,
                                    m_decision->retryAfter);
    }
    m_quotaCharged = true;
    co_return std::nullopt;
}

/** Returns until when the target of @p decision takes no requests from this host; nothing if it takes them now. */
std::optional<state::Time> Exchange::closedUntil(const Decision &decision) const
{
    return m_context.scheduler.statements().closedUntil(decision.targetHash, {}, m_context.now());
}

/** Returns whether the target of @p decision lies in a region in which this request may run now. */
bool Exchange::isAllowed(const Decision &decision)
{
    m_admission.updateRegions();
    return m_context.scheduler.regionRules().allows(m_admitted.permittedRegions, decision.target.failureDomain);
}

/** Returns whether the target of @p decision runs the service to which the configuration sends this request. */
bool Exchange::runsOwnService(const Decision &decision) const
{
    return decision.target.service == m_admitted.service;
}

/** Returns whether nothing may be sent to the target of @p decision now. */
bool Exchange::isWithheld(const Decision &decision)
{
    const PlacedTarget target{ decision.targetHash, decision.target.failureDomain, decision.targetsConfirmed };
    return !runsOwnService(decision) || !isAllowed(decision) || m_context.fleet.isWithheld(target, m_context.now());
}

/** Returns whether the request may be placed again, as nothing was sent to the last target. */
bool Exchange::mayPlaceAgain(const AttemptResult &result) const
{
    return result.withheld && m_state == State::Open && m_withheld < MaxWithheldPlacements;
}

/**
 * Records that the request was not sent to @p target: it runs another service, wants no requests, its failure domain is
 * evacuated or in a region that is not allowed, or it was placed from too old a list of targets.
 */
void Exchange::recordWithheld(const state::entry::TargetEntry &target)
{
    const state::Time now = m_context.now();
    const auto until = closedUntil(*m_decision);
    const bool evacuated = m_context.scheduler.evacuations().isEvacuated(target.failureDomain);
    if (until || evacuated) {
        const state::Time reported = now + StatementReportTime;
        m_backOffs.push_back({ m_decision->targetHash, std::min(until.value_or(reported), reported) });
    }
    ++m_withheld;
    m_context.metrics.count("placements_withheld_total");
    logEvent("placement_withheld",
             { { "request", m_admitted.fields.attemptId },
               { "target", target.id },
               { "decider", m_decision->decider },
               { "leaving", until == state::Time::max() ? "yes" : "no" },
               { "closed", until ? "yes" : "no" },
               { "own_service", runsOwnService(*m_decision) ? "yes" : "no" },
               { "region_allowed", isAllowed(*m_decision) ? "yes" : "no" },
               { "evacuated", evacuated ? "yes" : "no" },
               { "targets_age_ms", milliseconds(now - m_decision->targetsConfirmed) },
               { "times", std::to_string(m_withheld) } });
    m_context.fleet.finished(m_id, AttemptOutcome::Abandoned, 0, now);
}

/** Returns the time after which a caller whose request no target took may return. */
state::Duration Exchange::ownRetryAfter() const
{
    const state::Duration toOpen = m_context.scheduler.timeToOpen(m_admitted.service, m_context.now());
    return std::clamp(toOpen, TargetRetryAfter, MaxTargetRetryAfter);
}

/** Returns whether this host knows that the request crashes the target of @p decision. */
bool Exchange::blockedHere(const Decision &decision) const
{
    const auto &target = decision.target;
    const std::uint32_t build = coordination::entry::buildHash(target.service, target.softwareVersion);
    return !decision.isTrial && m_context.scheduler.suspects().isBlocked(m_admitted.suspects, build);
}

/** Turns the decision into a refusal if this host knows that the request crashes targets and the decider did not. */
void Exchange::refuseIfBlocked()
{
    if (m_decision->refusal || !blockedHere(*m_decision)) {
        return;
    }
    const state::Time now = m_context.now();
    m_context.fleet.finished(m_id, AttemptOutcome::Abandoned, 0, now);
    m_decision->refusal = RefusalReason::CrashesTargets;
    m_decision->retryAfter = m_context.scheduler.blockedRetryAfter(m_admitted.suspects, now);
}

/** Requests another target for a request whose target is silent. The attempt goes on until that one answers. */
void Exchange::requestHandover(state::Time now)
{
    const std::size_t hosts = m_context.fleet.hosts(now);
    const bool possible = m_handover.mayBegin(now) && repeatable() && mayTryAnotherTarget(now)
        && m_rejectingTargets.size() < MaxUncountedRefusals
        && m_context.scheduler.retryBudget().available(m_admitted.service, hosts, now);
    if (!possible) {
        return;
    }
    logEvent("handover_requested",
             { { "request", m_admitted.fields.attemptId },
               { "target", m_triedTargets.empty() ? "none" : m_triedTargets.back() },
               { "silent_ms", milliseconds(now - std::max(m_lastEventAt, m_dispatched)) } });
    m_admission.updateRegions();
    m_handover.begin(scheduledRequest(), now);
}

std::shared_ptr<TargetAttempt> Exchange::makeAttempt(const Decision &decision)
{
    if (blockedHere(decision) || isWithheld(decision)) {
        return nullptr;
    }
    return std::make_shared<TargetAttempt>(m_context, attemptTarget(decision), inactivityTimeouts(m_context.now()));
}

std::optional<HandoverRequest> Exchange::beginHandover(const Decision &decision)
{
    const state::Time now = m_context.now();
    const bool moves = m_state == State::Open && m_attempt && m_attempt->isSilent(now) && !blockedHere(decision)
        && !isWithheld(decision)
        && m_context.scheduler.retryBudget().take(m_admitted.service, m_context.fleet.hosts(now), now);
    if (!moves) {
        return std::nullopt;
    }
    HandoverRequest request{ forwardRequest(decision, now), m_admitted.fields.attemptId };
    recordDispatch(decision, now);
    return request;
}

void Exchange::endSilentAttempt()
{
    if (m_attempt) {
        m_attempt->giveUpSilent();
    }
}

asio::awaitable<void> Exchange::handoverFailed(Decision decision, AttemptResult result, bool rejected)
{
    // Copied, as this request may be gone after the wait.
    const std::uint64_t id = decision.request;
    ServingContext &context = m_context;
    m_mayHaveRun = m_mayHaveRun || result.mayHaveRun;
    if (result.withheld) {
        std::erase(m_triedTargets, decision.target.id); // Nothing was sent.
    } else if (rejected) {
        std::erase(m_triedTargets, decision.target.id); // It did not run there.
        m_rejectingTargets.push_back(decision.target.id);
        result.outcome = AttemptOutcome::NotExecuted;
    }
    recordFailure(result, decision.target);
    if (result.outcome == AttemptOutcome::Broken) {
        const protocol::Endpoint endpoint{ decision.target.address, decision.target.port };
        const bool refused = co_await refusesConnections(context.io, endpoint);
        result.outcome = refused ? AttemptOutcome::Crashed : result.outcome;
    }
    context.fleet.finished(id, result.outcome, 0, context.now());
}

/** Continues with the target that has taken over. */
asio::awaitable<AttemptResult> Exchange::continueHandover(HandoverTarget target)
{
    m_decision = std::move(target.decision);
    m_id = m_decision->request;
    m_attempt = std::move(target.attempt);
    co_return co_await finishAttempt(target.begun, std::move(target.result));
}

/** Ends the attempt. A target that is silent when the time is over counts as stalled. */
void Exchange::endAttempt(state::Time now)
{
    if (repeatable() && m_attempt->isSilent(now)) {
        m_attempt->giveUpSilent();
    } else {
        m_attempt->abort();
    }
}

/** Records that the request is sent to the target of @p decision. */
void Exchange::recordDispatch(const Decision &decision, state::Time now)
{
    m_triedTargets.push_back(decision.target.id);
    m_dispatched = now;
    logEvent("dispatch",
             { { "request", m_admitted.fields.attemptId },
               { "route", m_admitted.route->name },
               { "customer", m_admitted.customer },
               { "target", decision.target.id },
               { "decider", decision.decider },
               { "version", decision.target.softwareVersion },
               { "target_running", std::to_string(decision.targetRunning) },
               { "target_limit", describeLimit(m_context.scheduler.statements().find(decision.targetHash), now) },
               { "decider_limit", describeRate(decision.targetLimit) },
               { "expected_first_ms", std::to_string(static_cast<int>(decision.expectedFirstMs)) },
               { "parts", describeParts(m_admitted.suspects) },
               { "trial", decision.isTrial ? "yes" : "no" },
               { "waited_ms", milliseconds(now - m_arrived) },
               { "attempt", std::to_string(m_triedTargets.size()) } });
}

/** Returns the request as it is sent to the target of @p decision. */
Request Exchange::forwardRequest(const Decision &decision, state::Time now) const
{
    Request request = m_request;
    removeHopByHopFields(request, m_context.codec);
    ForwardFields fields;
    fields.targetId = decision.target.id;
    fields.customer = m_admitted.customer;
    fields.deadline = m_admitted.deadline - now;
    fields.lastEventId = m_events.lastEventId() ? m_events.lastEventId() : m_admitted.fields.lastEventId;
    m_context.codec.prepareForward(request, fields);
    request.prepare_payload();
    return request;
}

asio::awaitable<AttemptResult> Exchange::runAttempt()
{
    const state::Time now = m_context.now();
    AttemptResult result;
    if (m_state != State::Open) {
        result.outcome = AttemptOutcome::Abandoned;
        m_context.fleet.finished(m_id, result.outcome, 0, now);
        co_return result;
    }
    if (isWithheld(*m_decision)) {
        result.outcome = AttemptOutcome::Abandoned;
        result.withheld = true;
        recordWithheld(m_decision->target);
        co_return result;
    }
    recordDispatch(*m_decision, now);
    Request request = forwardRequest(*m_decision, now);
    m_attempt = std::make_shared<TargetAttempt>(m_context, attemptTarget(*m_decision), inactivityTimeouts(now));
    const bool begun = co_await m_attempt->begin(std::move(request), m_admitted.fields.attemptId, result);
    co_return co_await finishAttempt(begun, std::move(result));
}

/** Reads the rest of the response, and reports how the attempt ended. */
asio::awaitable<AttemptResult> Exchange::finishAttempt(bool begun, AttemptResult result)
{
    const state::entry::TargetEntry entry = m_decision->target;
    if (m_streamStarted) {
        m_events.resume();
    }
    const bool streaming = m_admitted.route->kind == RequestKind::Streaming;
    result = co_await m_attempt->finish(begun, std::move(result), streaming, *this);
    m_attempt.reset();
    if (result.withheld && m_state == State::Open) {
        m_triedTargets.pop_back();
        recordWithheld(entry);
        co_return result;
    }
    // The target's time to come back concerns that target only.
    if (result.response && result.response->result() == http::status::service_unavailable
        && result.response->count(http::field::retry_after) > 0) {
        setRetryAfter(*result.response, ownRetryAfter());
    }
    co_await classifyFailure(result, entry);
    if (m_streamStarted && result.response) {
        recordRefusal(result);
    }
    if (result.outcome == AttemptOutcome::Unreachable) {
        m_triedTargets.pop_back(); // Nothing was sent. The ejection of the target keeps the request away from it.
    }
    if (result.outcome != AttemptOutcome::Served) {
        recordFailure(result, entry);
    }
    m_context.fleet.finished(m_id, result.outcome, result.events, m_context.now());
    co_return result;
}

/** Tells a crash of the target from a broken connection, and another incarnation from a refusal. */
asio::awaitable<void> Exchange::classifyFailure(AttemptResult &result, const state::entry::TargetEntry &entry)
{
    if (result.outcome == AttemptOutcome::Broken) {
        const protocol::Endpoint endpoint{ entry.address, entry.port };
        const bool refused = co_await refusesConnections(m_context.io, endpoint);
        result.outcome = refused ? AttemptOutcome::Crashed : result.outcome;
    }
    if (result.outcome == AttemptOutcome::NotExecuted && result.response
        && result.response->result() == http::status::misdirected_request) {
        result.outcome = AttemptOutcome::Misdirected;
    }
}

void Exchange::recordFailure(const AttemptResult &result, const state::entry::TargetEntry &entry)
{
    m_context.metrics.count("attempts_" + std::string(nameOf(result.outcome)) + "_total");
    logEvent("attempt_failed",
             { { "request", m_admitted.fields.attemptId },
               { "target", entry.id },
               { "outcome", std::string(nameOf(result.outcome)) },
               { "may_have_run", result.mayHaveRun ? "yes" : "no" },
               { "events", std::to_string(result.events) },
               { "parts", describeParts(m_admitted.suspects) },
               { "detail", result.detail } });
}

AttemptTarget Exchange::attemptTarget(const Decision &decision) const
{
    const state::entry::TargetEntry &entry = decision.target;
    const state::entry::Service *service = m_admitted.table->findService(entry.service);
    const std::uint32_t maxConnections = service == nullptr ? 0 : service->maxConnections;
    const std::size_t hosts = m_context.fleet.hosts(m_context.now());
    return { entry.id,
             decision.targetHash,
             entry.failureDomain,
             decision.targetsConfirmed,
             { entry.address, entry.port },
             coordination::entry::idleConnectionLimit(maxConnections, entry.slots, hosts) };
}

/**
 * Returns the times after which the target of the request counts as silent. A request that must not run twice waits
 * until its deadline has passed.
 */
InactivityTimeouts Exchange::inactivityTimeouts(state::Time now) const
{
    const state::Duration left = m_admitted.deadline - now;
    if (!repeatable()) {
        return { left + SlowCallerGrace, left + SlowCallerGrace };
    }
    const state::Duration longest = state::scaled(left, MaxSilenceShare);
    InactivityTimeouts timeouts;
    timeouts.firstByte =
        std::max(MinFirstByteTimeout, state::scaled(m_admitted.route->latencyTarget, FirstByteTimeoutFactor));
    timeouts.betweenEvents = std::min(longest, state::scaled(m_admitted.route->callerIdleTimeout, EventGapShare));
    return timeouts;
}

/**
 * Returns whether the request may be sent to another target after @p result. Charges the retry budget unless the target
 * was unreachable.
 */
bool Exchange::mayRetry(const AttemptResult &result)
{
    const bool ended = result.outcome == AttemptOutcome::Served || result.outcome == AttemptOutcome::Abandoned;
    if (ended || !mayContinue() || m_state != State::Open || m_admitted.deadline - m_context.now() < MinRetryTime) {
        return false;
    }
    if (m_handover.committed()) {
        return true; // Charged when the next target got the request.
    }
    const bool safe = !m_mayHaveRun || repeatable();
    if (!safe) {
        return false;
    }
    if (result.outcome == AttemptOutcome::Unreachable) {
        return true;
    }
    if (!mayTryAnotherTarget(m_context.now())) {
        return false;
    }
    const std::size_t hosts = m_context.fleet.hosts(m_context.now());
    return m_context.scheduler.retryBudget().take(m_admitted.service, hosts, m_context.now());
}

bool Exchange::mayTryAnotherTarget(state::Time now) const
{
    return m_state == State::Open && mayContinue() && m_triedTargets.size() < m_admitted.route->maxTargets
        && m_admitted.deadline - now >= MinRetryTime;
}

/** Returns whether another target can continue what the caller has received. */
bool Exchange::mayContinue() const
{
    return !m_streamStarted || m_events.resumable();
}

/** Processes a response that takes the place of the rest of a stream. Nothing of it may reach the caller. */
void Exchange::recordRefusal(AttemptResult &result)
{
    const bool notRun = result.outcome == AttemptOutcome::NotExecuted || result.outcome == AttemptOutcome::Misdirected;
    if (notRun && m_rejectingTargets.size() < MaxUncountedRefusals) {
        m_rejectingTargets.push_back(std::move(m_triedTargets.back()));
        m_triedTargets.pop_back();
    } else if (result.outcome == AttemptOutcome::Served) {
        result.outcome = AttemptOutcome::Broken;
        result.detail = "status " + std::to_string(result.response->result_int()) + " in place of an event stream";
    }
    result.response.reset();
}

Response Exchange::finalResponse(AttemptResult result)
{
    if (result.response && result.outcome != AttemptOutcome::NotExecuted
        && result.outcome != AttemptOutcome::Misdirected) {
        if (!repeatable() && promisesNoRun(result.response->result())) {
            return makeErrorResponse(http::status::bad_gateway, "unproven_refusal");
        }
        return std::move(*result.response);
    }
    if (m_state == State::TimedOut) {
        return m_mayHaveRun ? makeErrorResponse(http::status::gateway_timeout, "timed_out")
                            : makeErrorResponse(http::status::service_unavailable, "timed_out");
    }
    if (!m_mayHaveRun) {
        return makeErrorResponse(http::status::service_unavailable, nameOf(result.outcome), ownRetryAfter());
    }
    return makeErrorResponse(http::status::bad_gateway, nameOf(result.outcome));
}

void Exchange::decided(Decision decision)
{
    if (m_handover.owns(decision.request)) {
        m_handover.decided(std::move(decision));
        return;
    }
    m_decision = std::move(decision);
    m_decisionTimer.cancel();
}

void Exchange::callerDisconnected()
{
    if (m_state != State::Open) {
        return;
    }
    m_state = State::CallerDisconnected;
    m_decisionTimer.cancel();
    m_handover.cancel(m_context.now());
    // A request that must not run twice is left to finish: cancelling it would not undo what it did.
    const bool leaveRunning = m_admitted.route != nullptr && m_admitted.route->kind == RequestKind::NonIdempotent;
    if (m_attempt && !(leaveRunning && m_attempt->sent())) {
        endAttempt(m_context.now());
    }
}

void Exchange::configurationChanged()
{
    if (m_admitted.route != nullptr && m_admission.updateRegions()) {
        m_regionsChanged = true;
        m_decisionTimer.cancel();
    }
}

/** Returns whether the host ends so soon that what has not been answered must be answered now. */
bool Exchange::endsSoon(state::Time now) const
{
    return m_context.stopping && now >= m_context.graceEnds - AnswerReserve;
}

void Exchange::checkTimeouts(state::Time now)
{
    const bool isOver = now >= m_admitted.deadline || (!m_streamStarted && endsSoon(now));
    if (m_state == State::Open && isOver) {
        m_state = State::TimedOut;
        m_decisionTimer.cancel();
        m_handover.cancel(now);
        if (m_attempt) {
            endAttempt(now);
        }
    }
    m_handover.checkTimeouts(now);
    if (m_attempt) {
        m_attempt->checkConnecting(now);
        if (m_attempt->isSilent(now)) {
            requestHandover(now);
        }
    }
    if (m_writing && now >= m_admitted.deadline + SlowCallerGrace) {
        boost::system::error_code ignored;
        m_caller.close(ignored);
    }
}

bool Exchange::take(const protocol::ServerSentEvent &event)
{
    // Once another target goes on after the last event, the first one must add none.
    return !m_handover.committed() && m_events.take(event);
}

bool Exchange::mayEnd() const
{
    return !m_events.resuming();
}

void Exchange::firstEvent()
{
    const state::Time now = m_context.now();
    m_context.fleet.firstEvent(m_id, now);
    if (!m_streamStarted) {
        m_context.metrics.recordLatency(m_admitted.route->name, now - m_arrived);
    }
}

asio::awaitable<bool> Exchange::writeEvents(const WireCodec::ResponseHeader &head, std::string events)
{
    std::string out;
    const state::Time now = m_context.now();
    if (m_handover.committed()) {
        co_return false; // Another target goes on after the events that were forwarded before.
    }
    m_handover.cancel(now); // The target is no longer silent.
    if (m_firstEventAt) {
        m_longestPause = std::max(m_longestPause, now - m_lastEventAt);
    } else {
        m_firstEventAt = now;
    }
    m_lastEventAt = now;
    if (!m_streamStarted) {
        m_streamStarted = true;
        http::response_header<> responseHead = head;
        removeHopByHopFields(responseHead, m_context.codec);
        responseHead.erase(http::field::content_length);
        responseHead.set(http::field::transfer_encoding, "chunked");
        if (!keepAlive()) {
            responseHead.set(http::field::connection, "close");
        }
        out =
            "HTTP/1.1 " + std::to_string(responseHead.result_int()) + ' ' + std::string(responseHead.reason()) + "\r\n";
        for (const auto &field : responseHead) {
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
        callerDisconnected();
    }
    co_return !error;
}

asio::awaitable<bool> Exchange::finishStream()
{
    if (!m_streamStarted) {
        co_return co_await writeResponse(makeErrorResponse(http::status::bad_gateway, "empty_stream"));
    }
    constexpr std::string_view lastChunk = "0\r\n\r\n";
    boost::system::error_code error;
    co_await asio::async_write(
        m_caller, asio::buffer(lastChunk.data(), lastChunk.size()), asio::redirect_error(asio::use_awaitable, error));
    logResponse(200, "stream_complete");
    co_return !error && keepAlive();
}

asio::awaitable<bool> Exchange::writeResponse(Response response)
{
    const int status = static_cast<int>(response.result_int());
    const std::string_view ownReason = errorReason(response);
    const bool isOwn = !ownReason.empty();
    const std::string reason(isOwn ? ownReason : "answer_of_target");
    if (m_state == State::CallerDisconnected) {
        logResponse(0, "caller_left");
        co_return false;
    }
    if (status < 500 && m_admitted.route != nullptr) {
        m_context.metrics.recordLatency(m_admitted.route->name, m_context.now() - m_arrived);
    }
    removeHopByHopFields(response, m_context.codec);
    response.version(11);
    const bool keep = keepAlive();
    response.keep_alive(keep);
    if (m_request.method() != http::verb::head) {
        response.prepare_payload();
    } else if (isOwn) {
        response.prepare_payload();
        response.body().clear();
    }
    boost::system::error_code error;
    m_writing = true;
    m_responding = true;
    co_await http::async_write(m_caller, response, asio::redirect_error(asio::use_awaitable, error));
    m_writing = false;
    logResponse(status, reason);
    co_return !error && keep;
}

bool Exchange::keepAlive() const
{
    return m_request.keep_alive() && !m_context.stopping;
}

/** Logs that the caller's connection ends without a complete answer although the caller has not left. */
void Exchange::recordUnanswered(std::string_view reason)
{
    const state::Time now = m_context.now();
    logResponse(0, reason);
    m_context.metrics.count("requests_unanswered_total");
    logEvent("unanswered",
             { { "request", m_admitted.fields.attemptId },
               { "reason", std::string(reason) },
               { "last_outcome", std::string(nameOf(m_lastOutcome)) },
               { "timed_out", m_state == State::TimedOut ? "yes" : "no" },
               { "silent_ms", m_firstEventAt ? milliseconds(now - m_lastEventAt) : "none" },
               { "time_left_ms", milliseconds(m_admitted.deadline - now) },
               { "configuration_age_ms", milliseconds(now - m_context.configurationInForce) } });
}

void Exchange::logResponse(int status, std::string_view reason)
{
    const state::Time now = m_context.now();
    const std::string_view route = m_admitted.route == nullptr ? std::string_view("none") : m_admitted.route->name;
    m_context.metrics.countResponse(route, std::to_string(status));
    logEvent("answer",
             { { "request", m_admitted.fields.attemptId },
               { "route", std::string(route) },
               { "customer", m_admitted.customer },
               { "status", std::to_string(status) },
               { "reason", std::string(reason) },
               { "targets", std::to_string(m_triedTargets.size()) },
               { "first_ms", m_firstEventAt ? milliseconds(*m_firstEventAt - m_arrived) : "none" },
               { "longest_pause_ms", milliseconds(m_longestPause) },
               { "total_ms", milliseconds(now - m_arrived) },
               { "configuration", m_admitted.table ? std::to_string(m_admitted.table->version()) : "none" },
               { "confirmed_ms_ago", milliseconds(now - m_context.configurationConfirmed) } });
}

} // namespace sapphirecove::transport::entry
