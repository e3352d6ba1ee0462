#pragma once

#include "transport/eventsender.h"
#include "transport/httpclient.h"

#include <boost/asio/awaitable.hpp>

namespace sapphirecove::transport {

/** Reads the platform's list of hosts and targets at a fixed interval. */
class HostListPoller
{
public:
    HostListPoller(const boost::asio::any_io_executor &executor,
                   Endpoint hostList,
                   state::Duration interval,
                   EventSender &events);

    /** Polls until its coroutine is destroyed. */
    boost::asio::awaitable<void> run();

private:
    boost::asio::awaitable<void> pollOnce();

    HttpClient m_client;
    state::Duration m_interval;
    EventSender &m_events;
    bool m_reachable = true;
};

} // namespace sapphirecove::transport
