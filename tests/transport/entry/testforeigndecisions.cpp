// Tests of a real host whose requests another host decides.
#include "coordination/entry/shorthash.h"
#include "protocol/decidercodec.h"
#include "protocol/peerreportcodec.h"
#include "tests/transport/entry/storehost.h"
#include "tests/transport/threadedtarget.h"

#include <catch2/catch.hpp>

using namespace sapphirecove;
using namespace sapphirecove::tests;
using namespace sapphirecove::tests::entry;
using namespace sapphirecove::coordination::entry;
using boost::asio::ip::udp;
using Topic = transport::entry::StoreTopic;
using std::chrono::milliseconds;

namespace {

constexpr const char *Loopback = "127.0.0.1";

/** Target that answers with its name and counts its requests. */
class NamedTarget
{
public:
    explicit NamedTarget(const std::string &name)
        : m_target([this, name](const std::string &, BlockingConnection &connection) {
            ++m_requests;
            connection.write("HTTP/1.1 200 OK\r\nX-Server-Seal: s1\r\nConnection: close\r\nContent-Length: "
                             + std::to_string(name.size()) + "\r\n\r\n" + name);
        })
    {
    }

    std::uint16_t port() const
    {
        return m_target.port();
    }

    int requests() const
    {
        return m_requests;
    }

private:
    std::atomic<int> m_requests = 0;
    ThreadedTarget m_target;
};

/** Host with more capacity than all others, which places all requests at one target. */
class OnlyDecider
{
public:
    /** @p target runs what is placed; @p peer is the port of the host that asks. */
    OnlyDecider(state::entry::TargetEntry target, std::uint16_t peer, std::uint64_t incarnation = 9)
        : m_target(std::move(target))
        , m_incarnation(incarnation)
        , m_peer(boost::asio::ip::address_v4::loopback(), peer)
        , m_socket(m_context, udp::endpoint(boost::asio::ip::address_v4::loopback(), freePort()))
    {
        const timeval interval{ 0, 50'000 };
        ::setsockopt(m_socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &interval, sizeof(interval));
        m_thread = std::thread([this] {
            run();
        });
    }

    ~OnlyDecider()
    {
        m_stopping = true;
        m_thread.join();
    }

    OnlyDecider(const OnlyDecider &) = delete;
    OnlyDecider &operator=(const OnlyDecider &) = delete;

    int placements() const
    {
        return m_placements;
    }

private:
    void run()
    {
        std::array<char, 65536> buffer{};
        while (!m_stopping) {
            report();
            boost::system::error_code error;
            const std::size_t size = m_socket.receive(boost::asio::buffer(buffer), 0, error);
            if (!error) {
                state::handleFailure(
                    [&]() -> state::Result<void> {
                        return answer({ buffer.data(), size });
                    },
                    [](const state::Failure &) {});
            }
        }
    }

    void report()
    {
        PeerReport report;
        report.host = "host-9";
        report.address = Loopback;
        report.failureDomain = "osu";
        report.port = m_socket.local_endpoint().port();
        report.incarnation = m_incarnation;
        report.sequence = ++m_sequence;
        report.capacity = 1e6;
        send(protocol::encodePeerReport(report, m_deployment));
    }

    state::Result<void> answer(std::string_view datagram)
    {
        if (!protocol::isDeciderMessage(datagram)) {
            BOOST_LEAF_AUTO(report, protocol::decodePeerReport(datagram, m_deployment));
            ReportReply reply;
            reply.host = "host-9";
            reply.incarnation = m_incarnation;
            reply.reporterIncarnation = report.incarnation;
            reply.reportSentAt = report.reportSentAt;
            reply.canDecide = true;
            reply.qualified = true;
            reply.liveHosts = 2;
            send(protocol::encodeDeciderMessage(reply, m_deployment, {}));
            return {};
        }
        BOOST_LEAF_AUTO(message, protocol::decodeDeciderMessage(datagram, m_deployment, {}));
        if (const auto *request = std::get_if<DecisionRequest>(&message)) {
            DecisionReply reply;
            reply.decider = "host-9";
            reply.deciderIncarnation = m_incarnation;
            reply.requesterIncarnation = request->requester.incarnation;
            reply.requestSent = request->sent;
            reply.state = DecisionReply::State::Decided;
            reply.decision.request = request->request.id;
            reply.decision.target = m_target;
            reply.decision.targetHash = 7;
            ++m_placements;
            send(protocol::encodeDeciderMessage(reply, m_deployment, {}));
        }
        return {};
    }

    void send(const std::string &datagram)
    {
        boost::system::error_code ignored;
        m_socket.send_to(boost::asio::buffer(datagram), m_peer, 0, ignored);
    }

    /** Hosts of tests have a store with this address. */
    std::uint32_t m_deployment = shortHash(protocol::toString(protocol::Endpoint{ Loopback, 1 }));
    state::entry::TargetEntry m_target;
    std::uint64_t m_incarnation;
    udp::endpoint m_peer;
    boost::asio::io_context m_context;
    udp::socket m_socket;
    std::uint32_t m_sequence = 0;
    std::atomic<int> m_placements = 0;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

state::entry::TargetEntry targetOf(const std::string &service, std::uint16_t port)
{
    state::entry::TargetEntry entry;
    entry.id = "i-" + service;
    entry.service = service;
    entry.address = Loopback;
    entry.port = port;
    entry.failureDomain = "osu";
    entry.softwareVersion = "v1";
    entry.slots = 4;
    return entry;
}

/** Writes a configuration with a route "/r/" to the service "s", and @p target as the only target. */
void fill(RestorableStore &store, const NamedTarget &target)
{
    store.write(
        Topic::Operator,
        "config",
        R"({"version":1,"routes":[{"name":"r","host":"a.example","pathPrefix":"/r/","kind":"idempotent",)"
        R"("timeoutMs":20000,"targetLatencyMs":150,"priority":0,"service":"s","maxAttempts":1,"public":false}],)"
        R"("services":[{"name":"s"},{"name":"other"}],"tenants":[{"name":"t1","apiKeys":["k1"]}]})");
    store.write(Topic::Targets,
                "i-s",
                R"({"service":"s","address":"127.0.0.1:)" + std::to_string(target.port())
                    + R"(","zone":"osu","version":"v1","concurrency":4,"state":"ready"})");
}

} // namespace

