#pragma once

#include "tests/transport/loopback.h"

#include <atomic>
#include <list>
#include <map>
#include <string>
#include <thread>

namespace sapphirecove::integration {

/** Metadata store of the platform for one host: it holds the newest records of the test and takes no new ones. */
class StoreStub
{
public:
    /** @p records are the documents of each topic, by key. */
    explicit StoreStub(std::map<std::string, std::map<std::string, std::string>> records);
    ~StoreStub();
    StoreStub(const StoreStub &) = delete;
    StoreStub &operator=(const StoreStub &) = delete;

    std::uint16_t port() const
    {
        return m_port;
    }

private:
    void run();
    void serve(tests::BlockingConnection &connection) const;
    std::string newestOf(const std::string &topic) const;

    std::map<std::string, std::map<std::string, std::string>> m_records;
    boost::asio::io_context m_context;
    tests::tcp::acceptor m_acceptor;
    std::uint16_t m_port;
    std::atomic<bool> m_stopping = false;
    std::list<std::thread> m_connections; /**< used by the accepting thread, and after its end */
    std::thread m_thread;
};

} // namespace sapphirecove::integration
