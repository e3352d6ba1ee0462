#pragma once

#include "coordination/action.h"
#include "transport/data/callerconnection.h"
#include "transport/data/datacontext.h"
#include "transport/data/requesttable.h"
#include "transport/listener.h"
#include "transport/outbox.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace sapphirecove::transport {

/**
 * Listener for callers and connections to targets: turns requests into events and carries out the decisions about
 * them. All functions except the constructor and port() must be called on the data thread.
 */
class DataService
{
public:
    DataService(boost::asio::io_context &context,
                std::unique_ptr<Listener> listener,
                const TimeSource &clock,
                DataLimits limits,
                std::string idPrefix,
                Ring<coordination::Event> &events);
    ~DataService();

    DataService(const DataService &) = delete;
    DataService &operator=(const DataService &) = delete;

    /** Starts to accept connections. */
    void start();

    /** Carries out a decision; ignores actions that are meant for other threads. */
    void apply(coordination::Action action);

    /** Refuses new requests from now on; accepted requests are still served. */
    void drain();

    /** Calls @p onIdle as soon as no accepted request is being served. */
    void whenIdle(std::function<void()> onIdle);

    /** Returns the port of the listener. */
    std::uint16_t port() const
    {
        return m_listener->port();
    }

private:
    void accept(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<void> rejectConnection(boost::asio::ip::tcp::socket socket);

    std::unique_ptr<Listener> m_listener;
    Outbox<coordination::Event> m_events;
    DataContext m_context;
    std::shared_ptr<RequestTable> m_requests; // shared with coroutine frames, see CountGuard
    DataState m_state;
    std::shared_ptr<std::size_t> m_connections = std::make_shared<std::size_t>(0);
    std::shared_ptr<std::size_t> m_rejections = std::make_shared<std::size_t>(0);
};

} // namespace sapphirecove::transport
