#include "transport/decisions/decisionsservice.h"

#include "transport/log.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace sapphirecove::transport {

namespace {

/** Visitor made of one lambda for each alternative of a variant. */
template <typename... Functions>
struct OverloadedVisitor : Functions...
{
    using Functions::operator()...;
};

template <typename... Functions>
OverloadedVisitor(Functions...) -> OverloadedVisitor<Functions...>;

/** Logs a dispatch that did not complete. */
void logFailedDispatch(const coordination::DispatchFinished &event)
{
    if (event.outcome == coordination::GrantOutcome::Complete) {
        return;
    }
    logEvent("dispatch_failed",
             { { "request", event.request },
               { "grant", std::to_string(event.grant) },
               { "status", std::to_string(event.status) },
               { "detail", event.detail } });
}

} // namespace

DecisionsService::DecisionsService(boost::asio::io_context &context,
                                   const TimeSource &clock,
                                   std::unique_ptr<coordination::Coordinator> coordinator,
                                   const DecisionRings &rings,
                                   std::function<void()> onDrainComplete)
    : m_clock(clock)
    , m_coordinator(std::move(coordinator))
    , m_data(context, rings.data)
    , m_peers(context, rings.peers)
    , m_platform(context, rings.platform)
    , m_operators(context, rings.operators)
    , m_onDrainComplete(std::move(onDrainComplete))
    , m_tickTimer(context)
    , m_timeToFirstToken("time_to_first_token", "From dispatch to the first token or byte of the answer.")
    , m_dispatchTime("dispatch", "From dispatch to the end of the answer.")
    , m_decisionTime("decision", "Time that the decisions on one event take.")
{
}

void DecisionsService::start()
{
    m_tickTimer.expires_after(TickInterval);
    scheduleTick();
}

void DecisionsService::handle(const coordination::Event &event)
{
    const auto now = m_clock.now();
    recordLatencies(event, now);
    for (const auto &action : m_coordinator->handle(event, now)) {
        route(action);
    }
    const auto end = m_clock.now();
    m_decisionTime.add(end - now, end);
}

void DecisionsService::answer(SnapshotQuery query)
{
    const auto now = m_clock.now();
    auto snapshot = std::make_shared<HostSnapshot>();
    snapshot->report = m_coordinator->status(now);
    snapshot->latencies = { m_timeToFirstToken.summary(now), m_dispatchTime.summary(now), m_decisionTime.summary(now) };
    m_operators.send(SnapshotResponse{ query.id, std::move(snapshot) });
}

void DecisionsService::scheduleTick()
{
    m_tickTimer.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        handle(coordination::Tick{});
        // Ticks that were missed while the process was paused are skipped.
        const auto next = m_tickTimer.expiry() + TickInterval;
        m_tickTimer.expires_at(std::max(next, boost::asio::steady_timer::clock_type::now()));
        scheduleTick();
    });
}

void DecisionsService::recordLatencies(const coordination::Event &event, state::Time now)
{
    const auto *finished = std::get_if<coordination::DispatchFinished>(&event);
    if (finished == nullptr) {
        return;
    }
    if (finished->timeToFirstToken > state::Duration::zero()) {
        m_timeToFirstToken.add(finished->timeToFirstToken, now);
    }
    m_dispatchTime.add(finished->total, now);
    logFailedDispatch(*finished);
}

void DecisionsService::route(const coordination::Action &action)
{
    using namespace coordination;
    const auto toData = [&](const auto &decision) {
        m_data.send(decision);
    };
    const auto toPlatform = [&](const auto &decision) {
        m_platform.send(decision);
    };
    std::visit(OverloadedVisitor{
                   [&](const Dispatch &decision) {
                       toData(decision);
                   },
                   [&](const Refuse &decision) {
                       toData(decision);
                   },
                   [&](const CancelDispatch &decision) {
                       toData(decision);
                   },
                   [&](const ApplyConfiguration &decision) {
                       toData(decision);
                   },
                   [&](const AppendRecords &decision) {
                       toPlatform(decision);
                   },
                   [&](const SendOrder &decision) {
                       toPlatform(decision);
                   },
                   [&](const WatchTargets &decision) {
                       toPlatform(decision);
                   },
                   [&](const SendMessage &decision) {
                       m_peers.send(decision);
                   },
                   [&](const SetReady &decision) {
                       m_operators.send(decision);
                   },
                   [&](const DrainComplete &) {
                       m_onDrainComplete();
                   },
                   [&](const WriteLog &decision) {
                       logEvent(decision.event, decision.fields);
                   },
               },
               action);
}

} // namespace sapphirecove::transport
