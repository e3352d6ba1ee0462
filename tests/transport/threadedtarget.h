#pragma once

#include "tests/transport/loopback.h"

#include <functional>
#include <list>
#include <string>

namespace sapphirecove::tests {

/** Target that runs a script for each connection with a request, all at once. It gets the header of the request. */
class ThreadedTarget
{
public:
    using Script = std::function<void(const std::string &request, BlockingConnection &connection)>;

    /** What is read of a request before the script runs. */
    enum class Input {
        WholeRequest,
        HeaderOnly, /**< with a small receive buffer, so that the caller's write of a long body is not completed */
    };

    explicit ThreadedTarget(Script script, Input input = Input::WholeRequest)
        : m_script(std::move(script))
        , m_input(input)
        , m_acceptor(listen(m_context, input))
        , m_port(m_acceptor.local_endpoint().port())
        , m_thread([this] {
            run();
        })
    {
    }

    ~ThreadedTarget()
    {
        m_stopping = true;
        BlockingConnection wake(m_port);
        m_thread.join();
        for (auto &thread : m_connections) {
            thread.join();
        }
    }

    ThreadedTarget(const ThreadedTarget &) = delete;
    ThreadedTarget &operator=(const ThreadedTarget &) = delete;

    std::uint16_t port() const
    {
        return m_port;
    }

    bool stopping() const
    {
        return m_stopping;
    }

private:
    static tcp::acceptor listen(boost::asio::io_context &context, Input input)
    {
        constexpr int smallBufferBytes = 4096;
        const tcp::endpoint endpoint(boost::asio::ip::address_v4::loopback(), 0);
        tcp::acceptor acceptor(context, endpoint.protocol());
        if (input == Input::HeaderOnly) {
            acceptor.set_option(boost::asio::socket_base::receive_buffer_size(smallBufferBytes));
        }
        acceptor.bind(endpoint);
        acceptor.listen();
        return acceptor;
    }

    std::string readRequest(BlockingConnection &connection) const
    {
        return m_input == Input::HeaderOnly ? connection.readUntil("\r\n\r\n") : connection.readRequestHead();
    }

    void run()
    {
        for (;;) {
            tcp::socket socket = m_acceptor.accept();
            if (m_stopping) {
                return;
            }
            m_connections.emplace_back([this, connection = std::make_shared<BlockingConnection>(std::move(socket))] {
                const std::string request = readRequest(*connection);
                if (!request.empty()) {
                    m_script(request, *connection);
                }
            });
        }
    }

    Script m_script;
    Input m_input;
    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::uint16_t m_port;
    std::atomic<bool> m_stopping = false;
    std::list<std::thread> m_connections; /**< used by the accepting thread, and after its end */
    std::thread m_thread;
};

} // namespace sapphirecove::tests
