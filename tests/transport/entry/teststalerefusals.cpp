#include "tests/transport/entry/entryfixture.h"

#include <catch2/catch.hpp>

#include <string>

using namespace sapphirecove;
using namespace sapphirecove::tests;
using namespace sapphirecove::tests::entry;

namespace {

bool contains(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

std::string idField(std::string_view id)
{
    return id.empty() ? std::string() : "X-Attempt-Id: " + std::string(id) + "\r\n";
}

std::string answer(std::string_view id, std::string_view body)
{
    return "HTTP/1.1 200 OK\r\n" + idField(id) + std::string(Seal) + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + std::string(body);
}

/** Refusal with @p status whose target states that it did not run the request with @p id. */
std::string refusal(int status, std::string_view id)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + idField(id)
        + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

/** Request for a route whose requests run at most once. */
std::string commit(EntryFixture &fixture, std::string_view id)
{
    return fixture.call(CommitPath, id, "POST");
}

/** Same with a body that is sent while the response is read. */
std::string commitLargeBody(EntryFixture &fixture, std::string_view id)
{
    const std::string body(4 * 1024 * 1024, 'b');
    BlockingConnection connection(fixture.settings().callers.port);
    connection.write("POST " + std::string(CommitPath) + "x HTTP/1.1\r\nHost: a.example\r\n" + idField(id)
                     + "X-Deadline-Ms: 3000\r\nX-Api-Key: k1\r\nConnection: close\r\nContent-Length: "
                     + std::to_string(body.size()) + "\r\n\r\n" + body);
    return connection.readToEnd();
}

} // namespace

// Guards against REFUSED and TWICE: the copy of an earlier refusal, taken for the answer to a request that runs, tells
// the caller to send it again.
TEST_CASE("a refusal that does not name the request proves nothing on a connection in use again",
          "[entry][host][stale]")
{
    const int status = GENERATE(429, 503, 421);
    const bool afterInformational = GENERATE(false, true);
    CAPTURE(status, afterInformational);
    ScriptedTarget target([&](int number, const std::string &, BlockingConnection &connection) {
        if (number == 0) {
            connection.write(answer("a1", "first"));
            connection.readRequest();
        }
        connection.write((afterInformational ? "HTTP/1.1 103 Early Hints\r\n\r\n" : "") + refusal(status, ""));
    });
    EntryFixture fixture({ target.port() });
    REQUIRE(contains(commit(fixture, "a1"), "\r\n\r\nfirst"));
    const std::string response = commit(fixture, "a2");
    CHECK(contains(response, " 502 "));
    CHECK_FALSE(contains(response, "Retry-After"));
    CHECK(target.requests().size() == 1); // One connection: nothing was sent again on another one.
}

TEST_CASE("a refusal without an id during a long body on a connection in use again proves nothing",
          "[entry][host][stale]")
{
    ScriptedTarget target([&](int number, const std::string &, BlockingConnection &connection) {
        if (number == 0) {
            connection.write(answer("a1", "first"));
            connection.readUntil("\r\n\r\n");
            connection.write(refusal(503, ""));
            connection.readToEnd();
        }
    });
    EntryFixture fixture({ target.port() });
    REQUIRE(contains(commit(fixture, "a1"), "\r\n\r\nfirst"));
    CHECK(contains(commitLargeBody(fixture, "a2"), " 502 "));
    CHECK(target.requests().size() == 1);
}

TEST_CASE("a request that may be repeated goes to another target after a refusal without an id", "[entry][host][stale]")
{
    std::atomic<int> answered = 0;
    const auto script = [&](int, const std::string &, BlockingConnection &connection) {
        connection.write(answer("a" + std::to_string(++answered), "served"));
        if (answered == 1) {
            connection.readRequest();
            connection.write(refusal(503, ""));
        }
    };
    ScriptedTarget one(script);
    ScriptedTarget two(script);
    EntryFixture fixture({ one.port(), two.port() });
    REQUIRE(contains(fixture.call(LookupPath, "a1"), "\r\n\r\nserved"));
    CHECK(contains(fixture.call(LookupPath, "a2"), "\r\n\r\nserved"));
}

TEST_CASE("a refusal of an earlier request is skipped before the answer to the present one", "[entry][host][stale]")
{
    const std::string repeated = refusal(503, "a1");
    SECTION("the answer follows")
    {
        ScriptedTarget target([&](int, const std::string &, BlockingConnection &connection) {
            connection.write(refusal(503, "a1"));
            connection.readRequest();
            connection.write(repeated + answer("a2", "second"));
        });
        EntryFixture fixture({ target.port() });
        REQUIRE(contains(commit(fixture, "a1"), " 503 "));
        CHECK(contains(commit(fixture, "a2"), "\r\n\r\nsecond"));
    }
    SECTION("the connection ends")
    {
        ScriptedTarget target([&](int, const std::string &, BlockingConnection &connection) {
            connection.write(refusal(503, "a1"));
            connection.readRequest();
            connection.write(repeated + repeated);
        });
        EntryFixture fixture({ target.port() });
        REQUIRE(contains(commit(fixture, "a1"), " 503 "));
        CHECK(contains(commit(fixture, "a2"), " 502 "));
        CHECK(target.requests().size() == 1);
    }
    SECTION("it arrives while the connection is idle")
    {
        std::promise<void> written;
        ScriptedTarget target([&](int number, const std::string &, BlockingConnection &connection) {
            if (number == 0) {
                connection.write(refusal(503, "a1"));
                std::this_thread::sleep_for(std::chrono::milliseconds(100));
                connection.write(refusal(503, ""));
                written.set_value();
            } else {
                connection.write(answer("a2", "second"));
            }
        });
        EntryFixture fixture({ target.port() });
        REQUIRE(contains(commit(fixture, "a1"), " 503 "));
        REQUIRE(written.get_future().wait_for(TestTimeout) == std::future_status::ready);
        CHECK(contains(commit(fixture, "a2"), "\r\n\r\nsecond"));
        CHECK(target.requests().size() == 2);
    }
}

TEST_CASE("a refusal without an id on a fresh connection is that of its only request", "[entry][host][stale]")
{
    ScriptedTarget target([&](int, const std::string &, BlockingConnection &connection) {
        connection.write(refusal(503, ""));
    });
    EntryFixture fixture({ target.port() });
    CHECK(contains(commit(fixture, "a1"), " 503 "));
    CHECK(target.requests().size() == 1);
}

// Guards against REFUSED: a target's status alone does not state that it did not run the request.
TEST_CASE("a status that promises no run is not passed on without the target's statement", "[entry][host][stale]")
{
    const int status = GENERATE(408, 429, 503);
    CAPTURE(status);
    ScriptedTarget target([&](int, const std::string &, BlockingConnection &connection) {
        connection.write("HTTP/1.1 " + std::to_string(status) + " X\r\n" + idField("a1") + std::string(Seal)
                         + "Content-Length: 0\r\n\r\n");
    });
    EntryFixture fixture({ target.port() });
    const std::string response = commit(fixture, "a1");
    CHECK(contains(response, " 502 "));
    CHECK_FALSE(contains(response, "X-Server-Seal"));
    CHECK(target.requests().size() == 1);
}
