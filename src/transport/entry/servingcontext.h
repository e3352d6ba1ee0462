#pragma once

#include "coordination/entry/fleetscheduler.h"
#include "coordination/entry/scheduler.h"
#include "protocol/entrysettings.h"
#include "state/entry/routing.h"
#include "transport/entry/entrymetrics.h"
#include "transport/entry/targetconnectionpool.h"
#include "transport/entry/wirecodec.h"
#include "transport/systemclock.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <unordered_map>

namespace sapphirecove::transport::entry {

class Exchange;

/** What the connections and requests of one host share. Belongs to the serving thread. */
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
    state::Time configurationConfirmed{}; /**< at this time the store still held that configuration as its newest */
    std::uint64_t announcedVersion = 0; /**< newest configuration that another host has announced */
    bool targetsCurrent = false; /**< the targets were read, or could not be read, since they are needed */
    state::Time targetsConfirmed{}; /**< at this time the store still held the targets as this host knows them */
    bool stopping = false;
    state::Time stoppingSince{}; /**< while stopping */
    std::unordered_map<std::uint64_t, Exchange *> waitingExchanges; /**< exchanges that wait for a decision */
    std::uint64_t lastRequestId = 0;

    state::Time now() const
    {
        return clock.now();
    }
};

} // namespace sapphirecove::transport::entry
