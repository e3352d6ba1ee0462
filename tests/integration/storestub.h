#pragma once

#include "tests/transport/loopback.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace sapphirecove::integration {

/** Metadata store of the platform: topics of keyed records with one partition, which it keeps from the first one on. */
class StoreStub
{
public:
    /** @p records are the documents of each topic, by key. */
    explicit StoreStub(const std::map<std::string, std::map<std::string, std::string>> &records);
    ~StoreStub();
    StoreStub(const StoreStub &) = delete;
    StoreStub &operator=(const StoreStub &) = delete;

    std::uint16_t port() const
    {
        return m_port;
    }

    /** Appends a record, as the operator or a target does; an empty @p value removes the key. */
    void put(const std::string &topic, const std::string &key, const std::string &value);

private:
    struct Record
    {
        std::string key;
        std::string value; /**< empty if the key is removed */
    };

    void run();
    void serve(tests::BlockingConnection &connection);
    std::string respond(const std::string &request);
    std::string newestOf(const std::string &topic);
    std::string readSince(const std::string &topic, std::size_t from, std::chrono::milliseconds wait);
    std::string append(const std::string &topic, std::string_view body);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::vector<Record>> m_topics;
    boost::asio::io_context m_context;
    tests::tcp::acceptor m_acceptor;
    std::uint16_t m_port;
    std::atomic<bool> m_stopping = false;
    std::list<std::thread> m_connections; /**< used by the accepting thread, and after its end */
    std::thread m_thread;
};

} // namespace sapphirecove::integration
