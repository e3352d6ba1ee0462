#pragma once

#include "standins/httpconnection.h"

#include <boost/asio/io_context.hpp>

namespace sapphirecove::standins {

/** HTTP server on a loopback port. */
class HttpServer
{
public:
    /** Listens on @p port, or on a free port if it is 0; throws boost::system::system_error if the port is in use. */
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

/** Prints a line "port=N" to standard output, which tells the caller that a listener is ready. */
void printPort(std::uint16_t port);

/** Runs @p context until the process receives SIGTERM or SIGINT. */
void runUntilStopped(boost::asio::io_context &context);

} // namespace sapphirecove::standins
