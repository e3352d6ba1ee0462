#include "standins/httpserver.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>

namespace sapphirecove::standins {

using boost::asio::ip::tcp;

HttpServer::HttpServer(boost::asio::io_context &context, std::uint16_t port, HttpConnection::Handler handler)
    : m_acceptor(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), port))
    , m_handler(std::move(handler))
    , m_port(m_acceptor.local_endpoint().port())
{
    accept();
}

void HttpServer::accept()
{
    m_acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            std::make_shared<HttpConnection>(std::move(socket), m_handler)->start();
        }
        accept();
    });
}

void printPort(std::uint16_t port)
{
    std::cout << "port=" << port << std::endl;
}

void runUntilStopped(boost::asio::io_context &context)
{
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](boost::system::error_code, int) {
        context.stop();
    });
    context.run();
}

} // namespace sapphirecove::standins
