#include "tests/transport/entry/entryfixture.h"
#include "tests/transport/entry/storehost.h"

#include <chrono>

using namespace sapphirecove;
using namespace sapphirecove::tests;
using namespace sapphirecove::tests::entry;
using std::chrono::milliseconds;

namespace {

/** Time for which a sound target may send nothing: several times the pause target of the routes, 100 ms. */
constexpr milliseconds Silence{ 1000 };

/** End of a body in chunks. */
constexpr std::string_view LastChunk = "0\r\n\r\n";

bool contains(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

std::string streamHead()
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n" + std::string(Seal)
        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string eventChunk(int id)
{
    const std::string number = std::to_string(id);
    const std::string event = "id: " + number + "\ndata: e" + number + "\n\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", event.size());
    return size + event + "\r\n";
}

/** Target that falls silent in the middle of its stream and goes on if its connection is still open. */
ScriptedTarget::Script silentAfterFirstEvent()
{
    return [](int, const std::string &request, BlockingConnection &connection) {
        const int next = contains(request, "Last-Event-Id: 1") ? 2 : 1;
        connection.write(streamHead() + (next == 1 ? eventChunk(1) : std::string()));
        std::this_thread::sleep_for(Silence);
        connection.write(eventChunk(2) + eventChunk(3) + std::string(LastChunk));
    };
}

/** Configuration with one idempotent route and the given limits of callers. */
std::string configuration(int version, int idleTimeoutMs, int maxBodyBytes)
{
    return R"({"version":)" + std::to_string(version)
        + R"(,"routes":[{"name":"r","host":"a.example","pathPrefix":"/common/","kind":"idempotent","timeoutMs":1500,)"
        + R"("targetLatencyMs":150,"priority":0,"service":"s","maxAttempts":1,"public":false}],)"
        + R"("services":[{"name":"s"}],"tenants":[{"name":"t1","apiKeys":["k1"],"ratePerS":1000,"burst":1000}],)"
        + R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":)" + std::to_string(maxBodyBytes)
        + R"(,"headerTimeoutMs":3000,"idleTimeoutMs":)" + std::to_string(idleTimeoutMs) + "}}";
}

/** Host whose configuration a test changes while a caller's connection is open. */
class ReconfiguredHost
{
public:
    ReconfiguredHost(int idleTimeoutMs, int maxBodyBytes)
        : m_target([](int, const std::string &, BlockingConnection &connection) {
            connection.write("HTTP/1.1 200 OK\r\n" + std::string(Seal)
                             + "Connection: close\r\nContent-Length: 2\r\n\r\nok");
        })
    {
        m_store.write(transport::entry::StoreTopic::Operator, "config", configuration(1, idleTimeoutMs, maxBodyBytes));
        m_store.write(transport::entry::StoreTopic::Targets,
                      "i-1",
                      R"({"service":"s","address":"127.0.0.1:)" + std::to_string(m_target.port())
                          + R"(","zone":"osu","version":"v1","concurrency":4,"state":"ready"})");
        m_host = std::make_unique<StoreHost>(m_store, "host-1", true);
        m_ready = m_host->comesTo("/common/", " 200 ");
    }

    /** Changes the configuration and waits until it is in force. */
    void change(int idleTimeoutMs, int maxBodyBytes)
    {
        std::string document = configuration(2, idleTimeoutMs, maxBodyBytes);
        document.replace(document.find("/common/"), 8, "/second/");
        m_store.write(transport::entry::StoreTopic::Operator, "config", document);
        m_ready = m_ready && m_host->comesTo("/second/", " 200 ");
    }

    bool ready() const
    {
        return m_ready;
    }

    StoreHost &host()
    {
        return *m_host;
    }

private:
    RestorableStore m_store;
    ScriptedTarget m_target;
    std::unique_ptr<StoreHost> m_host;
    bool m_ready = false;
};

