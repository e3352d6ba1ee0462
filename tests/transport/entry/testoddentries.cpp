#include "protocol/operatorstatecodec.h"
#include "tests/transport/entry/storehost.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>
#include <vector>

using namespace sapphirecove;
using namespace sapphirecove::tests;
using namespace sapphirecove::tests::entry;
using Topic = transport::entry::StoreTopic;

namespace {

constexpr std::string_view Path = "/lookup/";

std::string configurationDocument(int version, std::string_view path = Path)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[{"name":"r","host":"a.example","pathPrefix":")"
        + std::string(path) + R"(","kind":"idempotent","timeoutMs":1500,"targetLatencyMs":150,"priority":0,)"
        + R"("service":"s","maxAttempts":1,"public":false}],"services":[{"name":"s"}],)"
        + R"("tenants":[{"name":"t1","apiKeys":["k1"],"ratePerS":1000,"burst":1000}]})";
}

std::string targetDocument(std::string_view address, std::string_view more = "")
{
    return R"({"service":"s","address":")" + std::string(address)
        + R"(","zone":"osu","version":"v1","concurrency":4,"state":"ready","sequence":1)" + std::string(more) + "}";
}

std::string addressOf(const ScriptedTarget &target)
{
    return "127.0.0.1:" + std::to_string(target.port());
}

/** Target that answers every request with its own name. */
std::unique_ptr<ScriptedTarget> namedTarget(const std::string &name)
{
    return std::make_unique<ScriptedTarget>([name](int, const std::string &, BlockingConnection &connection) {
        connection.write("HTTP/1.1 200 OK\r\nX-Server-Seal: s1\r\nConnection: close\r\nContent-Length: "
                         + std::to_string(name.size()) + "\r\n\r\n" + name);
    });
}

std::string nested(std::size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

/** Entries of another writer that name no target to use. */
std::vector<std::string> oddTargets()
{
    std::vector<std::string> documents{
        nested(10000),
        targetDocument("127.0.0.1:80", R"(,"more":)" + nested(10000)),
        targetDocument("127.0.0.1:0"),
        targetDocument("127.0.0.1:65536"),
        targetDocument("127.0.0.1:-1"),
        targetDocument("127.0.0.1:1e400"),
        targetDocument("127.0.0.1"),
        "\xff\xfe",
        std::string(1000000, '{'),
    };
    for (const char *number :
         { "18446744073709551615", "18446744073709551616", "9223372036854775808", "1e400", "1.5" }) {
        documents.push_back(targetDocument("127.0.0.1:80", R"(,"born":)" + std::string(number)));
    }
    return documents;
}

} // namespace

// Guards against an entry of another writer that keeps a host from following the targets: it would send requests to
// targets that have left and never learn of new ones.
TEST_CASE("a host goes on following targets after odd entries", "[entry][host][odd]")
{
    const auto first = namedTarget("first");
    const auto second = namedTarget("second");
    RestorableStore store;
    store.write(Topic::Operator, "config", configurationDocument(2));
    store.write(Topic::Targets, "m", targetDocument(addressOf(*first)));
    const bool listedAtStart = GENERATE(true, false);
    const auto writeOdd = [&] {
        int number = 0;
        for (const std::string &document : oddTargets()) {
            // Some keys sort before that of the sound entry, some after it.
            const std::string key = (number % 2 == 0 ? "a-" : "z-") + std::to_string(number);
            store.write(Topic::Targets, key, document);
            ++number;
        }
    };
    if (listedAtStart) {
        writeOdd();
    }
    StoreHost host(store, "host-1", true);
    REQUIRE(host.comesTo(std::string(Path), "first"));
    if (!listedAtStart) {
        writeOdd();
    }
    store.write(Topic::Targets, "m", std::nullopt);
    store.write(Topic::Targets, "n", targetDocument(addressOf(*second)));
    CHECK(host.comesTo(std::string(Path), "second"));
}

