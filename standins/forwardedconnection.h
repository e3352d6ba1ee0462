#pragma once

#include "standins/proxyroute.h"

#include <array>
#include <string>

namespace sapphirecove::standins {

/** Client connection that is forwarded to the server of a route. */
class ForwardedConnection : public std::enable_shared_from_this<ForwardedConnection>
{
public:
    ForwardedConnection(boost::asio::io_context &context, ProxyRoute &route, boost::asio::ip::tcp::socket client);

    void start(const boost::asio::ip::tcp::endpoint &server);
    void close();

private:
    /** One direction: reads some bytes, delays them, writes them, and starts over. */
    struct Direction
    {
        boost::asio::ip::tcp::socket *from = nullptr;
        boost::asio::ip::tcp::socket *to = nullptr;
        bool toServer = false;
        boost::asio::steady_timer timer;
        std::array<char, 16384> buffer{};
        std::size_t size = 0;
    };

    void read(Direction &direction);
    /** Delivers the bytes when the timer expires, or when the route is no longer frozen if that is later. */
    void deliverWhenDue(Direction &direction);
    void deliver(Direction &direction);
    bool isDropped(const Direction &direction) const;

    ProxyRoute &m_route;
    boost::asio::ip::tcp::socket m_client;
    boost::asio::ip::tcp::socket m_server;
    Direction m_upstream;
    Direction m_downstream;
};

} // namespace sapphirecove::standins
