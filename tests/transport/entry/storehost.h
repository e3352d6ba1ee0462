#pragma once

#include "platform/codec.h"
#include "tests/transport/entry/restorablestore.h"
#include "tests/transport/entry/shiftedclock.h"
#include "tests/transport/loopback.h"
#include "transport/entry/entryhost.h"

#include <atomic>
#include <memory>
#include <string>
#include <thread>

namespace sapphirecove::tests::entry {

/** Entry host on a store that tests share between hosts. */
class StoreHost
{
public:
    StoreHost(RestorableStore &store, const std::string &name, bool firstStart, std::uint16_t peerPort = freePort())
    {
        m_settings.hostId = name;
        m_settings.address = "127.0.0.1";
        m_settings.failureDomain = "osu";
        m_settings.region = "accra";
        m_settings.regionOfDomain = { { "osu", "accra" }, { "adum", "kumasi" } };
        m_settings.callers = { "127.0.0.1", freePort() };
        m_settings.readiness = { "127.0.0.1", freePort() };
        m_settings.peerPort = peerPort;
        m_settings.store = { "127.0.0.1", 1 };
        m_settings.firstStart = firstStart;
        m_host = state::handleFailure(
            [&] {
                return transport::entry::EntryHost::create(
                    m_settings, m_codec, m_clock, [&store](const auto &executor, const auto &) {
                        return store.client(executor);
                    });
            },
            [](const state::Failure &failure) -> std::unique_ptr<transport::entry::EntryHost> {
                throw std::runtime_error(describe(failure));
            });
        m_thread = std::thread([this] {
            m_host->run();
        });
    }

    ~StoreHost()
    {
        m_host->stop();
        waitUntilStopped();
    }

    StoreHost(const StoreHost &) = delete;
    StoreHost &operator=(const StoreHost &) = delete;

    std::string call(const std::string &path, const std::string &key = "k1")
    {
        BlockingConnection connection(m_settings.callers.port);
        connection.write("GET " + path + "x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: a" + std::to_string(++m_lastId)
                         + "\r\nX-Deadline-Ms: 1000\r\nX-Api-Key: " + key + "\r\nConnection: close\r\n\r\n");
        return connection.readToEnd();
    }

    std::uint16_t callerPort() const
    {
        return m_settings.callers.port;
    }

    /** Lets SIGHUP read the same settings again. */
    void acceptReloads()
    {
        m_host->setSettingsReader([this]() -> state::Result<protocol::EntrySettings> {
            return m_settings;
        });
    }

    /** Begins what SIGTERM begins. */
    void beginStop()
    {
        m_host->beginStop();
    }

    void waitUntilStopped()
    {
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    ShiftedClock &clock()
    {
        return m_clock;
    }

    /** Calls until the response contains @p text, for at most some seconds; returns whether one did. */
    bool comesTo(const std::string &path, const std::string &text, const std::string &key = "k1")
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(4);
        while (std::chrono::steady_clock::now() < end) {
            if (call(path, key).find(text) != std::string::npos) {
                return true;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        return false;
    }

private:
    protocol::EntrySettings m_settings;
    platform::Codec m_codec;
    ShiftedClock m_clock;
    std::unique_ptr<transport::entry::EntryHost> m_host;
    std::thread m_thread;
    std::atomic<int> m_lastId = 0;
};

/** Waits until @p condition holds, for at most some seconds; returns whether it does. */
template <typename Condition>
bool waitFor(Condition condition)
{
    for (int i = 0; i < 200 && !condition(); ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return condition();
}

} // namespace sapphirecove::tests::entry
