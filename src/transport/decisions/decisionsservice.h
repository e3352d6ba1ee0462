#pragma once

#include "coordination/coordinator.h"
#include "transport/decisions/latencyrecorder.h"
#include "transport/operators/hostsnapshot.h"
#include "transport/outbox.h"
#include "transport/systemclock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace sapphirecove::transport {

/** Rings from the decisions thread to the other threads. */
struct DecisionRings
{
    Ring<coordination::Action> &data;
    Ring<coordination::Action> &peers;
    Ring<coordination::Action> &platform;
    Ring<OperatorsUpdate> &operators;
};

/**
 * Runs the Coordinator on the decisions thread: passes every event with the current time to it, and sends the resulting
 * actions to the threads that carry them out.
 */
class DecisionsService
{
public:
    static constexpr std::chrono::milliseconds TickInterval{ 20 };

    /** @p onDrainComplete is called after a DrainRequested, once all accepted work has ended. */
    DecisionsService(boost::asio::io_context &context,
                     const TimeSource &clock,
                     std::unique_ptr<coordination::Coordinator> coordinator,
                     const DecisionRings &rings,
                     std::function<void()> onDrainComplete);

    /** Starts the timer that triggers the ticks. */
    void start();

    /** Passes @p event to the coordinator and carries out the resulting actions. */
    void handle(const coordination::Event &event);

    /** Replies to a query of the operators thread. */
    void answer(SnapshotQuery query);

private:
    void scheduleTick();
    void recordLatencies(const coordination::Event &event, state::Time now);
    void route(const coordination::Action &action);

    const TimeSource &m_clock;
    std::unique_ptr<coordination::Coordinator> m_coordinator;
    Outbox<coordination::Action> m_data;
    Outbox<coordination::Action> m_peers;
    Outbox<coordination::Action> m_platform;
    Outbox<OperatorsUpdate> m_operators;
    std::function<void()> m_onDrainComplete;
    boost::asio::steady_timer m_tickTimer;
    LatencyRecorder m_timeToFirstToken;
    LatencyRecorder m_dispatchTime;
    LatencyRecorder m_decisionTime;
};

} // namespace sapphirecove::transport
