#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace sapphirecove::load {

/** Entry hosts and their idle connections; requests are distributed round-robin, as by a load balancer. */
class ConnectionPool
{
public:
    using Stream = std::unique_ptr<boost::beast::tcp_stream>;
    using Clock = std::chrono::steady_clock;

    struct Host
    {
        std::string name;
        boost::asio::ip::tcp::endpoint endpoint;
        Clock::time_point downUntil;
        std::vector<std::pair<Clock::time_point, Stream>> idle; /**< with the start of their idle time */
    };

    ConnectionPool(boost::asio::io_context &context, std::vector<Host> hosts);

    /** Returns the next host that isn't marked as down, or simply the next host if all are down. */
    Host &chooseHost();
    /** Returns an idle connection, or one that isn't connected yet. */
    Stream acquire(Host &host);
    void release(Host &host, Stream stream);
    /** Excludes @p host from selection for one second and closes its idle connections. */
    void markDown(Host &host);

    std::size_t size() const
    {
        return m_hosts.size();
    }

private:
    boost::asio::io_context &m_context;
    std::vector<Host> m_hosts;
    std::size_t m_next = 0;
};

} // namespace sapphirecove::load
