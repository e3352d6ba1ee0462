#pragma once

#include "tests/transport/loopback.h"

#include <list>
#include <set>
#include <string>

namespace sapphirecove::tests::entry {

/**
 * Target that serves any number of connections at once and behaves as a field of each request says:
 * "answer", "refuse" (it does not run the request), "reset" (in the middle of the answer) or "silent MS" (it pauses
 * in the middle of the answer). Streams have four events.
 */
class ConcurrentTarget
{
public:
    ConcurrentTarget()
        : m_acceptor(m_context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
        , m_port(m_acceptor.local_endpoint().port())
        , m_thread([this] {
            run();
        })
    {
    }

    ~ConcurrentTarget()
    {
        m_stopping = true;
        BlockingConnection wake(m_port);
        m_thread.join();
        for (auto &thread : m_connections) {
            thread.join();
        }
    }

    ConcurrentTarget(const ConcurrentTarget &) = delete;
    ConcurrentTarget &operator=(const ConcurrentTarget &) = delete;

    std::uint16_t port() const
    {
        return m_port;
    }

    /** Returns whether the request with @p id has arrived. */
    bool received(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        return m_received.contains(id);
    }

    /** Returns whether this target broke off the answer to the request with @p id. */
    bool brokeOff(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        return m_brokenOff.contains(id);
    }

private:
    static std::string fieldOf(const std::string &request, std::string_view name)
    {
        const std::size_t at = request.find(std::string(name) + ": ");
        if (at == std::string::npos) {
            return {};
        }
        const std::size_t begin = at + name.size() + 2;
        return request.substr(begin, request.find('\r', begin) - begin);
    }

    void run()
    {
        for (;;) {
            tcp::socket socket = m_acceptor.accept();
            if (m_stopping) {
                return;
            }
            m_connections.emplace_back([this, connection = std::make_shared<BlockingConnection>(std::move(socket))] {
                while (serve(*connection)) { }
            });
        }
    }

    /** Serves one request; returns whether the connection can carry another one. */
    bool serve(BlockingConnection &connection)
    {
        const std::string request = connection.readRequest();
        if (request.empty()) {
            return false;
        }
        const std::string id = fieldOf(request, "X-Attempt-Id");
        const std::string behaviour = fieldOf(request, "X-Behaviour");
        {
            const std::lock_guard lock(m_mutex);
            m_received.insert(id);
        }
        const std::string common = "X-Attempt-Id: " + id + "\r\n";
        if (behaviour == "refuse") {
            connection.write("HTTP/1.1 503 Full\r\n" + common + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        const bool streams = request.find(" /stream/") != std::string::npos;
        const std::string head = "HTTP/1.1 200 OK\r\n" + common + "X-Server-Seal: s1\r\n";
        const std::string lastEvent = fieldOf(request, "Last-Event-Id");
        const int first = lastEvent.empty() ? 1 : std::stoi(lastEvent) + 1;
        connection.write(streams ? head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                                 + eventsChunk(first, 2)
                                 : head + "Content-Length: 4\r\n\r\nok");
        if (behaviour == "reset") {
            const std::lock_guard lock(m_mutex);
            m_brokenOff.insert(id);
            connection.reset();
            return false;
        }
        if (behaviour.starts_with("silent ")) {
            std::this_thread::sleep_for(std::chrono::milliseconds(std::stoi(behaviour.substr(7))));
        }
        connection.write(streams ? eventsChunk(std::max(first, 3), 4) + "0\r\n\r\n" : "ok");
        return true;
    }

    static std::string eventsChunk(int first, int last)
    {
        std::string events;
        for (int id = first; id <= last; ++id) {
            events += "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
        }
        if (events.empty()) {
            return {};
        }
        char size[24];
        std::snprintf(size, sizeof size, "%zx\r\n", events.size());
        return size + events + "\r\n";
    }

    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::uint16_t m_port;
    std::atomic<bool> m_stopping = false;
    std::mutex m_mutex;
    std::set<std::string> m_received;
    std::set<std::string> m_brokenOff;
    std::list<std::thread> m_connections; /**< used by the accepting thread, and after its end */
    std::thread m_thread;
};

} // namespace sapphirecove::tests::entry