std::string requestFor(std::string_view path, std::size_t bodyBytes)
{
    return "POST " + std::string(path) + "x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: a1\r\nX-Deadline-Ms: 1000\r\n"
        + "X-Api-Key: k1\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'b');
}

/** Sends a request on @p connection and returns the response, whose body has two bytes if it is the target's. */
std::string callOn(BlockingConnection &connection, std::string_view path, std::size_t bodyBytes = 0)
{
    connection.write(requestFor(path, bodyBytes));
    std::string response = connection.readUntil("\r\n\r\n");
    if (contains(response, " 200 ")) {
        response += connection.readUntil("ok");
    }
    return response;
}

} // namespace

// Guards against LOST: a stream is cut because its target was silent for a moment and no other one can go on with it.
TEST_CASE("a stream whose target falls silent for a second is not cut", "[entry][host][unanswered]")
{
    SECTION("without another target")
    {
        ScriptedTarget target(silentAfterFirstEvent());
        EntryFixture fixture({ target.port() });
        const std::string response = fixture.call(StreamPath);
        CHECK(contains(response, "data: e3"));
        CHECK(response.ends_with(LastChunk));
        CHECK(target.requests().size() == 1);
    }
    SECTION("and neither does the only other target accept it")
    {
        ScriptedTarget target(silentAfterFirstEvent());
        EntryFixture fixture({ target.port(), freePort() });
        const std::string response = fixture.call(StreamPath);
        CHECK(contains(response, "data: e3"));
        CHECK(response.ends_with(LastChunk));
    }
}

// Guards against LOST: callers reuse a connection for as long as the newest configuration lets it idle.
TEST_CASE("a raised idle limit holds for connections that are already idle", "[entry][host][unanswered]")
{
    constexpr milliseconds oldLimit{ 500 };
    ReconfiguredHost fixture(oldLimit.count(), 1000);
    REQUIRE(fixture.ready());
    BlockingConnection connection(fixture.host().callerPort());
    REQUIRE(contains(callOn(connection, "/common/"), " 200 "));
    fixture.change(20000, 1000);
    REQUIRE(fixture.ready());
    std::this_thread::sleep_for(2 * oldLimit);
    CHECK(contains(callOn(connection, "/second/"), " 200 "));
}

// Guards against DENIED: a connection that idles during a change keeps the limits of the time before it.
TEST_CASE("a raised body limit holds for the next request of an idle connection", "[entry][host][unanswered]")
{
    ReconfiguredHost fixture(20000, 10);
    REQUIRE(fixture.ready());
    BlockingConnection connection(fixture.host().callerPort());
    REQUIRE(contains(callOn(connection, "/common/"), " 200 "));
    fixture.change(20000, 1000);
    REQUIRE(fixture.ready());
    CHECK(contains(callOn(connection, "/second/", 100), " 200 "));
}

// Guards against LOST: after a pause of the process, the check for idle connections comes before the read.
TEST_CASE("a request that has arrived is answered although the idle limit has passed", "[entry][host][unanswered]")
{
    ScriptedTarget target([](int, const std::string &, BlockingConnection &connection) {
        connection.write("HTTP/1.1 200 OK\r\n" + std::string(Seal)
                         + "Connection: close\r\nContent-Length: 2\r\n\r\nok");
    });
    EntryFixture fixture({ target.port() });
    // The pause mostly meets another reader of the clock than the check.
    constexpr int rounds = 400;
    for (int round = 0; round < rounds; ++round) {
        BlockingConnection connection(fixture.settings().callers.port);
        connection.write(EntryFixture::request(LookupPath, "a1") + "\r\n");
        REQUIRE(contains(connection.readUntil("\r\n\r\n"), "HTTP/1.1 "));
        fixture.clock().pause();
        connection.write(EntryFixture::request(LookupPath, "a2") + "\r\n");
        fixture.clock().advance(std::chrono::seconds(16));
        fixture.clock().resume();
        CHECK(contains(connection.readUntil("\r\n\r\n"), "HTTP/1.1 "));
    }
}
