#pragma once

#include "standins/proxyroute.h"

#include <array>
#include <string>

namespace sapphirecove::standins {

/** One forwarded connection. */
class ForwardedConnection : public std::enable_shared_from_this<ForwardedConnection>
{
public:
    ForwardedConnection(boost::asio::io_context &context, ProxyRoute &route, boost::asio::ip::tcp::socket client);

    void start(const boost::asio::ip::tcp::endpoint &server);
    void close();

private:
    /** One direction: reads a piece, waits until it is due, writes it. */
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
