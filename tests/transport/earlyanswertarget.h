#pragma once

#include "tests/transport/loopback.h"

#include <atomic>
#include <list>
#include <mutex>
#include <string>
#include <vector>

namespace sapphirecove::tests {

/** How a target ends a connection on which it has sent a response. */
enum class ConnectionEnd {
    Reset,
    CloseWithUnreadInput, /**< closes without reading the request, which resets the connection */
    EndOfData, /**< ends its own side and reads the rest of the request */
    EndOfDataThenReset, /**< ends its own side, and resets the connection later */
};

/**
 * Target that answers a request as soon as it has the header. It reads nothing of the body before it ends the
 * connection, so that the caller's write of a body that exceeds the buffers of both sockets is pending then.
 */
class EarlyAnswerTarget
{
public:
    EarlyAnswerTarget(std::string response, ConnectionEnd end)
        : m_response(std::move(response))
        , m_end(end)
        , m_acceptor(m_context)
    {
        const tcp::endpoint endpoint(boost::asio::ip::address_v4::loopback(), 0);
        m_acceptor.open(endpoint.protocol());
        m_acceptor.set_option(boost::asio::socket_base::receive_buffer_size(ReceiveBufferBytes));
        m_acceptor.bind(endpoint);
        m_acceptor.listen();
        m_port = m_acceptor.local_endpoint().port();
        m_thread = std::thread([this] {
            run();
        });
    }

    ~EarlyAnswerTarget()
    {
        m_stopping = true;
        BlockingConnection wake(m_port);
        m_thread.join();
        for (auto &thread : m_connections) {
            thread.join();
        }
    }

    EarlyAnswerTarget(const EarlyAnswerTarget &) = delete;
    EarlyAnswerTarget &operator=(const EarlyAnswerTarget &) = delete;

    std::uint16_t port() const
    {
        return m_port;
    }

    /** Returns how many requests were answered. */
    int answered() const
    {
        return m_answered;
    }

    /** Returns a response header with the fields @p fields that states no length, followed by @p body. */
    static std::string withoutLength(std::string_view fields, std::string_view body)
    {
        return "HTTP/1.1 200 OK\r\n" + std::string(fields) + "\r\n" + std::string(body);
    }

private:
    static constexpr int ReceiveBufferBytes = 4096;

    /** Time in which the caller's write comes to a stop, or in which it reads what was sent to it. */
    static constexpr std::chrono::milliseconds SettlingTime{ 100 };

    void run()
    {
        for (;;) {
            tcp::socket socket = m_acceptor.accept();
            if (m_stopping) {
                return;
            }
            m_connections.emplace_back([this, connection = std::make_shared<BlockingConnection>(std::move(socket))] {
                if (connection->readUntil("\r\n\r\n").ends_with("\r\n\r\n")) {
                    answer(*connection);
                }
            });
        }
    }

    void answer(BlockingConnection &connection)
    {
        std::this_thread::sleep_for(SettlingTime);
        connection.write(m_response);
        std::this_thread::sleep_for(SettlingTime);
        ++m_answered;
        switch (m_end) {
        case ConnectionEnd::Reset:
            connection.reset();
            return;
        case ConnectionEnd::CloseWithUnreadInput:
            connection.close();
            return;
        case ConnectionEnd::EndOfData:
            connection.closeForWriting();
            connection.readToEnd();
            return;
        case ConnectionEnd::EndOfDataThenReset:
            connection.closeForWriting();
            connection.reset();
            return;
        }
    }

    std::string m_response;
    ConnectionEnd m_end;
    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::uint16_t m_port = 0;
    std::atomic<bool> m_stopping = false;
    std::atomic<int> m_answered = 0;
    std::list<std::thread> m_connections; /**< used by the accepting thread, and after its end */
    std::thread m_thread;
};

} // namespace sapphirecove::tests
