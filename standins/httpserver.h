#pragma once

#include "standins/httpconnection.h"

#include <boost/asio/io_context.hpp>

namespace sapphirecove::standins {

/** Listener on a loopback port. */
class HttpServer
{
public:
    /** Listens on @p port, or on a free port if it is 0; throws boost::system::system_error if the port is taken. */
    HttpServer(boost::asio::io_context &context, std::uint16_t port, HttpConnection::Handler handler);

    std::uint16_t port() const
    {
        return m_port;
    }

private:
    void accept();

    boost::asio::ip::tcp::acceptor m_acceptor;
    HttpConnection::Handler m_handler;
    std::uint16_t m_port = 0;
};

/** Prints one "port=N" line for a ready listener. */
void printPort(std::uint16_t port);

/** Runs @p context until the process receives SIGTERM or SIGINT. */
void runUntilStopped(boost::asio::io_context &context);

} // namespace sapphirecove::standins
