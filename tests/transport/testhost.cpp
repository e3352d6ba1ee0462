#include "protocol/keyhash.h"
#include "tests/transport/loopback.h"
#include "transport/host.h"

#include <catch2/catch.hpp>

#include <future>

using namespace sapphirecove;
using namespace sapphirecove::tests;
using Catch::Matchers::Contains;
using Catch::Matchers::StartsWith;

namespace {

constexpr std::string_view CustomerKey = "0123456789abcdef";

/** Coordinator that sends all requests to one target; completes a drain once no dispatch is outstanding. */
class FixedTargetCoordinator final : public coordination::Coordinator
{
public:
    explicit FixedTargetCoordinator(std::uint16_t port)
        : m_port(port)
    {
    }

    std::span<const coordination::Action> handle(const coordination::Event &event, state::Time now) override
    {
        m_actions.clear();
        if (std::holds_alternative<coordination::Tick>(event)) {
            start();
        } else if (const auto *arrived = std::get_if<coordination::RequestArrived>(&event)) {
            m_actions.emplace_back(coordination::Dispatch{
                arrived->request.id, 1, "t", "127.0.0.1", m_port, "v1", now + std::chrono::seconds(10) });
            ++m_outstanding;
        } else if (std::holds_alternative<coordination::DispatchFinished>(event)) {
            --m_outstanding;
        } else if (std::holds_alternative<coordination::DrainRequested>(event)) {
            m_draining = true;
        } else if (std::holds_alternative<coordination::MessagesReceived>(event)) {
            ++m_messages;
        }
        if (m_draining && m_outstanding == 0) {
            m_draining = false;
            m_actions.emplace_back(coordination::DrainComplete{});
        }
        return m_actions;
    }

    coordination::StatusReport status(state::Time) const override
    {
        coordination::StatusReport report;
        report.host = "accra-osu-1";
        report.counters["messages"] = m_messages;
        return report;
    }

private:
    void start()
    {
        if (std::exchange(m_started, true)) {
            return;
        }
        auto configuration = std::make_shared<state::Configuration>();
        state::Customer customer;
        customer.id = "osu-events";
        customer.keyHashes.push_back(protocol::hashKey(CustomerKey).value());
        configuration->customers["osu-events"] = customer;
        state::Pool pool;
        pool.id = "orders-app";
        pool.kind = state::PoolKind::Service;
        configuration->pools["orders-app"] = pool;
        m_actions.emplace_back(coordination::ApplyConfiguration{ configuration, 1 });
        m_actions.emplace_back(coordination::SetReady{ true, "" });
    }

    std::uint16_t m_port;
    coordination::Actions m_actions;
    int m_outstanding = 0;
    std::uint64_t m_messages = 0;
    bool m_started = false;
    bool m_draining = false;
};

/** Starts a host on free ports; nothing listens at the addresses of its platform. */
std::unique_ptr<transport::Host> startHost(std::uint16_t targetPort)
{
    protocol::Settings settings;
    settings.host.id = "accra-osu-1";
    settings.listen = { { "127.0.0.1", 0 }, { "127.0.0.1", 0 }, { "127.0.0.1", 0 } };
    settings.platform.log = { "127.0.0.1", 1 };
    settings.platform.hostList = { "127.0.0.1", 1 };
    const transport::HostKeys keys{ "operators-key-0001", "fleet-key-00000001" };
    const auto factory =
        [&](const coordination::CoordinatorOptions &,
            const coordination::DocumentChecker &) -> state::Result<std::unique_ptr<coordination::Coordinator>> {
        return std::make_unique<FixedTargetCoordinator>(targetPort);
    };
    auto host = state::handleFailure(
        [&] {
            return transport::Host::create(settings, keys, factory);
        },
        [](const state::Failure &failure) -> std::unique_ptr<transport::Host> {
            throw std::runtime_error(describe(failure));
        });
    host->start();
    return host;
}

std::string request(
    std::uint16_t port, std::string_view line, std::string_view key, std::string_view body, std::string_view delimiter)
{
    BlockingConnection connection(port);
    connection.write(std::string(line) + " HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer " + std::string(key)
                     + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body));
    return connection.readUntil(delimiter);
}

