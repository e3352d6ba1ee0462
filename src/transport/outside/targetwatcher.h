#pragma once

#include "coordination/action.h"
#include "transport/eventsender.h"
#include "transport/httpclient.h"

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace sapphirecove::transport {

/** Polls one target for load reports and cache events. These are only hints, so failed polls send no event. */
class TargetWatcher : public std::enable_shared_from_this<TargetWatcher>
{
public:
    TargetWatcher(const boost::asio::any_io_executor &executor,
                  coordination::WatchedTarget target,
                  state::Duration interval,
                  EventSender &events);

    /**
     * Starts polling after @p delay, which spreads the polls of many targets over time. The watcher keeps itself alive
     * until it has been stopped.
     */
    void start(state::Duration delay);

    /** Stops polling and aborts a running request. */
    void stop();

    const coordination::WatchedTarget &target() const
    {
        return m_target;
    }

private:
    boost::asio::awaitable<void> run(state::Duration delay);
    boost::asio::awaitable<void> readLoad();
    boost::asio::awaitable<void> readCacheEvents();

    boost::asio::any_io_executor m_executor;
    coordination::WatchedTarget m_target;
    state::Duration m_interval;
    EventSender &m_events;
    HttpClient m_client;
    state::Offset m_nextCacheEvent = 0;
    bool m_loadFailureReported = false;
    bool m_cacheFailureReported = false;
    bool m_stopped = false;
};

} // namespace sapphirecove::transport
