#include "coordination/entry/storeera.h"
#include "tests/transport/entry/storehost.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace sapphirecove;
using namespace sapphirecove::tests;
using namespace sapphirecove::tests::entry;
using Topic = transport::entry::StoreTopic;
using std::chrono::milliseconds;

namespace {

/** Returns a configuration with the public routes "/common/" and @p routes. */
std::string configuration(int version, const std::vector<std::string> &routes, const std::string &keys = R"("k1","k2")")
{
    std::string text = R"({"version":)" + std::to_string(version) + R"(,"routes":[)";
    const auto route = [](const std::string &path) {
        return R"({"name":"r)" + path + R"(","host":"a.example","pathPrefix":")" + path
            + R"(","kind":"idempotent","timeoutMs":1500,"targetLatencyMs":150,"priority":0,"service":"s",)"
            + R"("maxAttempts":1,"public":false})";
    };
    text += route("/common/");
    for (const auto &path : routes) {
        text += ',' + route(path);
    }
    return text + R"(],"services":[{"name":"s"}],"tenants":[{"name":"t1","apiKeys":[)" + keys
        + R"(],"ratePerS":1000,"burst":1000}]})";
}

std::string targetDocument(std::uint16_t port, const std::string &state)
{
    return R"({"service":"s","address":"127.0.0.1:)" + std::to_string(port)
        + R"(","zone":"osu","version":"v1","concurrency":4,"state":")" + state + R"(","sequence":1,"born":1000})";
}

/** Target that answers every request with its own name. */
std::unique_ptr<ScriptedTarget> namedTarget(const std::string &name)
{
    return std::make_unique<ScriptedTarget>([name](int, const std::string &, BlockingConnection &connection) {
        connection.write("HTTP/1.1 200 OK\r\nX-Server-Seal: s1\r\nConnection: close\r\nContent-Length: "
                         + std::to_string(name.size()) + "\r\n\r\n" + name);
    });
}

} // namespace

// Guards against CONFIG: offsets are given out again, and a host that reads on from its own one skips what is before
// it.
TEST_CASE("a configuration that was written before the old offset of a restored store is in force",
          "[entry][host][restore]")
{
    const auto target = namedTarget("t");
    RestorableStore store;
    store.write(Topic::Operator, "config", configuration(2, {}));
    store.write(Topic::Targets, "i-1", targetDocument(target->port(), "ready"));
    StoreHost host(store, "host-1", true);
    store.write(Topic::Operator, "config", configuration(5, { "/old/" }));
    store.write(Topic::Operator, "config", configuration(6, { "/old/", "/older/" }));
    REQUIRE(host.comesTo("/older/", " 200 "));
    store.goAway();
    std::this_thread::sleep_for(milliseconds(200));
    // Version 7 takes the offset of version 5, and the two records after it the next ones.
    store.restore({ { Topic::Operator, 1 } });
    store.write(Topic::Operator, "config", configuration(7, { "/old/", "/new/" }));
    store.write(Topic::Operator, "unknown", "1");
    store.write(Topic::Operator, "unknown", "2");
    CHECK(host.comesTo("/new/", " 200 "));
}

// The operator may write what was lost in another order.
TEST_CASE("of configurations that are written again in one go the newest is in force", "[entry][host][restore]")
{
    const auto target = namedTarget("t");
    RestorableStore store;
    store.write(Topic::Operator, "config", configuration(2, {}));
    store.write(Topic::Targets, "i-1", targetDocument(target->port(), "ready"));
    StoreHost host(store, "host-1", true);
    REQUIRE(host.comesTo("/common/", " 200 "));
    store.goAway();
    std::this_thread::sleep_for(milliseconds(200));
    store.restore({ { Topic::Operator, 1 } });
    std::this_thread::sleep_for(milliseconds(1500)); // Longer than any delay between two calls of the host.
    store.goAway();
    store.write(Topic::Operator, "config", configuration(9, { "/nine/" }));
    store.write(Topic::Operator, "config", configuration(5, { "/five/" }));
    store.returnWhole();
    CHECK(host.comesTo("/nine/", " 200 "));
}