/** Polls until the host is ready; the coordinator reports readiness at its first tick. */
std::string waitUntilReady(std::uint16_t port)
{
    std::string response;
    const auto end = std::chrono::steady_clock::now() + TestTimeout;
    while (response.find(" 200 ") == std::string::npos && std::chrono::steady_clock::now() < end) {
        response = request(port, "GET /readyz", "", "", "\r\n\r\n");
    }
    return response;
}

} // namespace

// Guards against a shutdown that interrupts an accepted request, or that never ends.
TEST_CASE("a draining host finishes its request, rejects new ones and reports completion", "[host]")
{
    std::promise<void> sendResponse;
    const auto allowed = sendResponse.get_future().share();
    ScriptedTarget target([allowed](int, const std::string &, BlockingConnection &connection) {
        allowed.wait();
        connection.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    });
    const auto host = startHost(target.port());
    CHECK_THAT(waitUntilReady(host->operatorsPort()), StartsWith("HTTP/1.1 200"));
    auto accepted = std::async(std::launch::async, [&] {
        return request(host->callersPort(), "GET /services/orders-app/x", CustomerKey, "", "ok");
    });
    REQUIRE(target.waitForRequests(1));
    std::promise<void> drained;
    host->drain([&] {
        drained.set_value();
    });
    std::string refused;
    while (refused.find("draining") == std::string::npos) {
        refused = request(host->callersPort(), "GET /nothing", CustomerKey, "", "}");
    }
    CHECK_THAT(refused, Contains("\"executed\":\"no\""));
    CHECK_THAT(request(host->operatorsPort(), "GET /readyz", "", "", "draining\n"), StartsWith("HTTP/1.1 503"));
    sendResponse.set_value();
    CHECK_THAT(accepted.get(), StartsWith("HTTP/1.1 200"));
    CHECK(drained.get_future().wait_for(TestTimeout) == std::future_status::ready);
}

// Guards against a listener for operators or peers that answers without its key or with that of another listener.
TEST_CASE("operators and peers need the key of their listener", "[host]")
{
    const auto host = startHost(1);
    CHECK_THAT(request(host->operatorsPort(), "GET /healthz", "", "", "ok\n"), StartsWith("HTTP/1.1 200"));
    CHECK_THAT(request(host->operatorsPort(), "GET /metrics", "fleet-key-00000001", "", "key\n"),
               StartsWith("HTTP/1.1 401"));
    CHECK_THAT(request(host->operatorsPort(), "GET /operators/v1/status", "operators-key-0001", "", "}"),
               StartsWith("HTTP/1.1 200") && Contains("accra-osu-1"));
    const std::string_view envelope = R"({"from":"h2","incarnation":5,"messages":[]})";
    CHECK_THAT(request(host->peersPort(), "POST /peers/v1/messages", "operators-key-0001", envelope, "{}"),
               StartsWith("HTTP/1.1 401"));
    CHECK_THAT(request(host->peersPort(), "POST /peers/v1/messages", "fleet-key-00000001", envelope, "{}"),
               StartsWith("HTTP/1.1 200"));
    CHECK_THAT(request(host->peersPort(), "POST /peers/v1/messages", "fleet-key-00000001", "{", "{}"),
               StartsWith("HTTP/1.1 400"));
    std::string metrics;
    const auto end = std::chrono::steady_clock::now() + TestTimeout;
    while (metrics.find("sapphirecove_messages_total 1") == std::string::npos
           && std::chrono::steady_clock::now() < end) {
        metrics = request(host->operatorsPort(), "GET /metrics", "operators-key-0001", "", "memory_bytes ");
    }
    CHECK_THAT(metrics, Contains("sapphirecove_messages_total 1") && Contains("sapphirecove_decision_seconds_count"));
}
