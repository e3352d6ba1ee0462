#pragma once

#include "coordination/action.h"
#include "protocol/settings.h"
#include "transport/eventsender.h"
#include "transport/outside/hostlistpoller.h"
#include "transport/outside/logappender.h"
#include "transport/outside/logreader.h"
#include "transport/outside/targetwatcher.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <random>
#include <vector>

namespace sapphirecove::transport {

/**
 * Reads and appends to the shared log, reads the host list and the targets' load reports and cache events, and sends
 * orders to targets. Runs on the platform thread.
 */
class PlatformService
{
public:
    PlatformService(boost::asio::io_context &context,
                    const protocol::PlatformSettings &settings,
                    std::uint64_t seed,
                    Ring<coordination::Event> &events);

    /** Starts reading the log and the host list. */
    void start();

    /** Executes @p action; actions that are meant for other threads are ignored. */
    void apply(coordination::Action action);

private:
    void watch(const coordination::WatchTargets &wanted);
    boost::asio::awaitable<void> sendOrder(coordination::SendOrder order);

    boost::asio::io_context &m_context;
    state::Duration m_loadPoll;
    EventSender m_events;
    LogAppender m_appender;
    HostListPoller m_hostList;
    std::vector<std::unique_ptr<LogReader>> m_readers;
    std::map<state::TargetId, std::shared_ptr<TargetWatcher>> m_watchers;
    std::minstd_rand m_random;
};

} // namespace sapphirecove::transport