// Guards against DRAIN: the same with the targets' records.
TEST_CASE("a target that drains before the old offset of a restored store gets nothing more", "[entry][host][restore]")
{
    const auto leaving = namedTarget("leaving");
    const auto staying = namedTarget("staying");
    RestorableStore store;
    store.write(Topic::Operator, "config", configuration(2, {}));
    store.write(Topic::Targets, "i-1", targetDocument(leaving->port(), "ready"));
    store.write(Topic::Targets, "i-2", targetDocument(staying->port(), "ready"));
    StoreHost host(store, "host-1", true);
    REQUIRE(host.comesTo("/common/", " 200 "));
    store.goAway();
    std::this_thread::sleep_for(milliseconds(200));
    store.restore({ { Topic::Targets, 0 } });
    store.write(Topic::Targets, "i-1", targetDocument(leaving->port(), "draining"));
    store.write(Topic::Targets, "i-2", targetDocument(staying->port(), "ready"));
    REQUIRE(host.comesTo("/common/", "staying"));
    std::this_thread::sleep_for(milliseconds(1500));
    for (int i = 0; i < 8; ++i) {
        CHECK(host.call("/common/").find("leaving") == std::string::npos);
    }
}

// A response that states no era, or one before the last restore, must not undo what is known.
TEST_CASE("the era of the store only rises", "[entry][restore]")
{
    using coordination::entry::StoreEra;
    StoreEra era;
    CHECK(era.observe(std::nullopt) == StoreEra::Change::None);
    CHECK(era.observe(3) == StoreEra::Change::None);
    CHECK(era.observe(3) == StoreEra::Change::None);
    CHECK(era.observe(std::nullopt) == StoreEra::Change::None);
    CHECK(era.observe(5) == StoreEra::Change::Restored);
    CHECK(era.observe(4) == StoreEra::Change::Outdated);
    CHECK(era.observe(5) == StoreEra::Change::None);
    CHECK(era.current() == 5);
}

TEST_CASE("a store that is restored twice is read from the beginning twice", "[entry][host][restore]")
{
    const auto target = namedTarget("t");
    RestorableStore store;
    store.write(Topic::Operator, "config", configuration(2, {}));
    store.write(Topic::Targets, "i-1", targetDocument(target->port(), "ready"));
    StoreHost host(store, "host-1", true);
    REQUIRE(host.comesTo("/common/", " 200 "));
    for (int version = 3; version < 7; version += 2) {
        store.goAway();
        store.restore({ { Topic::Operator, 0 } });
        store.goAway();
        std::this_thread::sleep_for(milliseconds(100));
        store.restore({ { Topic::Operator, 0 } });
        const std::string path = "/added-" + std::to_string(version) + '/';
        store.write(Topic::Operator, "config", configuration(version, { path }));
        store.write(Topic::Operator, "unknown", "1");
        CHECK(host.comesTo(path, " 200 "));
    }
}

// Guards against a store that never again has what the hosts wrote once.
TEST_CASE("a host announces itself again in a restored store", "[entry][host][restore]")
{
    RestorableStore store;
    store.write(Topic::Operator, "config", configuration(2, {}));
    StoreHost host(store, "host-1", true);
    const auto isListed = [&store] {
        return store.newest(Topic::Hosts, "host-1").has_value();
    };
    REQUIRE(waitFor(isListed));
    REQUIRE(waitFor([&host] {
        return host.call("/other/").find(" 404 ") != std::string::npos;
    }));
    store.goAway();
    std::this_thread::sleep_for(milliseconds(100));
    store.restore({ { Topic::Hosts, 0 } });
    CHECK(waitFor(isListed));
}

// Guards against CONFIG: the copy is valid, but not the newest that the operator has had acknowledged.
TEST_CASE("a host that starts on a restored store does not serve what other hosts know to be outdated",
          "[entry][host][restore]")
{
    const auto target = namedTarget("t");
    RestorableStore store;
    store.write(Topic::Operator, "config", configuration(2, { "/old/" }));
    store.write(Topic::Targets, "i-1", targetDocument(target->port(), "ready"));
    StoreHost first(store, "host-1", true);
    REQUIRE(first.comesTo("/old/", " 200 ", "k2"));
    store.write(Topic::Operator, "config", configuration(5, { "/new/" }, R"("k1")"));
    REQUIRE(first.comesTo("/new/", " 200 "));
    store.goAway();
    std::this_thread::sleep_for(milliseconds(100));
    store.restore({ { Topic::Operator, 1 } });
    StoreHost second(store, "host-2", false);
    for (int i = 0; i < 100; ++i) {
        CHECK(second.call("/common/", "k2").find(" 200 ") == std::string::npos); // Its key was taken away.
        CHECK(second.call("/old/").find(" 200 ") == std::string::npos);
        std::this_thread::sleep_for(milliseconds(10));
    }
    CHECK(second.comesTo("/new/", " 200 "));
    CHECK(first.call("/new/").find(" 200 ") != std::string::npos);
}
