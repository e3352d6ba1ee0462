#include "tests/transport/entry/boundedhost.h"
#include "tests/transport/entry/entryfixture.h"

#include <atomic>
#include <chrono>
#include <future>

using namespace sapphirecove;
using namespace sapphirecove::tests;
using namespace sapphirecove::tests::entry;
using std::chrono::milliseconds;

namespace {

constexpr std::string_view LastChunk = "0\r\n\r\n";

bool contains(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

std::string eventChunk(int id)
{
    const std::string number = std::to_string(id);
    const std::string event = "id: " + number + "\ndata: e" + number + "\n\n";
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", event.size());
    return size + event + "\r\n";
}

std::string streamHead()
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n" + std::string(Seal)
        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string okResponse()
{
    return "HTTP/1.1 200 OK\r\n" + std::string(Seal) + "Connection: close\r\nContent-Length: 2\r\n\r\nok";
}

} // namespace

// Guards against LOST: an exception after admission ends the session without an answer and keeps the target's slot.
TEST_CASE("a TRACE request with a body is answered and keeps no slot", "[entry][host][unanswered]")
{
    ScriptedTarget target([](int, const std::string &, BlockingConnection &connection) {
        connection.write(okResponse());
    });
    EntryFixture fixture({ target.port() });
    constexpr int slots = 4; // of the fixture's target
    for (int i = 0; i < slots; ++i) {
        BlockingConnection connection(fixture.settings().callers.port);
        connection.write(
            "TRACE " + std::string(LookupPath) + "x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: t" + std::to_string(i)
            + "\r\nX-Deadline-Ms: 3000\r\nX-Api-Key: k1\r\nContent-Length: 2\r\nConnection: close\r\n\r\nab");
        CHECK(connection.readToEnd().starts_with("HTTP/1.1 "));
    }
    CHECK(contains(fixture.call(LookupPath), " 200 "));
}

// Guards against LOST: the next target accepts a connection and then does not take the request over.
TEST_CASE("a stream stays at a silent target unless the next one takes it over", "[entry][host][unanswered]")
{
    const bool resets = GENERATE(true, false);
    CAPTURE(resets);
    std::atomic<int> calls = 0;
    const auto script = [&](int, const std::string &request, BlockingConnection &connection) {
        if (request.empty()) {
            return;
        }
        if (calls++ == 0) {
            connection.write(streamHead() + eventChunk(1));
            std::this_thread::sleep_for(milliseconds(1000));
            connection.write(eventChunk(2) + eventChunk(3) + std::string(LastChunk));
        } else if (resets) {
            connection.reset(); // as a target does beyond its maximum of connections
        } else {
            connection.write("HTTP/1.1 503 X\r\nX-Attempt-Id: a1\r\nX-Not-Executed: full\r\nContent-Length: 0\r\n\r\n");
        }
    };
    ScriptedTarget one(script);
    ScriptedTarget two(script);
    EntryFixture fixture({ one.port(), two.port() });
    const std::string response = fixture.call(StreamPath);
    CHECK(contains(response, "data: e3"));
    CHECK(response.ends_with(LastChunk));
}

// Guards against load without use: without a retry in the budget, no placement and no connection may be spent.
TEST_CASE("without a retry in the budget no other target is connected to", "[entry][host][unanswered]")
{
    std::atomic<int> calls = 0;
    const auto script = [&](int, const std::string &request, BlockingConnection &connection) {
        if (!request.empty() && calls++ == 0) {
            std::this_thread::sleep_for(milliseconds(1400));
        }
        connection.write(okResponse());
    };
    ScriptedTarget one(script);
    ScriptedTarget two(script);
    state::entry::Bounds bounds;
    bounds.retryRatio = 0;
    bounds.retrySlack = 0;
    BoundedHost host(bounds, { one.port(), two.port() }, 4);
    CHECK(contains(host.call(), " 200 "));
    CHECK(one.connections() + two.connections() == 1);
}

// Guards against LOST: a stopping host ends with requests in hand and answers none of them.
TEST_CASE("requests in hand at the end of the grace period are answered", "[entry][host][unanswered]")
{
    std::promise<void> over;
    const auto end = over.get_future().share();
    ScriptedTarget target([end](int, const std::string &, BlockingConnection &connection) {
        end.wait_for(std::chrono::seconds(10));
        connection.close();
    });
    BoundedHost host({}, { target.port() }, 1);
    auto atTarget = std::async(std::launch::async, [&] {
        return host.call();
    });
    REQUIRE(target.waitForRequests(1));
    auto waiting = std::async(std::launch::async, [&] {
        return host.call();
    });
    std::this_thread::sleep_for(milliseconds(200));
    host.shutDown();
    over.set_value();
    const std::string responseOfWaiting = waiting.get();
    const std::string responseOfRunning = atTarget.get();
    CAPTURE(responseOfWaiting, responseOfRunning);
    CHECK(contains(responseOfWaiting, " 503 ")); // was sent to no target
    CHECK(responseOfRunning.starts_with("HTTP/1.1 50"));
}

// Guards against running twice what is on its way: a response whose bytes keep arriving is not silence.
TEST_CASE("a long response that keeps arriving is not moved", "[entry][host][unanswered]")
{
    std::atomic<int> requests = 0;
    const auto script = [&](int, const std::string &request, BlockingConnection &connection) {
        if (request.empty()) {
            return;
        }
        ++requests;
        connection.write("HTTP/1.1 200 OK\r\n" + std::string(Seal) + "Connection: close\r\nContent-Length: 20\r\n\r\n");
        for (int i = 0; i < 10; ++i) {
            std::this_thread::sleep_for(milliseconds(80));
            connection.write("ok");
        }
    };
    ScriptedTarget one(script);
    ScriptedTarget two(script);
    EntryFixture fixture({ one.port(), two.port() });
    CHECK(contains(fixture.call(LookupPath), " 200 "));
    CHECK(requests == 1);
}

// Guards against MIXED: bytes after a response to HEAD are taken for the next response of the connection.
TEST_CASE("a refused HEAD request gets a header only", "[entry][host][unanswered]")
{
    ScriptedTarget target([](int, const std::string &, BlockingConnection &connection) {
        connection.write(okResponse());
    });
    EntryFixture fixture({ target.port() });
    CHECK(fixture.call("/unknown/", "a1", "HEAD").ends_with("\r\n\r\n"));
}

// Guards against LOST: a request that arrives too slowly was ended without a word.
TEST_CASE("a request that arrives too slowly gets 408", "[entry][host][unanswered]")
{
    ScriptedTarget target([](int, const std::string &, BlockingConnection &) {});
    EntryFixture fixture({ target.port() });
    BlockingConnection connection(fixture.settings().callers.port);
    connection.write("GET " + std::string(LookupPath) + "x HTTP/1.1\r\nHost: a.exam");
    std::this_thread::sleep_for(milliseconds(200));
    fixture.clock().advance(std::chrono::seconds(4)); // The limit is 3 s.
    CHECK(connection.readToEnd().starts_with("HTTP/1.1 408 "));
}
