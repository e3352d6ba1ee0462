#include "transport/entry/targethandover.h"

#include "transport/entry/exchange.h"
#include "transport/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace sapphirecove::transport::entry {

namespace asio = boost::asio;

using coordination::entry::AttemptOutcome;
using coordination::entry::Decision;
using coordination::entry::ScheduledRequest;

namespace {

/** Time after a handover failed before the next one begins; slots become free at about this interval under load. */
constexpr state::Duration RetryInterval = std::chrono::milliseconds(250);

/**
 * Time for which two targets may have a request. The first one may work on it unheard, and a request must not go on at
 * two targets for longer.
 */
constexpr state::Duration MaxOverlap = std::chrono::milliseconds(300);

} // namespace

TargetHandover::TargetHandover(ServingContext &context, Exchange &exchange, HandoverOwner &owner)
    : m_context(context)
    , m_exchange(exchange)
    , m_owner(owner)
    , m_settled(context.io)
{
}

TargetHandover::~TargetHandover()
{
    *m_alive = false;
    if (m_step != Step::Idle) {
        m_context.waitingExchanges.erase(m_id);
    }
}

void TargetHandover::begin(ScheduledRequest request, state::Time now)
{
    request.id = m_id = ++m_context.lastRequestId;
    m_step = Step::Requested;
    m_context.waitingExchanges[m_id] = &m_exchange;
    m_context.fleet.submit(std::move(request), now);
}

void TargetHandover::decided(Decision decision)
{
    const state::Time now = m_context.now();
    if (m_step != Step::Requested) {
        return;
    }
    if (decision.refusal) {
        reset(now + RetryInterval);
        return;
    }
    m_step = Step::Connecting;
    m_target = { std::move(decision), nullptr, false, {} };
    m_target.attempt = m_owner.makeAttempt(m_target.decision);
    if (!m_target.attempt) {
        m_context.fleet.finished(m_id, AttemptOutcome::Abandoned, 0, now);
        reset(now + RetryInterval);
        return;
    }
    asio::co_spawn(m_context.io, run(m_target.attempt), asio::detached);
}

/** Connects and sends the request. Ends without effect once the handover is cancelled or the request is gone. */
asio::awaitable<void> TargetHandover::run(std::shared_ptr<TargetAttempt> attempt)
{
    const auto alive = m_alive;
    const auto isCurrent = [this, alive, attempt] {
        return *alive && m_target.attempt == attempt;
    };
    AttemptResult result;
    bool begun = co_await attempt->connect(result);
    if (!isCurrent()) {
        co_return;
    }
    if (begun) {
        auto request = m_owner.beginHandover(m_target.decision);
        if (!request) {
            cancel(m_context.now());
            co_return;
        }
        m_step = Step::Sent;
        m_sentAt = m_context.now();
        begun = co_await attempt->begin(std::move(request->message), std::move(request->attemptId), result);
        if (!isCurrent()) {
            co_return;
        }
    }
    const bool rejected = begun && attempt->rejected();
    m_target.begun = begun;
    m_target.result = result;
    if (m_committed || (begun && !rejected)) {
        m_step = Step::Ready;
        commit();
        m_settled.cancel();
        co_return;
    }
    Decision decision = m_target.decision;
    logEvent("handover_failed",
             { { "target", decision.target.id },
               { "sent", m_step == Step::Sent ? "yes" : "no" },
               { "rejected", rejected ? "yes" : "no" },
               { "detail", result.detail } });
    reset(m_context.now() + RetryInterval);
    co_await m_owner.handoverFailed(std::move(decision), std::move(result), rejected);
}

void TargetHandover::checkTimeouts(state::Time now)
{
    if (m_step == Step::Connecting) {
        m_target.attempt->checkConnecting(now);
    } else if (m_step == Step::Sent && now - m_sentAt >= MaxOverlap) {
        commit();
    }
}

/** Ends the first attempt in favour of the next target. */
void TargetHandover::commit()
{
    if (!m_committed) {
        m_committed = true;
        m_owner.endSilentAttempt();
    }
}

void TargetHandover::firstAttemptEnded(state::Time now)
{
    if (m_step == Step::Sent) {
        m_committed = true;
    } else if (m_step != Step::Ready) {
        cancel(now);
    }
}

void TargetHandover::cancel(state::Time now)
{
    if (m_step == Step::Idle) {
        return;
    }
    if (m_step == Step::Requested) {
        m_context.fleet.withdraw(m_id, now);
    } else {
        m_target.attempt->abort();
        m_context.fleet.finished(m_id, AttemptOutcome::Abandoned, 0, now);
    }
    reset(now + RetryInterval);
}

asio::awaitable<std::optional<HandoverTarget>> TargetHandover::take()
{
    while (m_step == Step::Sent) {
        m_settled.expires_at(asio::steady_timer::time_point::max());
        boost::system::error_code ignored;
        co_await m_settled.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    if (m_step != Step::Ready) {
        co_return std::nullopt;
    }
    HandoverTarget target = std::move(m_target);
    reset(m_context.now());
    co_return target;
}

void TargetHandover::reset(state::Time nextBegin)
{
    if (m_step != Step::Idle) {
        m_context.waitingExchanges.erase(m_id);
    }
    m_step = Step::Idle;
    m_committed = false;
    m_target = {};
    m_nextBegin = nextBegin;
    m_settled.cancel();
}

} // namespace sapphirecove::transport::entry
