#include "standins/proxyroute.h"

#include "standins/forwardedconnection.h"

#include <algorithm>

namespace sapphirecove::standins {

using boost::asio::ip::tcp;

ProxyRoute::ProxyRoute(boost::asio::io_context &context, std::uint16_t port, Endpoint server)
    : m_context(context)
    , m_acceptor(context)
    , m_port(port)
    , m_server(std::move(server))
{
    listen();
}

void ProxyRoute::listen()
{
    m_acceptor = tcp::acceptor(m_context, { boost::asio::ip::address_v4::loopback(), m_port });
    m_port = m_acceptor.local_endpoint().port();
    accept();
}

void ProxyRoute::accept()
{
    m_acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted) {
            return;
        }
        if (!error && !m_faults.cutNew) {
            std::erase_if(m_connections, [](const auto &connection) {
                return connection.expired();
            });
            auto connection = std::make_shared<ForwardedConnection>(m_context, *this, std::move(socket));
            m_connections.push_back(connection);
            connection->start(m_server);
        }
        accept();
    });
}

std::size_t ProxyRoute::connections() const
{
    return static_cast<std::size_t>(
        std::count_if(m_connections.begin(), m_connections.end(), [](const auto &connection) {
            return !connection.expired();
        }));
}

void ProxyRoute::setFaults(const RouteFaults &faults)
{
    const bool wasRefusing = m_faults.refuseNew;
    m_faults = faults;
    if (faults.refuseNew && !wasRefusing) {
        m_acceptor.close();
    }
    if (!faults.refuseNew && wasRefusing) {
        listen();
    }
}

void ProxyRoute::closeConnections()
{
    for (const auto &connection : m_connections) {
        if (const auto open = connection.lock()) {
            open->close();
        }
    }
    m_connections.clear();
}

std::chrono::steady_clock::time_point ProxyRoute::reserveBandwidth(std::size_t bytes, bool toServer)
{
    const auto now = std::chrono::steady_clock::now();
    m_bytes += static_cast<std::int64_t>(bytes);
    if (m_faults.bytesPerSecond <= 0) {
        return now;
    }
    auto &nextFreeTime = m_nextFreeTimes[toServer ? 0 : 1];
    const std::chrono::duration<double> time(static_cast<double>(bytes) / m_faults.bytesPerSecond);
    nextFreeTime = std::max(nextFreeTime, now) + std::chrono::duration_cast<std::chrono::steady_clock::duration>(time);
    return nextFreeTime;
}

} // namespace sapphirecove::standins
