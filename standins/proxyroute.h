#pragma once

#include "standins/options.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <vector>

namespace sapphirecove::standins {

/** Faults of one route; the control call `/standin/routes/{name}` changes them at run time. */
struct RouteFaults
{
    int delayMs = 0; /**< added in each direction */
    double bytesPerSecond = 0; /**< in each direction, of all connections together; 0 is unlimited */
    bool refuseNew = false; /**< the listener is closed, so new connections are refused */
    bool cutNew = false; /**< new connections are closed as soon as they are accepted */
    bool freeze = false; /**< nothing is forwarded; connections stay open */
    bool dropToServer = false; /**< bytes to the server are discarded */
    bool dropToClient = false; /**< bytes to the client are discarded */
    bool loseAnswers = false; /**< the connection is closed when the first bytes of a response arrive */
};

template <typename Visitor>
void visit(RouteFaults &faults, Visitor &&visitor)
{
    visitor("delay_ms", faults.delayMs);
    visitor("bytes_per_second", faults.bytesPerSecond);
    visitor("refuse_new", faults.refuseNew);
    visitor("cut_new", faults.cutNew);
    visitor("freeze", faults.freeze);
    visitor("drop_to_server", faults.dropToServer);
    visitor("drop_to_client", faults.dropToClient);
    visitor("lose_answers", faults.loseAnswers);
}

class ForwardedConnection;

/** Route of the proxy: a listener, and the server to which its connections are forwarded. */
class ProxyRoute
{
public:
    using Endpoint = boost::asio::ip::tcp::endpoint;

    ProxyRoute(boost::asio::io_context &context, std::uint16_t port, Endpoint server);

    std::uint16_t port() const
    {
        return m_port;
    }
    const RouteFaults &faults() const
    {
        return m_faults;
    }
    std::int64_t bytes() const
    {
        return m_bytes;
    }
    std::size_t connections() const;

    /** Sets the faults; opens or closes the listener as needed. */
    void setFaults(const RouteFaults &faults);
    /** Closes all connections. */
    void closeConnections();

    /** Reserves bandwidth for @p bytes in one direction; returns the time at which they may be delivered. */
    std::chrono::steady_clock::time_point reserveBandwidth(std::size_t bytes, bool toServer);

private:
    void listen();
    void accept();

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::uint16_t m_port = 0;
    Endpoint m_server;
    RouteFaults m_faults;
    std::vector<std::weak_ptr<ForwardedConnection>> m_connections;
    std::chrono::steady_clock::time_point m_nextFreeTimes[2]; // per direction: when all reserved bytes are delivered
    std::int64_t m_bytes = 0;
};

} // namespace sapphirecove::standins
