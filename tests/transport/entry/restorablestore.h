#pragma once

#include "transport/entry/metadatastore.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace sapphirecove::tests::entry {

/**
 * Log store in memory that can be away, and come back from an older copy: records that were written since are gone,
 * their offsets are given out again, and the era rises by one. Any number of hosts may use it.
 */
class RestorableStore
{
public:
    using Topic = transport::entry::StoreTopic;
    using Record = transport::entry::StoreRecord;

    void write(Topic topic, const std::string &key, std::optional<std::string> value)
    {
        const std::lock_guard lock(m_mutex);
        m_topics[topic].push_back({ key, std::move(value) });
    }

    /** Writes @p records so that one read returns them all. */
    void writeAll(Topic topic, const std::vector<Record> &records)
    {
        const std::lock_guard lock(m_mutex);
        m_topics[topic].insert(m_topics[topic].end(), records.begin(), records.end());
    }

    /** Makes calls fail until restore(). */
    void goAway()
    {
        const std::lock_guard lock(m_mutex);
        m_away = true;
    }

    /** Comes back without a loss. */
    void returnWhole()
    {
        const std::lock_guard lock(m_mutex);
        m_away = false;
    }

    /** Comes back with the first @p kept records of each topic that is named, and the others whole. */
    void restore(const std::map<Topic, std::size_t> &kept)
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &[topic, count] : kept) {
            m_topics[topic].resize(std::min(count, m_topics[topic].size()));
        }
        ++m_era;
        m_away = false;
    }

    /** Makes the next read of @p topic throw. */
    void throwAtNextRead(Topic topic)
    {
        const std::lock_guard lock(m_mutex);
        m_throwing.insert(topic);
    }

    std::vector<Record> records(Topic topic)
    {
        const std::lock_guard lock(m_mutex);
        return m_topics[topic];
    }

    /** Newest value of @p key; nothing if there is none. */
    std::optional<std::string> newest(Topic topic, const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        std::optional<std::string> value;
        for (const Record &record : m_topics[topic]) {
            value = record.key == key ? record.value : value;
        }
        return value;
    }

    /** Returns the client of one host. */
    std::unique_ptr<transport::entry::MetadataStore> client(const boost::asio::any_io_executor &executor);

private:
    class Client;

    std::mutex m_mutex;
    std::map<Topic, std::vector<Record>> m_topics;
    std::uint64_t m_era = 1;
    bool m_away = false;
    std::set<Topic> m_throwing;
};

class RestorableStore::Client final : public transport::entry::MetadataStore
{
public:
    using Page = transport::entry::StorePage;
    using Appended = transport::entry::StoreAppendResult;

    Client(RestorableStore &store, boost::asio::any_io_executor executor)
        : m_store(store)
        , m_executor(std::move(executor))
    {
    }

    boost::asio::awaitable<Page> readNewest(Topic topic, state::Duration) override
    {
        const std::lock_guard lock(m_store.m_mutex);
        Page page = failedIfAway();
        throwIfDue(topic);
        if (!page.failure) {
            std::map<std::string, Record> newest;
            for (const Record &record : m_store.m_topics[topic]) {
                newest[record.key] = record;
            }
            for (const auto &[key, record] : newest) {
                if (record.value) {
                    page.records.push_back(record);
                }
            }
            page.next = m_store.m_topics[topic].size();
        }
        co_return page;
    }

    boost::asio::awaitable<Page>
    readSince(Topic topic, std::uint64_t offset, state::Duration wait, state::Duration) override
    {
        constexpr auto step = std::chrono::milliseconds(5);
        for (state::Duration waited{};; waited += step) {
            Page page = read(topic, offset);
            if (page.failure || page.historyLost || !page.records.empty() || waited >= wait) {
                co_return page;
            }
            boost::asio::steady_timer timer(m_executor, step);
            co_await timer.async_wait(boost::asio::use_awaitable);
        }
    }

    boost::asio::awaitable<Appended> append(Topic topic,
                                            std::string key,
                                            std::string value,
                                            std::optional<std::uint64_t> expectedEnd,
                                            state::Duration) override
    {
        const std::lock_guard lock(m_store.m_mutex);
        Appended result;
        result.failure = failedIfAway().failure;
        result.era = m_store.m_era;
        auto &records = m_store.m_topics[topic];
        if (result.failure) {
            result.outcome = Appended::Outcome::Rejected;
        } else if (expectedEnd && *expectedEnd != records.size()) {
            result.outcome = Appended::Outcome::Conflict;
        } else {
            result.outcome = Appended::Outcome::Stored;
            records.push_back({ std::move(key), std::move(value) });
        }
        co_return result;
    }

private:
    Page failedIfAway() const
    {
        Page page;
        if (m_store.m_away) {
            page.failure = state::Failure{ "store.read", "memory", "away" };
            return page;
        }
        page.era = m_store.m_era;
        return page;
    }

    void throwIfDue(Topic topic)
    {
        if (m_store.m_throwing.erase(topic) > 0) {
            throw std::runtime_error("test");
        }
    }

    Page read(Topic topic, std::uint64_t offset)
    {
        const std::lock_guard lock(m_store.m_mutex);
        Page page = failedIfAway();
        throwIfDue(topic);
        const auto &records = m_store.m_topics[topic];
        if (!page.failure) {
            page.historyLost = offset > records.size();
            page.next = records.size();
            if (!page.historyLost) {
                page.records.assign(records.begin() + static_cast<std::ptrdiff_t>(offset), records.end());
            }
        }
        return page;
    }

    RestorableStore &m_store;
    boost::asio::any_io_executor m_executor;
};

inline std::unique_ptr<transport::entry::MetadataStore>
RestorableStore::client(const boost::asio::any_io_executor &executor)
{
    return std::make_unique<Client>(*this, executor);
}

} // namespace sapphirecove::tests::entry
