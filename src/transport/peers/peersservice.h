#pragma once

#include "coordination/action.h"
#include "transport/eventsender.h"
#include "transport/httpserver.h"
#include "transport/peers/peerlink.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>

namespace sapphirecove::transport {

/** Messaging between hosts: a listener and one outgoing link for each peer. Used by the peers thread only. */
class PeersService
{
public:
    PeersService(boost::asio::io_context &context,
                 std::unique_ptr<Listener> listener,
                 PeerIdentity identity,
                 Ring<coordination::Event> &events);

    /** Starts to accept messages. */
    void start();

    /** Queues a message for its peer. */
    void send(coordination::SendMessage action);

    /** Returns the port of the listener. */
    std::uint16_t port() const
    {
        return m_server.port();
    }

private:
    boost::asio::awaitable<HttpResponse> receive(const HttpRequest &request);
    boost::asio::awaitable<void> removeIdleLinks();

    boost::asio::io_context &m_context;
    PeerIdentity m_identity;
    EventSender m_events;
    HttpServer m_server;
    std::map<state::HostId, std::shared_ptr<PeerLink>> m_links;
};

} // namespace sapphirecove::transport
