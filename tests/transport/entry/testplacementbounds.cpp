// Tests of a real host whose requests are bound to regions, or whose failure domains are evacuated.
#include "tests/transport/entry/storehost.h"
#include "tests/transport/threadedtarget.h"

#include <catch2/catch.hpp>

#include <future>

using namespace sapphirecove;
using namespace sapphirecove::tests;
using namespace sapphirecove::tests::entry;
using Topic = transport::entry::StoreTopic;
using std::chrono::milliseconds;

namespace {

/** Returns a configuration with the route "/r/", whose requests may run in @p regions, as may those of customer "t1".
 */
std::string configuration(int version, const std::string &regions, const std::string &customerRegions = {})
{
    return R"({"version":)" + std::to_string(version)
        + R"(,"routes":[{"name":"r","host":"a.example","pathPrefix":"/r/","kind":"idempotent","timeoutMs":20000,)"
          R"("targetLatencyMs":150,"priority":0,"service":"s","maxAttempts":1,"public":false,"allowedRegions":[)"
        + regions + R"(]}],"services":[{"name":"s"}],"tenants":[{"name":"t1","apiKeys":["k1"],"allowedRegions":[)"
        + customerRegions + "]}]}";
}

/** Targets "near" in "osu" and "far" in "adum" with one slot each; requests with "slow" in their path wait for release.
 */
class TwoTargets
{
public:
    explicit TwoTargets(RestorableStore &store)
        : m_near(script("near"))
        , m_far(script("far"))
    {
        store.write(Topic::Targets, "i-near", document(m_near.port(), "osu"));
        store.write(Topic::Targets, "i-far", document(m_far.port(), "adum"));
    }

    void release()
    {
        m_released = true;
    }

private:
    ThreadedTarget::Script script(const std::string &name)
    {
        return [this, name](const std::string &request, BlockingConnection &connection) {
            const bool isSlow = request.find("/slow") != std::string::npos;
            for (int i = 0; isSlow && i < 1000 && !m_released; ++i) {
                std::this_thread::sleep_for(milliseconds(10));
            }
            connection.write("HTTP/1.1 200 OK\r\nX-Server-Seal: s1\r\nConnection: close\r\nContent-Length: "
                             + std::to_string(name.size()) + "\r\n\r\n" + name);
        };
    }

    static std::string document(std::uint16_t port, const std::string &domain)
    {
        return R"({"service":"s","address":"127.0.0.1:)" + std::to_string(port) + R"(","zone":")" + domain
            + R"(","version":"v1","concurrency":1,"state":"ready","sequence":1,"born":1000})";
    }

    std::atomic<bool> m_released = false;
    ThreadedTarget m_near;
    ThreadedTarget m_far;
};

/** Sends a request that may wait for long. */
std::string patientCall(const StoreHost &host, const std::string &path, const std::string &id)
{
    BlockingConnection connection(host.callerPort());
    connection.write("GET " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id
                     + "\r\nX-Deadline-Ms: 20000\r\nX-Api-Key: k1\r\nConnection: close\r\n\r\n");
    return connection.readToEnd();
}

/** Returns whether @p count responses in a row end with @p text. */
bool staysAt(StoreHost &host, const std::string &text, int count)
{
    for (int i = 0; i < count; ++i) {
        if (!host.call("/r/").ends_with(text)) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds(20));
    }
    return true;
}

} // namespace

