#pragma once

#include "coordination/action.h"
#include "transport/eventsender.h"
#include "transport/httpclient.h"
#include "transport/signal.h"

#include <boost/asio/awaitable.hpp>

#include <deque>

namespace sapphirecove::transport {

/**
 * Appends records to the shared log, in the order of the actions. A failed append is never retried, because the records
 * may have been stored and only the response lost.
 */
class LogAppender
{
public:
    /** Maximum number of queued appends; further ones fail at once. */
    static constexpr std::size_t Capacity = 256;

    LogAppender(const boost::asio::any_io_executor &executor, Endpoint log, EventSender &events);

    /** Queues an append; reports the log as unavailable if the queue is full. */
    void append(coordination::AppendRecords action);

    /** Appends until its coroutine is destroyed. */
    boost::asio::awaitable<void> run();

private:
    boost::asio::awaitable<void> appendNext();

    HttpClient m_client;
    EventSender &m_events;
    Signal m_signal;
    std::deque<coordination::AppendRecords> m_queue;
};

} // namespace sapphirecove::transport
