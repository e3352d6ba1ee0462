#include "tests/transport/entry/boundedhost.h"
#include "tests/transport/entry/concurrenttarget.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <csignal>
#include <future>

using namespace sapphirecove;
using namespace sapphirecove::tests;
using namespace sapphirecove::tests::entry;
using std::chrono::milliseconds;

namespace {

constexpr std::string_view Kinds[] = { "idempotent", "non_idempotent", "streaming" };

bool contains(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

/** Host that has begun to stop some time ago and goes on since one request is still in hand. */
class StoppingHost
{
public:
    StoppingHost(const BoundedRoute &route, milliseconds elapsed)
        : m_host(bounds(), { m_target.port() }, 4, route)
    {
        m_inHand = std::async(std::launch::async, [this] {
            return m_host.call("long", "in-hand", "X-Behaviour: silent 1500\r\n");
        });
        waitFor([this] {
            return m_target.received("in-hand");
        });
        m_host.host().beginStop();
        m_host.pass(elapsed);
    }

    std::string call()
    {
        return m_host.call("r", "late");
    }

    /** Returns whether the target has got the request of call(). */
    bool targetReceived()
    {
        return m_target.received("late");
    }

private:
    /** The clock runs too fast for the configuration to be confirmed all the time. */
    static state::entry::Bounds bounds()
    {
        state::entry::Bounds bounds;
        bounds.strictRevocation = false;
        return bounds;
    }

    ConcurrentTarget m_target;
    BoundedHost m_host;
    std::future<std::string> m_inHand;
};

} // namespace

// Guards against LOST: a request is taken late in the grace period, runs, and gets no answer of its target.
TEST_CASE("a stopping host takes no request that may outlast its grace period", "[entry][host][stop]")
{
    // The route's time is as long as the grace period.
    const int timeoutMs = static_cast<int>(state::toMilliseconds(state::entry::Bounds().shutdownGrace));
    for (const std::string_view kind : Kinds) {
        for (const milliseconds elapsed : { milliseconds(400), milliseconds(2000), milliseconds(5400) }) {
            INFO(kind << ", " << elapsed.count() << " ms after the stop");
            StoppingHost host({ std::string(kind), timeoutMs }, elapsed);
            const std::string response = host.call();
            CHECK(contains(response, " 503 "));
            CHECK(contains(response, "stopping"));
            CHECK(contains(response, "Retry-After"));
            CHECK_FALSE(host.targetReceived());
        }
    }
}

// Guards against refusals of what the host could well have served.
TEST_CASE("a stopping host serves requests that end in time", "[entry][host][stop]")
{
    for (const std::string_view kind : { "idempotent", "non_idempotent" }) {
        for (const milliseconds elapsed : { milliseconds(400), milliseconds(4400) }) {
            INFO(kind << ", " << elapsed.count() << " ms after the stop");
            StoppingHost host({ std::string(kind), 1200 }, elapsed);
            const std::string response = host.call();
            CAPTURE(response);
            CHECK(contains(response, " 200 "));
        }
    }
}

// Guards against requests that a stopping host has taken and that end with it, at a slow target or in the queue.
TEST_CASE("what a stopping host has taken is answered before it ends", "[entry][host][stop]")
{
    for (const std::string_view kind : Kinds) {
        for (const int elapsedMs : { 400, 1200 }) {
            INFO(kind << ", " << elapsedMs << " ms after the stop");
            std::promise<void> over;
            const auto end = over.get_future().share();
            ScriptedTarget target([end](int, const std::string &, BlockingConnection &connection) {
                end.wait_for(std::chrono::seconds(10));
                connection.close();
            });
            BoundedHost host({}, { target.port() }, 1, { std::string(kind), 5000 });
            host.host().beginStop();
            host.pass(milliseconds(elapsedMs));
            auto running = std::async(std::launch::async, [&] {
                return host.call();
            });
            REQUIRE(target.waitForRequests(1));
            auto waiting = std::async(std::launch::async, [&] {
                return host.call();
            });
            host.pass(std::chrono::seconds(8) - milliseconds(elapsedMs));
            const std::string responseOfRunning = running.get();
            const std::string responseOfWaiting = waiting.get();
            over.set_value();
            CAPTURE(responseOfRunning, responseOfWaiting);
            CHECK(responseOfRunning.starts_with("HTTP/1.1 504"));
            CHECK(responseOfWaiting.starts_with("HTTP/1.1 503"));
        }
    }
}

// Guards against a grace period that is shortened during a stop, so that the process is killed with requests in hand.
TEST_CASE("a shorter grace period holds for a host that stops already", "[entry][host][stop]")
{
    std::promise<void> over;
    const auto end = over.get_future().share();
    ScriptedTarget target([end](int, const std::string &, BlockingConnection &connection) {
        end.wait_for(std::chrono::seconds(10));
        connection.close();
    });
    BoundedHost host({}, { target.port() }, 1);
    std::atomic<int> reads = 0;
    std::atomic<int> graceS = 4;
    host.host().setSettingsReader([&]() -> state::Result<protocol::EntrySettings> {
        protocol::EntrySettings settings = host.settings();
        settings.bounds.shutdownGrace = std::chrono::seconds(graceS);
        ++reads;
        return settings;
    });
    auto running = std::async(std::launch::async, [&] {
        return host.call();
    });
    REQUIRE(target.waitForRequests(1));
    host.host().beginStop();
    for (const int seconds : { 4, 20 }) { // A longer one does not count, as the platform may go by the first.
        graceS = seconds;
        const int before = reads;
        std::raise(SIGHUP);
        for (int i = 0; i < 400 && reads == before; ++i) {
            std::this_thread::sleep_for(milliseconds(5));
        }
        CHECK(reads == before + 1);
    }
    host.host().beginStop(); // A second SIGTERM changes nothing.
    host.pass(milliseconds(3600));
    CHECK(running.wait_for(std::chrono::seconds(2)) == std::future_status::ready);
    over.set_value();
    CHECK(running.get().starts_with("HTTP/1.1 504"));
}