// Guards against ROUTE: a decision about another request, for whatever reason, sends this one to another service.
TEST_CASE("a host sends no request to a target that another host has chosen in another service",
          "[entry][host][restart]")
{
    const NamedTarget own("own");
    const NamedTarget foreign("foreign");
    RestorableStore store;
    fill(store, own);
    const std::uint16_t port = freePort();
    StoreHost host(store, "host-1", false, port);
    REQUIRE(host.comesTo("/r/", " 200 "));
    SECTION("the target runs the service")
    {
        const OnlyDecider decider(targetOf("s", foreign.port()), port);
        CHECK(host.comesTo("/r/", "foreign"));
    }
    SECTION("the target runs another service")
    {
        const OnlyDecider decider(targetOf("other", foreign.port()), port);
        CHECK(host.comesTo("/r/", " 503 "));
        for (int i = 0; i < 5; ++i) {
            CHECK(host.call("/r/").find("foreign") == std::string::npos);
        }
        CHECK(decider.placements() > 5);
        CHECK(foreign.requests() == 0);
    }
}

// Guards against a host that nobody can ask: its process came back at another address, and others kept the old one.
TEST_CASE("a host asks a decider that was restarted at another address", "[entry][host][restart]")
{
    const NamedTarget own("own");
    const NamedTarget first("first");
    const NamedTarget second("second");
    RestorableStore store;
    fill(store, own);
    const std::uint16_t port = freePort();
    StoreHost host(store, "host-1", false, port);
    REQUIRE(host.comesTo("/r/", " 200 "));
    {
        const OnlyDecider decider(targetOf("s", first.port()), port, 9);
        REQUIRE(host.comesTo("/r/", "first"));
    }
    const OnlyDecider decider(targetOf("s", second.port()), port, 10);
    CHECK(host.comesTo("/r/", "second"));
}
