#pragma once

#include "protocol/logcodec.h"
#include "state/logrecord.h"
#include "transport/backoff.h"
#include "transport/eventsender.h"
#include "transport/httpclient.h"

#include <boost/asio/awaitable.hpp>

namespace sapphirecove::transport {

/** Reads one stream of the log by long polling, from its first record on and never backwards. */
class LogReader
{
public:
    LogReader(const boost::asio::any_io_executor &executor,
              state::Stream stream,
              Endpoint log,
              EventSender &events,
              std::uint64_t seed);

    /** Reads until its coroutine is destroyed. */
    boost::asio::awaitable<void> run();

private:
    boost::asio::awaitable<bool> readOnce();
    void report(protocol::LogReadResponse page);

    state::Stream m_stream;
    HttpClient m_client;
    EventSender &m_events;
    Backoff m_backoff;
    state::Offset m_next = 0;
    bool m_reachable = true;
    bool m_reachedEnd = false; // at least once
};

} // namespace sapphirecove::transport
