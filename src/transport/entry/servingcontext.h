#pragma once

#include "coordination/entry/fleetscheduler.h"
#include "coordination/entry/scheduler.h"
#include "coordination/entry/storereach.h"
#include "protocol/entrysettings.h"
#include "state/entry/routing.h"
#include "transport/bytebudget.h"
#include "transport/entry/entrymetrics.h"
#include "transport/entry/targetconnectionpool.h"
#include "transport/entry/wirecodec.h"
#include "transport/systemclock.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <unordered_map>

namespace sapphirecove::transport::entry {

class Exchange;

/** State that the connections and requests of one host share; used only by the serving thread. */
struct ServingContext
{
    boost::asio::io_context &io;
    const TimeSource &clock;
    const WireCodec &codec;
    const protocol::EntrySettings &settings;
    coordination::entry::Scheduler &scheduler;
    coordination::entry::FleetScheduler &fleet;

    TargetConnectionPool pool;
    EntryMetrics metrics;
    std::shared_ptr<const state::entry::RoutingTable> table; /**< configuration in force; null before the first one */
    state::Time configurationInForce{}; /**< when this host began to use it */
    state::Time configurationConfirmed{}; /**< last time at which this was known to be the store's newest */
    std::uint64_t announcedVersion = 0; /**< newest version of a configuration that another host has announced */
    std::uint64_t storeEra = 0; /**< newest era of the metadata store that this host has heard of; 0 for none */
    bool targetsCurrent = false; /**< a read of the targets has succeeded or failed since they are needed */
    state::Time targetsConfirmed{}; /**< last time at which the known targets were up to date with the store */
    bool stopping = false;
    state::Time stoppingSince{}; /**< valid while stopping */
    state::Time graceEnds{}; /**< valid while stopping: when the process is killed */
    std::unordered_map<std::uint64_t, Exchange *>
        waitingExchanges; /**< exchanges that wait for a decision, by request id */
    std::uint64_t lastRequestId = 0;
    coordination::entry::StoreReach storeReach;

    /** Part of the process's memory for the bodies of responses, and for those of requests; copies need as much again.
     */
    static constexpr std::size_t BodyMemoryDivisor = 8;

    std::shared_ptr<ByteBudget> responseBytes = std::make_shared<ByteBudget>(settings.memoryBytes / BodyMemoryDivisor);
    std::shared_ptr<ByteBudget> requestBytes = std::make_shared<ByteBudget>(settings.memoryBytes / BodyMemoryDivisor);

    state::Time now() const
    {
        return clock.now();
    }
};

} // namespace sapphirecove::transport::entry
