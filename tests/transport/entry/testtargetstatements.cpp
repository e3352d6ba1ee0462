#include "tests/transport/entry/entryfixture.h"
#include "tests/transport/entry/storehost.h"

#include <chrono>

using namespace sapphirecove;
using namespace sapphirecove::tests;
using namespace sapphirecove::tests::entry;

namespace {

bool contains(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

/** Response with @p fields, a signature and the connection's end. */
std::string response(std::string_view fields, std::string_view status = "200 OK")
{
    return "HTTP/1.1 " + std::string(status) + "\r\n" + std::string(Seal) + std::string(fields)
        + "Connection: close\r\nContent-Length: 2\r\n\r\nok";
}

/** Response of a target that turns the request away. */
std::string turnedAway(std::string_view fields)
{
    return response("X-Not-Executed: 1\r\n" + std::string(fields), "503 Full");
}

ScriptedTarget::Script always(std::string text)
{
    return [text = std::move(text)](int, const std::string &, BlockingConnection &connection) {
        connection.write(text);
    };
}

double secondsOf(const std::string &headers, std::string_view field)
{
    const auto at = headers.find(field);
    return at == std::string::npos ? -1 : std::stod(headers.substr(at + field.size()));
}

} // namespace

// Guards against requests that follow a statement of leaving although the store still lists the target as ready.
TEST_CASE("a target that says it leaves gets no further request from this host", "[entry][host][statements]")
{
    // The rule holds for any answer that is passed on, whether or not it is signed or successful.
    const std::string answers[] = { response("Server-Leaving: 1\r\n"),
                                    "HTTP/1.1 500 Failed\r\nServer-Leaving: 1\r\nConnection: close\r\n"
                                    "Content-Length: 2\r\n\r\nok" };
    for (const std::string &answer : answers) {
        INFO(answer);
        ScriptedTarget leaving(always(answer));
        EntryFixture fixture({ leaving.port() });
        CHECK(contains(fixture.call(CommitPath, "a1", "POST"), "\r\nServer-Leaving: 1\r\n"));
        for (const char *id : { "a2", "a3" }) {
            const std::string refused = fixture.call(CommitPath, id, "POST");
            CHECK(contains(refused, " 503 "));
            CHECK(contains(refused, "Retry-After: "));
        }
        CHECK(leaving.requests().size() == 1);
    }
}

// Guards against a host that loses requests, or sends them to the leaving target, while another one is there.
TEST_CASE("requests go to the other targets when one says that it leaves", "[entry][host][statements]")
{
    std::atomic<bool> leaves = true;
    const auto script = [&](int, const std::string &, BlockingConnection &connection) {
        connection.write(response(leaves.exchange(false) ? "Server-Leaving: 1\r\n" : ""));
    };
    ScriptedTarget one(script);
    ScriptedTarget two(script);
    EntryFixture fixture({ one.port(), two.port() });
    for (int i = 0; i < 20; ++i) {
        CHECK(contains(fixture.call(CommitPath, "a" + std::to_string(i), "POST"), " 200 "));
    }
    CHECK(std::min(one.requests().size(), two.requests().size()) == 1);
}

// Guards against a kept connection that carries a request to a target after it has said that it leaves.
TEST_CASE("an open connection to a leaving target is not used again", "[entry][host][statements]")
{
    std::atomic<int> answered = 0;
    ScriptedTarget leaving([&](int, const std::string &, BlockingConnection &connection) {
        connection.write("HTTP/1.1 200 OK\r\nX-Server-Seal: s1\r\nServer-Leaving: 1\r\nContent-Length: 2\r\n\r\nok");
        if (!connection.readRequest().empty()) {
            ++answered;
        }
    });
    EntryFixture fixture({ leaving.port() });
    CHECK(contains(fixture.call(CommitPath, "a1", "POST"), " 200 "));
    CHECK(contains(fixture.call(CommitPath, "a2", "POST"), " 503 "));
    CHECK(answered == 0);
}

// Guards against a stream that is resumed at a target that has said meanwhile that it leaves.
TEST_CASE("a broken stream is not resumed at a leaving target", "[entry][host][statements]")
{
    const auto head = [](std::string_view fields) {
        return "HTTP/1.1 200 OK\r\n" + std::string(Seal) + std::string(fields)
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n";
    };
    std::atomic<int> streams = 0;
    const auto script = [&](int, const std::string &request, BlockingConnection &connection) {
        if (!contains(request, StreamPath)) {
            connection.write(response("Server-Leaving: 1\r\n"));
            return;
        }
        ++streams;
        connection.write(head("Server-Leaving: 1\r\n") + "11\r\nid: 1\ndata: one\n\n\r\n");
    };
    ScriptedTarget one(script);
    ScriptedTarget two(script);
    EntryFixture fixture({ one.port(), two.port() });
    // Both targets are known to leave after these.
    fixture.call(CommitPath, "b1", "POST");
    fixture.call(CommitPath, "b2", "POST");
    REQUIRE(one.requests().size() == 1);
    REQUIRE(two.requests().size() == 1);
    fixture.call(StreamPath, "a1");
    CHECK(streams == 0);
}

// Guards against values of the field that are misread: the users' rule names the field, so only a plain "0" denies it.
TEST_CASE("another value of the leaving field binds and a plain zero does not", "[entry][host][statements]")
{
    const std::pair<const char *, std::size_t> cases[] = { { "Server-Leaving: 0\r\n", 2 },
                                                           { "Server-Leaving: yes\r\n", 1 },
                                                           { "Server-Leaving:\r\n", 1 },
                                                           { "Server-Leaving: 0\r\nServer-Leaving: 1\r\n", 1 } };
    for (const auto &[field, requests] : cases) {
        INFO(field);
        ScriptedTarget target(always(response(field)));
        EntryFixture fixture({ target.port() });
        fixture.call(CommitPath, "a1", "POST");
        fixture.call(CommitPath, "a2", "POST");
        CHECK(target.requests().size() == requests);
    }
}

// Guards against a target that is pressed although it has asked for a pause, and against one that is never asked again.
TEST_CASE("a target gets nothing until the end of the time for which it turned requests away",
          "[entry][host][statements]")
{
    std::atomic<bool> full = true;
    ScriptedTarget target([&](int, const std::string &, BlockingConnection &connection) {
        connection.write(full.exchange(false) ? turnedAway("Retry-After: 1.5\r\n") : response(""));
    });
    EntryFixture fixture({ target.port() });
    CHECK(contains(fixture.call(CommitPath, "a1", "POST"), " 503 "));
    const auto turned = std::chrono::steady_clock::now();
    // A request that has the time waits for the target; it need not be refused.
    const std::string waited = fixture.call(LookupPath, "a2");
    const auto elapsed = std::chrono::steady_clock::now() - turned;
    if (contains(waited, " 200 ")) {
        CHECK(elapsed >= std::chrono::milliseconds(1400));
    } else {
        CHECK(contains(waited, " 503 "));
        CHECK(secondsOf(waited, "Retry-After: ") >= 0.5);
        CHECK(elapsed < std::chrono::milliseconds(500)); // It is refused when that is known, not when it has waited.
    }
    CHECK(target.requests().size() <= 2);
    std::this_thread::sleep_for(std::chrono::milliseconds(1700));
    CHECK(contains(fixture.call(CommitPath, "a3", "POST"), " 200 "));
}

// Guards against a second attempt at the target that has just turned the request away, beside one that takes it.
TEST_CASE("requests go elsewhere while a target backs off", "[entry][host][statements]")
{
    std::atomic<int> turned = 0;
    const auto script = [&](int, const std::string &, BlockingConnection &connection) {
        connection.write(turned++ == 0 ? turnedAway("Retry-After: 20\r\n") : response(""));
    };
    ScriptedTarget one(script);
    ScriptedTarget two(script);
    EntryFixture fixture({ one.port(), two.port() });
    for (int i = 0; i < 20; ++i) {
        CHECK(contains(fixture.call(LookupPath, "a" + std::to_string(i)), " 200 "));
    }
    CHECK(std::min(one.requests().size(), two.requests().size()) == 1);
}

// Guards against a time to come back that speaks of one target and is passed on to a caller of the whole service.
TEST_CASE("a caller gets the host's own time to come back", "[entry][host][statements]")
{
    for (const std::string_view proof : { "X-Not-Executed: 1\r\n", "" }) {
        INFO(proof);
        ScriptedTarget target(always(response(std::string(proof) + "Retry-After: 86400\r\n", "503 Full")));
        EntryFixture fixture({ target.port() });
        // What must not run twice gets 502 if the target gives no proof that it has not run.
        const bool proven = !proof.empty();
        const std::string answer = fixture.call(proven ? CommitPath : LookupPath, "a1", proven ? "POST" : "GET");
        CHECK(contains(answer, " 503 "));
        CHECK(secondsOf(answer, "Retry-After: ") > 0);
        CHECK(secondsOf(answer, "Retry-After: ") <= 60);
        if (!proven) {
            EntryFixture other({ target.port() }); // The first host keeps away from the target now.
            CHECK(contains(other.call(CommitPath, "a2", "POST"), " 502 "));
        }
    }
}

// Guards against a pause that is invented from a field that says none, which would take the target away.
TEST_CASE("a time to come back that cannot be read changes nothing", "[entry][host][statements]")
{
    const std::string answers[] = { turnedAway("Retry-After: -3\r\n"),
                                    turnedAway("Retry-After: soon\r\n"),
                                    turnedAway("Retry-After: Fri, 31 Dec 2027 23:59:59 GMT\r\n"),
                                    turnedAway("Retry-After: 3 s\r\n"),
                                    turnedAway("Retry-After: nan\r\n"),
                                    turnedAway("Retry-After: inf\r\n"),
                                    turnedAway("Retry-After:\r\n"),
                                    response("Retry-After: 20\r\n"),
                                    response("X-Not-Executed: 1\r\nRetry-After: 20\r\n", "429 Many") };
    for (const std::string &answer : answers) {
        INFO(answer);
        ScriptedTarget target(always(answer));
        EntryFixture fixture({ target.port() });
        fixture.call(CommitPath, "a1", "POST");
        fixture.call(CommitPath, "a2", "POST");
        CHECK(target.requests().size() == 2);
    }
}

// Guards against a target that one answer takes away for a day, and against an answer without proof that is not heeded.
TEST_CASE("the longest pause that one answer causes is bounded", "[entry][host][statements]")
{
    std::atomic<bool> full = true;
    ScriptedTarget target([&](int, const std::string &, BlockingConnection &connection) {
        // Several fields: the longest time holds.
        connection.write(full.exchange(false) ? "HTTP/1.1 503 Full\r\nRetry-After: 1\r\nRetry-After: 86400\r\n"
                                                "Connection: close\r\nContent-Length: 0\r\n\r\n"
                                              : response(""));
    });
    EntryFixture fixture({ target.port() });
    fixture.call(CommitPath, "a1", "POST");
    CHECK(contains(fixture.call(CommitPath, "a2", "POST"), " 503 "));
    CHECK(target.requests().size() == 1);
    fixture.clock().advance(std::chrono::seconds(61));
    std::this_thread::sleep_for(std::chrono::milliseconds(400));
    CHECK(contains(fixture.call(CommitPath, "a3", "POST"), " 200 "));
}

// Guards against statements that operators cannot see.
TEST_CASE("metrics count targets that leave or back off", "[entry][host][statements]")
{
    const auto script = [](int, const std::string &request, BlockingConnection &connection) {
        connection.write(contains(request, "X-Attempt-Id: a1") ? response("Server-Leaving: 1\r\n")
                                                               : turnedAway("Retry-After: 20\r\n"));
    };
    ScriptedTarget one(script);
    ScriptedTarget two(script);
    EntryFixture fixture({ one.port(), two.port() });
    fixture.call(CommitPath, "a1", "POST");
    fixture.call(CommitPath, "a2", "POST");
    const std::string metrics = fixture.get(fixture.settings().metricsPort, "/metrics");
    CHECK(contains(metrics, "sapphirecove_targets_leaving 1\n"));
    CHECK(contains(metrics, "sapphirecove_targets_backing_off 1\n"));
}

// Guards against a placement by another host, which has not heard of the statement yet, and against statements that
// outlive their incarnation.
TEST_CASE("a host withholds what another host places at a target that has told it to leave",
          "[entry][host][statements]")
{
    using Topic = transport::entry::StoreTopic;
    const auto document = [](std::uint16_t port, int born) {
        return R"({"service":"s","address":"127.0.0.1:)" + std::to_string(port)
            + R"(","zone":"osu","version":"v1","concurrency":4,"state":"ready","sequence":1,"born":)"
            + std::to_string(born) + "}";
    };
    std::atomic<bool> leaves = false;
    ScriptedTarget target([&](int, const std::string &, BlockingConnection &connection) {
        connection.write(response(leaves ? "Server-Leaving: 1\r\n" : ""));
    });
    RestorableStore store;
    store.write(
        Topic::Operator,
        "config",
        R"({"version":1,"routes":[{"name":"r","host":"a.example","pathPrefix":"/r/","kind":"idempotent",)"
        R"("timeoutMs":1500,"targetLatencyMs":150,"priority":0,"service":"s","maxAttempts":1,"public":false}],)"
        R"("services":[{"name":"s"}],"tenants":[{"name":"t1","apiKeys":["k1"],"ratePerS":1000,"burst":1000}]})");
    store.write(Topic::Targets, "i-1", document(target.port(), 1000));
    StoreHost one(store, "host-1", true);
    StoreHost two(store, "host-2", false);
    REQUIRE(one.comesTo("/r/", " 200 "));
    REQUIRE(two.comesTo("/r/", " 200 "));
    std::this_thread::sleep_for(std::chrono::milliseconds(1500)); // The hosts have reported to each other.
    int born = 1000;
    for (StoreHost *host : { &one, &two }) {
        leaves = true;
        CHECK(contains(host->call("/r/"), "Server-Leaving: 1"));
        const std::size_t before = target.requests().size();
        store.goAway();
        for (int i = 0; i < 3; ++i) {
            CHECK(contains(host->call("/r/"), " 503 "));
        }
        CHECK(target.requests().size() == before);
        store.returnWhole();
        leaves = false;
        born += 1000;
        store.write(Topic::Targets, "i-1", document(target.port(), born));
        CHECK(host->comesTo("/r/", " 200 "));
    }
}
