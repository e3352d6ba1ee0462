#include "transport/entry/targethandover.h"

#include "transport/entry/exchange.h"
#include "transport/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace sapphirecove::transport::entry {

namespace asio = boost::asio;

using coordination::entry::AttemptOutcome;
using coordination::entry::Decision;
using coordination::entry::ScheduledRequest;

namespace {

/** Time after a handover failed before the next one begins; slots become free at about this interval under load. */
constexpr state::Duration RetryInterval = std::chrono::milliseconds(250);

} // namespace

TargetHandover::TargetHandover(ServingContext &context, Exchange &owner, MakeAttempt makeAttempt)
    : m_context(context)
    , m_owner(owner)
    , m_makeAttempt(std::move(makeAttempt))
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
    m_context.waitingExchanges[m_id] = &m_owner;
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
    m_decision = std::move(decision);
    m_attempt = m_makeAttempt(m_decision);
    if (!m_attempt) {
        m_context.fleet.finished(m_id, AttemptOutcome::Abandoned, 0, now);
        reset(now + RetryInterval);
        return;
    }
    m_step = Step::Connecting;
    asio::co_spawn(
        m_context.io,
        [this, alive = m_alive, attempt = m_attempt]() -> asio::awaitable<void> {
            AttemptResult result;
            const bool success = co_await attempt->connect(result);
            if (*alive && m_attempt == attempt) {
                connected(success, result.detail);
            }
        },
        asio::detached);
}

void TargetHandover::connected(bool success, std::string_view detail)
{
    if (success) {
        m_step = Step::Ready;
        m_owner.handoverReady();
        return;
    }
    const state::Time now = m_context.now();
    logEvent("handover_failed", { { "target", m_decision.target.id }, { "detail", std::string(detail) } });
    m_context.fleet.finished(m_id, AttemptOutcome::Unreachable, 0, now);
    reset(now + RetryInterval);
}

void TargetHandover::checkTimeouts(state::Time now)
{
    if (m_step == Step::Connecting) {
        m_attempt->checkConnecting(now);
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
        m_attempt->abort();
        m_context.fleet.finished(m_id, AttemptOutcome::Abandoned, 0, now);
    }
    reset(now + RetryInterval);
}

HandoverTarget TargetHandover::take()
{
    HandoverTarget target{ std::move(m_decision), std::move(m_attempt) };
    reset(m_context.now());
    return target;
}

void TargetHandover::reset(state::Time nextBegin)
{
    if (m_step != Step::Idle) {
        m_context.waitingExchanges.erase(m_id);
    }
    m_step = Step::Idle;
    m_attempt.reset();
    m_nextBegin = nextBegin;
}

} // namespace sapphirecove::transport::entry