// Guards against a task that ends by an exception without a trace, whatever threw it.
TEST_CASE("a host goes on following the store after an exception", "[entry][host][odd]")
{
    const auto first = namedTarget("first");
    const auto second = namedTarget("second");
    RestorableStore store;
    store.write(Topic::Operator, "config", configurationDocument(2));
    store.write(Topic::Targets, "m", targetDocument(addressOf(*first)));
    StoreHost host(store, "host-1", true);
    REQUIRE(host.comesTo(std::string(Path), "first"));
    store.throwAtNextRead(Topic::Targets);
    store.throwAtNextRead(Topic::Operator);
    store.write(Topic::Targets, "m", std::nullopt);
    store.write(Topic::Targets, "n", targetDocument(addressOf(*second)));
    CHECK(host.comesTo(std::string(Path), "second"));
    store.write(Topic::Operator, "config", configurationDocument(3, "/new/"));
    CHECK(host.comesTo("/new/", "second"));
}

// Guards against an id that adds a header field to the requests for its target, and slots that attract all requests.
TEST_CASE("targets whose entries are out of range get no requests", "[entry][host][odd]")
{
    const auto sound = namedTarget("sound");
    const auto odd = namedTarget("odd");
    RestorableStore store;
    store.write(Topic::Operator, "config", configurationDocument(2));
    store.write(Topic::Targets, "a\r\nX-Hold: 1", targetDocument(addressOf(*odd)));
    store.write(Topic::Targets, std::string(1000000, 'i'), targetDocument(addressOf(*odd)));
    store.write(Topic::Targets, "b", targetDocument(addressOf(*odd), R"(,"concurrency":4294967297)"));
    store.write(Topic::Targets, "c", targetDocument(addressOf(*odd), R"(,"concurrency":1000000000)"));
    store.write(Topic::Targets, "m", targetDocument(addressOf(*sound)));
    StoreHost host(store, "host-1", true);
    REQUIRE(host.comesTo(std::string(Path), "sound"));
    for (int i = 0; i < 20; ++i) {
        host.call(std::string(Path));
    }
    CHECK(odd->requests().empty());
}

// Guards against a sound configuration that is skipped because an odd one follows in the same page.
TEST_CASE("a configuration is in force although an odd one follows it", "[entry][host][odd]")
{
    const auto target = namedTarget("target");
    RestorableStore store;
    store.write(Topic::Operator, "config", configurationDocument(2));
    store.write(Topic::Targets, "m", targetDocument(addressOf(*target)));
    StoreHost host(store, "host-1", true);
    REQUIRE(host.comesTo(std::string(Path), "target"));
    store.writeAll(Topic::Operator,
                   { { "config", configurationDocument(3, "/new/") },
                     { "config", nested(10000) },
                     { "config", R"({"version":1e400,"routes":[]})" },
                     { "rollout/\xff", "\xfe" } });
    CHECK(host.comesTo("/new/", "target"));
}

// Guards against a record that keeps other hosts from reading the operator's records from this one.
TEST_CASE("a host that starts gets the configuration of another one beside odd records", "[entry][host][odd]")
{
    const std::map<std::string, std::string> records{ { "config", configurationDocument(2) },
                                                      { "rollout/\xff", "{}" },
                                                      { "rollout/s", "\xfe" } };
    const protocol::OperatorState state{ 7, 1, records };
    const bool decoded = state::handleFailure(
        [&]() -> state::Result<bool> {
            BOOST_LEAF_AUTO(read, protocol::decodeOperatorState(protocol::encodeOperatorState(state), ""));
            return read.records.at("config") == configurationDocument(2) && read.next == 7;
        },
        [](const state::Failure &) {
            return false;
        });
    CHECK(decoded);
}

// Guards against requests that a host sends to itself: they lack the key that it has taken out, so that callers get
// 401.
TEST_CASE("an entry with the address of this host gets no requests", "[entry][host][odd]")
{
    const auto sound = namedTarget("sound");
    RestorableStore store;
    store.write(Topic::Operator, "config", configurationDocument(2));
    store.write(Topic::Targets, "m", targetDocument(addressOf(*sound)));
    StoreHost host(store, "host-1", true);
    REQUIRE(host.comesTo(std::string(Path), "sound"));
    store.write(Topic::Targets, "own", targetDocument("127.0.0.1:" + std::to_string(host.callerPort())));
    store.write(Topic::Targets, "m", std::nullopt);
    std::string response;
    REQUIRE(waitFor([&] {
        response = host.call(std::string(Path));
        return response.find(" 200 ") == std::string::npos;
    }));
    CHECK(response.find(" 503 ") != std::string::npos);
}
