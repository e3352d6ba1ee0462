#pragma once

#include "tests/transport/loopback.h"

#include <optional>

namespace sapphirecove::tests::entry {

/**
 * Target that ends with all its connections once it begins to run a request that contains all the given texts, and
 * streams one event to any other request.
 */
class CrashingTarget
{
public:
    /** If @p beginsAnswer, the target sends the header of its answer before it ends. */
    explicit CrashingTarget(std::vector<std::string> deadlyTexts, bool beginsAnswer = true)
        : m_deadlyTexts(std::move(deadlyTexts))
        , m_beginsAnswer(beginsAnswer)
        , m_acceptor(std::in_place, m_context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
        , m_port(m_acceptor->local_endpoint().port())
        , m_thread([this] {
            run();
        })
    {
    }

    ~CrashingTarget()
    {
        m_stopping = true;
        if (!m_crashed) {
            BlockingConnection wake(m_port);
        }
        m_thread.join();
    }

    CrashingTarget(const CrashingTarget &) = delete;
    CrashingTarget &operator=(const CrashingTarget &) = delete;

    std::uint16_t port() const
    {
        return m_port;
    }

    bool crashed() const
    {
        return m_crashed;
    }

private:
    void run()
    {
        constexpr std::string_view head = "HTTP/1.1 200 OK\r\nX-Server-Seal: s1\r\nContent-Type: text/event-stream\r\n"
                                          "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n";
        for (;;) {
            BlockingConnection connection(m_acceptor->accept());
            if (m_stopping) {
                return;
            }
            const std::string request = connection.readRequest();
            const bool isDeadly = std::all_of(m_deadlyTexts.begin(), m_deadlyTexts.end(), [&](const auto &text) {
                return request.find(text) != std::string::npos;
            });
            if (isDeadly) {
                m_crashed = true;
                m_acceptor.reset();
                if (m_beginsAnswer) {
                    connection.write(head);
                }
                return;
            }
            connection.write(std::string(head) + "16\r\nid: 1\ndata: answered\n\n\r\n0\r\n\r\n");
        }
    }

    std::vector<std::string> m_deadlyTexts;
    bool m_beginsAnswer;
    boost::asio::io_context m_context;
    std::optional<tcp::acceptor> m_acceptor;
    std::uint16_t m_port;
    std::atomic<bool> m_stopping = false;
    std::atomic<bool> m_crashed = false;
    std::thread m_thread;
};

} // namespace sapphirecove::tests::entry
