#pragma once

#include "state/failure.h"
#include "transport/portwait.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace sapphirecove::transport {

/** Accepts TCP connections at one address and passes each one to a callback. */
class Listener
{
public:
    using OnConnection = std::function<void(boost::asio::ip::tcp::socket)>;

    /**
     * Binds to @p address; port 0 selects a free port. Waits up to @p portWait while another socket uses the port.
     * Fails if the address cannot be used.
     */
    static state::Result<std::unique_ptr<Listener>> create(boost::asio::io_context &context,
                                                           const std::string &address,
                                                           std::uint16_t port,
                                                           state::Duration portWait = PortWait);

    /** Starts accepting connections; call it on the context's thread or before that thread runs. */
    void start(OnConnection onConnection);

    /** Port that the listener is bound to. */
    std::uint16_t port() const;

private:
    explicit Listener(boost::asio::ip::tcp::acceptor acceptor);
    boost::asio::awaitable<void> accept();

    boost::asio::ip::tcp::acceptor m_acceptor;
    OnConnection m_onConnection;
};

} // namespace sapphirecove::transport