// Guards against HOME: the regions of the route or the customer do not reach the placement.
TEST_CASE("requests run in the allowed regions of the configuration in force", "[entry][host][regions]")
{
    RestorableStore store;
    TwoTargets targets(store);
    store.write(Topic::Operator, "config", configuration(2, R"("kumasi")"));
    StoreHost host(store, "host-1", true);
    REQUIRE(host.comesTo("/r/", "far"));
    CHECK(staysAt(host, "far", 5));
    store.write(Topic::Operator, "config", configuration(3, {}, R"("accra")"));
    REQUIRE(host.comesTo("/r/", "near"));
    CHECK(staysAt(host, "near", 5));
    store.write(Topic::Operator, "config", configuration(4, R"("kumasi")", R"("accra")"));
    CHECK(host.comesTo("/r/", "no_target"));
    const std::string refused = host.call("/r/");
    CHECK(refused.starts_with("HTTP/1.1 503"));
    CHECK(refused.find("Retry-After") != std::string::npos);
    // A region that cannot be read allows nothing; the rest of the configuration is in force.
    store.write(Topic::Operator, "config", configuration(5, "17"));
    CHECK(host.comesTo("/r/", "no_target"));
}

// Guards against a request that goes on to wait for the regions of an older configuration.
TEST_CASE("a configuration that changes the regions applies to waiting requests", "[entry][host][regions]")
{
    RestorableStore store;
    TwoTargets targets(store);
    store.write(Topic::Operator, "config", configuration(2, R"("kumasi")"));
    StoreHost host(store, "host-1", true);
    REQUIRE(host.comesTo("/r/", "far"));
    auto slow = std::async(std::launch::async, [&] {
        return patientCall(host, "/r/slow", "slow");
    });
    std::this_thread::sleep_for(milliseconds(200));
    auto waiting = std::async(std::launch::async, [&] {
        return patientCall(host, "/r/y", "waiting");
    });
    std::this_thread::sleep_for(milliseconds(200));
    store.write(Topic::Operator, "config", configuration(3, R"("accra")"));
    CHECK(waiting.get().ends_with("near"));
    targets.release();
    CHECK(slow.get().ends_with("far")); // What runs ends in its own time.
}

// Guards against EVAC: an order, its removal or an unreadable one has no effect.
TEST_CASE("nothing is sent to an evacuated failure domain until the order is removed", "[entry][host][evacuation]")
{
    RestorableStore store;
    TwoTargets targets(store);
    store.write(Topic::Operator, "config", configuration(2, {}));
    StoreHost host(store, "host-1", true);
    REQUIRE(host.comesTo("/r/", "near"));
    store.write(Topic::Operator, "evacuate/osu", "{}");
    store.write(Topic::Operator, "evacuate/", "{}");
    store.write(Topic::Operator, "evacuate/nowhere", "not an object");
    REQUIRE(host.comesTo("/r/", "far"));
    CHECK(staysAt(host, "far", 10));
    store.write(Topic::Operator, "evacuate/adum", "not an object");
    CHECK(host.comesTo("/r/", "no_target"));
    store.write(Topic::Operator, "evacuate/osu", std::nullopt);
    CHECK(host.comesTo("/r/", "near"));
    // The last one of a page holds.
    store.writeAll(Topic::Operator, { { "evacuate/osu", "{}" }, { "evacuate/osu", std::nullopt } });
    std::this_thread::sleep_for(milliseconds(300));
    CHECK(staysAt(host, "near", 5));
}

// Guards against EVAC: a copy of the store that lacks the order ends it.
TEST_CASE("an evacuation outlasts a restore of the store from before the order", "[entry][host][evacuation]")
{
    RestorableStore store;
    TwoTargets targets(store);
    store.write(Topic::Operator, "config", configuration(2, {}));
    StoreHost host(store, "host-1", true);
    REQUIRE(host.comesTo("/r/", "near"));
    store.write(Topic::Operator, "evacuate/osu", "{}");
    REQUIRE(host.comesTo("/r/", "far"));
    store.goAway();
    store.restore({ { Topic::Operator, 1 } });
    std::this_thread::sleep_for(milliseconds(1500));
    CHECK(staysAt(host, "far", 10));
    store.write(Topic::Operator, "evacuate/osu", "{}");
    store.write(Topic::Operator, "evacuate/osu", std::nullopt);
    CHECK(host.comesTo("/r/", "near"));
}
