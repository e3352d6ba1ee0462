#pragma once

#include "coordination/message.h"
#include "transport/httpclient.h"
#include "transport/peers/messagequeue.h"
#include "transport/signal.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>

namespace sapphirecove::transport {

/** Identity and credentials with which a host sends to its peers. */
struct PeerIdentity
{
    state::HostId host;
    state::Incarnation incarnation = 0;
    std::string fleetKey;
};

/**
 * Outgoing connection to one peer. Messages that are queued while a request is in flight are sent together in the next
 * one. The messages of a failed request are lost; the next request reconnects.
 */
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
    PeerLink(const boost::asio::any_io_executor &executor, Endpoint endpoint, const PeerIdentity &identity);

    /** Starts to send queued messages; the link stays alive until close(). */
    void start();

    /** Queues @p message. */
    void send(coordination::Message message);

    /** Closes the connection and discards queued messages. */
    void close();

    const Endpoint &endpoint() const
    {
        return m_client.endpoint();
    }

    /** Returns whether nothing was queued since the last call of this function. */
    bool wasIdle();

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> sendBatch();

    const PeerIdentity &m_identity;
    HttpClient m_client;
    MessageQueue m_queue;
    Signal m_signal;
    bool m_closed = false;
    bool m_usedSinceCheck = true;
    bool m_reachable = true;
};

} // namespace sapphirecove::transport
