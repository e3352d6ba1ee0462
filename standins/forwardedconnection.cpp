#include "standins/forwardedconnection.h"

#include <boost/asio/write.hpp>

namespace sapphirecove::standins {

using boost::asio::ip::tcp;

namespace {

/** Interval at which a frozen connection checks whether it may continue. */
constexpr auto FreezeCheckInterval = std::chrono::milliseconds(10);

} // namespace

ForwardedConnection::ForwardedConnection(boost::asio::io_context &context, ProxyRoute &route, tcp::socket client)
    : m_route(route)
    , m_client(std::move(client))
    , m_server(context)
    , m_upstream{ &m_client, &m_server, true, boost::asio::steady_timer(context) }
    , m_downstream{ &m_server, &m_client, false, boost::asio::steady_timer(context) }
{
}

void ForwardedConnection::start(const tcp::endpoint &server)
{
    m_server.async_connect(server, [self = shared_from_this()](boost::system::error_code error) {
        if (error) {
            self->close();
            return;
        }
        boost::system::error_code ignored;
        self->m_client.set_option(tcp::no_delay(true), ignored);
        self->m_server.set_option(tcp::no_delay(true), ignored);
        self->read(self->m_upstream);
        self->read(self->m_downstream);
    });
}

void ForwardedConnection::close()
{
    boost::system::error_code ignored;
    m_client.close(ignored);
    m_server.close(ignored);
    m_upstream.timer.cancel();
    m_downstream.timer.cancel();
}

void ForwardedConnection::read(Direction &direction)
{
    direction.from->async_read_some(
        boost::asio::buffer(direction.buffer),
        [self = shared_from_this(), &direction](boost::system::error_code error, std::size_t size) {
            if (error) {
                // A client that has finished sending can still receive; the connection stays open until the server
                // closes.
                boost::system::error_code ignored;
                direction.to->shutdown(tcp::socket::shutdown_send, ignored);
                if (error != boost::asio::error::eof || !direction.toServer) {
                    self->close();
                }
                return;
            }
            direction.size = size;
            const auto due = self->m_route.reserveBandwidth(size, direction.toServer);
            direction.timer.expires_at(due + std::chrono::milliseconds(self->m_route.faults().delayMs));
            self->deliverWhenDue(direction);
        });
}

void ForwardedConnection::deliverWhenDue(Direction &direction)
{
    direction.timer.async_wait([self = shared_from_this(), &direction](boost::system::error_code error) {
        if (error) {
            return;
        }
        if (self->m_route.faults().freeze) {
            direction.timer.expires_after(FreezeCheckInterval);
            self->deliverWhenDue(direction);
            return;
        }
        self->deliver(direction);
    });
}

void ForwardedConnection::deliver(Direction &direction)
{
    if (!direction.toServer && m_route.faults().loseAnswers) {
        close();
        return;
    }
    if (isDropped(direction)) {
        read(direction);
        return;
    }
    boost::asio::async_write(*direction.to,
                             boost::asio::buffer(direction.buffer.data(), direction.size),
                             [self = shared_from_this(), &direction](boost::system::error_code error, std::size_t) {
                                 if (error) {
                                     self->close();
                                     return;
                                 }
                                 self->read(direction);
                             });
}

bool ForwardedConnection::isDropped(const Direction &direction) const
{
    return direction.toServer ? m_route.faults().dropToServer : m_route.faults().dropToClient;
}

} // namespace sapphirecove::standins
