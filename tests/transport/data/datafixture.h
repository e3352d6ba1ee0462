#pragma once

#include "protocol/keyhash.h"
#include "tests/transport/loopback.h"
#include "transport/data/dataservice.h"
#include "transport/iothread.h"

#include <boost/asio/post.hpp>

#include <sstream>

namespace sapphirecove::tests {

constexpr std::string_view CustomerKey = "0123456789abcdef";

/** Returns a configuration with one customer, two tiers, a model pool and a service pool. */
inline std::shared_ptr<state::Configuration> smallConfiguration()
{
    auto result = std::make_shared<state::Configuration>();
    result->tiers[0] = { 0, "urgent", std::chrono::seconds(30) };
    result->tiers[1] = { 1, "normal", std::chrono::seconds(60) };
    state::Customer customer;
    customer.id = "osu-events";
    customer.highestTier = 1;
    customer.defaultTier = 1;
    customer.keyHashes.push_back(protocol::hashKey(CustomerKey).value());
    result->customers[customer.id] = customer;
    state::Pool model;
    model.id = "layout-llm";
    model.model = "layout";
    result->pools[model.id] = model;
    state::Pool service;
    service.id = "orders-app";
    service.kind = state::PoolKind::Service;
    service.routes.push_back({ "POST", "/print", false, true, std::nullopt });
    result->pools[service.id] = service;
    return result;
}

/** Runs a DataService on a data thread; the test receives every event and posts the actions. */
class DataFixture
{
public:
    using Decide = std::function<void(DataFixture &, const coordination::Event &)>;

    explicit DataFixture(Decide decide, transport::DataLimits limits = {}, std::size_t ringSize = 256)
        : m_decide(std::move(decide))
        , m_ring(ringSize)
        , m_service(m_data.context(), listenOnFreePort(m_data.context()), m_clock, limits, "host.7", m_ring)
    {
        m_ring.setConsumer(m_decisions.context(), [this](coordination::Event &&event) {
            m_decide(*this, event);
            {
                const std::lock_guard lock(m_mutex);
                m_events.push_back(std::move(event));
            }
            m_changed.notify_all();
        });
        m_service.apply(coordination::ApplyConfiguration{ smallConfiguration(), 1 });
        m_service.start();
        m_decisions.start();
        m_data.start();
    }

    ~DataFixture()
    {
        m_data.stop();
        m_decisions.stop();
    }

    DataFixture(const DataFixture &) = delete;
    DataFixture &operator=(const DataFixture &) = delete;

    void applyAction(coordination::Action action)
    {
        boost::asio::post(m_data.context(), [this, action = std::move(action)] {
            m_service.apply(action);
        });
    }

    /** Dispatches a request to the target at @p port of the loopback address. */
    void dispatch(const state::RequestId &request, std::uint16_t port, state::GrantId grant = 1)
    {
        const auto expires = m_clock.now() + std::chrono::seconds(10);
        applyAction(coordination::Dispatch{ request, grant, "target", "127.0.0.1", port, "v1", expires });
    }

    void onDataThread(std::function<void(transport::DataService &)> function)
    {
        boost::asio::post(m_data.context(), [this, function = std::move(function)] {
            function(m_service);
        });
    }

    /** Waits for the first event of a type that no earlier call has returned, and returns a copy of it. */
    template <typename Wanted>
    Wanted await()
    {
        std::unique_lock lock(m_mutex);
        std::size_t index = 0;
        const bool found = m_changed.wait_for(lock, TestTimeout, [&] {
            for (index = 0; index < m_events.size(); ++index) {
                if (std::holds_alternative<Wanted>(m_events[index])) {
                    return true;
                }
            }
            return false;
        });
        if (!found) {
            throw std::runtime_error("no event of the expected type arrived in time");
        }
        const auto result = std::get<Wanted>(m_events[index]);
        m_events.erase(m_events.begin() + static_cast<std::ptrdiff_t>(index));
        return result;
    }

    /** Returns the number of events of a type that arrived and were not returned by await(). */
    template <typename Wanted>
    std::size_t count()
    {
        const std::lock_guard lock(m_mutex);
        return static_cast<std::size_t>(std::count_if(m_events.begin(), m_events.end(), [](const auto &event) {
            return std::holds_alternative<Wanted>(event);
        }));
    }

    std::uint16_t port() const
    {
        return m_service.port();
    }

private:
    Decide m_decide;
    transport::SystemClock m_clock;
    transport::IoThread m_decisions{ "decisions" };
    transport::IoThread m_data{ "data" };
    transport::Ring<coordination::Event> m_ring;
    transport::DataService m_service;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<coordination::Event> m_events;
};

/** Returns a function that dispatches every request to the target at @p port. */
inline DataFixture::Decide dispatchAll(std::uint16_t port)
{
    return [port](DataFixture &fixture, const coordination::Event &event) {
        if (const auto *arrived = std::get_if<coordination::RequestArrived>(&event)) {
            fixture.dispatch(arrived->request.id, port);
        }
    };
}

/** Returns a function that leaves every request waiting. */
inline DataFixture::Decide dispatchNone()
{
    return [](DataFixture &, const coordination::Event &) {};
}

/** Returns the text of an HTTP request with the customer's key. */
inline std::string requestText(std::string_view line, std::string_view fields, std::string_view body)
{
    std::string text(line);
    text += " HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer ";
    text += CustomerKey;
    text += "\r\n";
    text += fields;
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return text + std::string(body);
}

constexpr std::string_view StreamBody =
    R"({"model":"layout","stream":true,"messages":[{"role":"user","content":"x"}]})";
constexpr std::string_view NonStreamingBody = R"({"model":"layout","messages":[{"role":"user","content":"x"}]})";

/** Returns the text of a chat request. */
inline std::string chatText(std::string_view body = StreamBody, std::string_view fields = "")
{
    return requestText("POST /v1/chat/completions", fields, body);
}

/** Returns @p data as one chunk of a chunked body. */
inline std::string chunk(std::string_view data)
{
    std::ostringstream text;
    text << std::hex << data.size() << "\r\n" << data << "\r\n";
    return text.str();
}

/** Returns the body of a chunked response; sets @p complete to whether it ended with the last chunk. */
inline std::string unchunk(const std::string &response, bool &complete)
{
    std::string body;
    complete = false;
    std::size_t at = response.find("\r\n\r\n") + 4;
    while (at < response.size()) {
        const auto size = std::stoul(response.substr(at), nullptr, 16);
        at = response.find("\r\n", at) + 2;
        complete = size == 0;
        body += response.substr(at, size);
        at += size + 2;
    }
    return body;
}

} // namespace sapphirecove::tests
