#pragma once

#include "tests/transport/threadedtarget.h"

#include <atomic>
#include <string>

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
        , m_target(
              [this](const std::string &, BlockingConnection &connection) {
                  answer(connection);
              },
              ThreadedTarget::Input::HeaderOnly)
    {
    }

    std::uint16_t port() const
    {
        return m_target.port();
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
    /** Time in which the caller's write comes to a stop, or in which it reads what was sent to it. */
    static constexpr std::chrono::milliseconds SettlingTime{ 100 };

    void answer(BlockingConnection &connection)
    {
        std::this_thread::sleep_for(SettlingTime);
        connection.write(m_response);
        std::this_thread::sleep_for(SettlingTime);
        ++m_answered;
        if (m_end == ConnectionEnd::EndOfData || m_end == ConnectionEnd::EndOfDataThenReset) {
            connection.closeForWriting();
        }
        if (m_end == ConnectionEnd::EndOfData) {
            connection.readToEnd();
        }
        if (m_end == ConnectionEnd::Reset || m_end == ConnectionEnd::EndOfDataThenReset) {
            connection.reset();
        }
        connection.close();
    }

    std::string m_response;
    ConnectionEnd m_end;
    std::atomic<int> m_answered = 0;
    ThreadedTarget m_target;
};

} // namespace sapphirecove::tests
