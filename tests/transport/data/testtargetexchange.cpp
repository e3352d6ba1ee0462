#include "tests/transport/data/datafixture.h"
#include "tests/transport/threadedtarget.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

using namespace sapphirecove;
using namespace sapphirecove::tests;
using Catch::Matchers::Contains;
using Catch::Matchers::EndsWith;
using Catch::Matchers::StartsWith;
using coordination::GrantOutcome;

namespace {

constexpr std::string_view StreamHead =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Version: v1\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr std::string_view LastChunk = "0\r\n\r\n";
constexpr std::string_view EndMarker = "data: [DONE]\n\n";

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: {\"choices\":[{\"delta\":{\"content\":\"t\"}}]}\n\n";
}

std::string lastEvent(int id)
{
    return "id: " + std::to_string(id)
        + "\ndata: {\"choices\":[],\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":2,"
          "\"prompt_tokens_details\":{\"cached_tokens\":4}}}\n\n";
}

std::string chatAndClose(std::uint16_t port, std::string_view body = StreamBody)
{
    BlockingConnection caller(port);
    caller.write(chatText(body, "Connection: close\r\n"));
    return caller.readToEnd();
}

void writeStream(BlockingConnection &connection, const std::string &events)
{
    connection.write(StreamHead);
    connection.write(chunk(events));
}

} // namespace

// Guards against lost measurements and against a stream that is modified while it is forwarded.
TEST_CASE("a stream is forwarded unchanged and measured", "[exchange]")
{
    const std::string events = event(1) + lastEvent(2) + std::string(EndMarker);
    ScriptedTarget target([&](int, const std::string &, BlockingConnection &connection) {
        writeStream(connection, events);
        connection.write(LastChunk);
    });
    DataFixture fixture(dispatchAll(target.port()));
    bool complete = false;
    const auto response = chatAndClose(fixture.port());
    CHECK(unchunk(response, complete) == events);
    CHECK(complete);
    CHECK_THAT(response, Contains("X-Version: v1"));
    CHECK_THAT(target.requests().at(0), EndsWith(std::string(StreamBody)));
    fixture.await<coordination::DispatchStarted>();
    fixture.await<coordination::FirstTokenReceived>();
    const auto finished = fixture.await<coordination::DispatchFinished>();
    CHECK(finished.outcome == GrantOutcome::Complete);
    CHECK(finished.status == 200);
    CHECK(finished.promptTokens == 9);
    CHECK(finished.cachedTokens == 4);
    CHECK(finished.outputTokens == 2);
    CHECK(finished.timeToFirstToken > state::Duration::zero());
    CHECK(finished.total >= finished.timeToFirstToken);
}

// Guards against a lost, duplicate or truncated event when a stream is interrupted, also in the middle of an event.
TEST_CASE("an interrupted stream is resumed after the last whole event", "[exchange]")
{
    ScriptedTarget target([&](int number, const std::string &, BlockingConnection &connection) {
        if (number == 0) {
            writeStream(connection, event(1) + event(2) + event(3).substr(0, 20));
        } else {
            // An engine may send events again that it sent before.
            writeStream(connection, event(2) + event(3) + lastEvent(4) + std::string(EndMarker));
            connection.write(LastChunk);
        }
    });
    DataFixture fixture(dispatchAll(target.port()));
    bool complete = false;
    const auto body = unchunk(chatAndClose(fixture.port()), complete);
    CHECK(body == event(1) + event(2) + event(3) + lastEvent(4) + std::string(EndMarker));
    CHECK(complete);
    const auto requests = target.requests();
    REQUIRE(requests.size() == 2);
    CHECK_THAT(requests[1], StartsWith("GET /v1/streams/host.7.1 HTTP/1.1") && Contains("Last-Event-ID: 2\r\n"));
    CHECK(fixture.await<coordination::DispatchFinished>().outcome == GrantOutcome::Complete);
    CHECK(fixture.count<coordination::DispatchFinished>() == 0);
}

// Guards against an incomplete stream that looks complete to the caller, and against a second dispatch.
TEST_CASE("a stream that cannot be resumed ends without its last chunk", "[exchange]")
{
    ScriptedTarget target([&](int number, const std::string &, BlockingConnection &connection) {
        if (number == 0) {
            writeStream(connection, event(1));
        } else {
            connection.write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
        }
    });
    DataFixture fixture(dispatchAll(target.port()));
    bool complete = true;
    const std::string response = unchunk(chatAndClose(fixture.port()), complete);
    const std::string expected = event(1) + "event: error\ndata: ";
    REQUIRE(response.substr(0, expected.size()) == expected);
    const auto problem = boost::json::parse(response.substr(expected.size())).as_object();
    CHECK(problem.at("reason").as_string() == "outcome_unknown");
    CHECK(problem.at("executed").as_string() == "unknown");
    CHECK_FALSE(complete);
    CHECK(fixture.await<coordination::DispatchFinished>().outcome == GrantOutcome::Interrupted);
    const auto requests = target.requests();
    CHECK(std::count_if(requests.begin(),
                        requests.end(),
                        [](const auto &request) {
                            return request.substr(0, 4) == "POST";
                        })
          == 1);
}

// Guards against a response that says "not run" or "complete" although the target may have run the request.
TEST_CASE("a truncated or malformed response gives a problem document with an unknown outcome", "[exchange]")
{
    struct Row
    {
        std::string response;
        std::string reason;
        GrantOutcome outcome;
    };
    const std::vector<Row> rows{
        { "", "outcome_unknown", GrantOutcome::Interrupted },
        { "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"choices\"", "outcome_unknown", GrantOutcome::Interrupted },
        { "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nnot json", "target_failed", GrantOutcome::Failed },
        { "HTTP/1.1 200 OK\r\nContent-Le", "outcome_unknown", GrantOutcome::Interrupted },
        { "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r", "outcome_unknown", GrantOutcome::Interrupted },
        { "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n", "outcome_unknown", GrantOutcome::Interrupted },
        { "HTTP/1.1 200 OK\r\nX-Version: v1\r\n\r\n", "outcome_unknown", GrantOutcome::Interrupted },
        { "garbage\r\n\r\n", "target_failed", GrantOutcome::Failed },
    };
    for (const auto &row : rows) {
        ScriptedTarget target([&](int, const std::string &, BlockingConnection &connection) {
            connection.write(row.response);
        });
        DataFixture fixture(dispatchAll(target.port()));
        const auto response = chatAndClose(fixture.port(), NonStreamingBody);
        CHECK_THAT(response, StartsWith("HTTP/1.1 502"));
        CHECK_THAT(response, Contains("\"reason\":\"" + row.reason + '"') && Contains("\"executed\":\"unknown\""));
        CHECK(fixture.await<coordination::DispatchFinished>().outcome == row.outcome);
        CHECK(target.requests().size() == 1);
    }
}

// Guards against a target error that is hidden from the caller or not counted in the target's health.
TEST_CASE("a server error of a target is forwarded and reported as failed", "[exchange]")
{
    ScriptedTarget target([&](int, const std::string &, BlockingConnection &connection) {
        connection.write("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 7\r\nContent-Length: 4\r\n\r\nbusy");
    });
    DataFixture fixture(dispatchAll(target.port()));
    CHECK_THAT(chatAndClose(fixture.port()),
               StartsWith("HTTP/1.1 503") && Contains("Retry-After: 7") && EndsWith("busy"));
    const auto finished = fixture.await<coordination::DispatchFinished>();
    CHECK(finished.outcome == GrantOutcome::Failed);
    CHECK(finished.status == 503);
}

// Guards against reporting a refused connection as a started dispatch, which would rule out another target.
TEST_CASE("after a refused connection the request can be dispatched to another target", "[exchange]")
{
    ScriptedTarget target([&](int, const std::string &, BlockingConnection &connection) {
        connection.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    });
    boost::asio::io_context unused;
    tcp::acceptor closed(unused, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    const auto closedPort = closed.local_endpoint().port();
    closed.close();
    DataFixture fixture([&](DataFixture &self, const coordination::Event &event) {
        if (const auto *arrived = std::get_if<coordination::RequestArrived>(&event)) {
            self.dispatch(arrived->request.id, closedPort, 1);
        } else if (const auto *refused = std::get_if<coordination::DispatchRefused>(&event)) {
            self.dispatch(refused->request, target.port(), 2);
        }
    });
    BlockingConnection caller(fixture.port());
    caller.write(requestText("GET /services/orders-app/x", "", ""));
    CHECK_THAT(caller.readUntil("ok"), StartsWith("HTTP/1.1 200"));
    CHECK(fixture.await<coordination::DispatchRefused>().grant == 1);
    CHECK(fixture.await<coordination::DispatchStarted>().grant == 2);
    CHECK(fixture.await<coordination::DispatchFinished>().grant == 2);
}

// Guards against the use of an expired grant, which would overload the target.
TEST_CASE("a dispatch whose grant has expired sends nothing", "[exchange]")
{
    DataFixture fixture(dispatchNone());
    BlockingConnection caller(fixture.port());
    caller.write(chatText());
    const auto id = fixture.await<coordination::RequestArrived>().request.id;
    const auto expired = transport::SystemClock().now() - std::chrono::seconds(1);
    fixture.applyAction(coordination::Dispatch{ id, 1, "target", "127.0.0.1", 1, "v1", expired });
    CHECK(fixture.await<coordination::DispatchRefused>().detail == "grant expired");
}

// Guards against an engine that continues to generate after the caller has disconnected.
TEST_CASE("a disconnect during a stream is reported and the engine gets a cancel request", "[exchange]")
{
    ScriptedTarget target([&](int number, const std::string &, BlockingConnection &connection) {
        if (number == 0) {
            writeStream(connection, event(1));
            connection.readToEnd(); // returns when the host closes its connection
        } else {
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
        }
    });
    DataFixture fixture([&](DataFixture &self, const coordination::Event &event) {
        if (const auto *arrived = std::get_if<coordination::RequestArrived>(&event)) {
            self.dispatch(arrived->request.id, target.port());
        } else if (const auto *gone = std::get_if<coordination::CallerDisconnected>(&event)) {
            self.applyAction(coordination::CancelDispatch{ gone->request });
        }
    });
    BlockingConnection caller(fixture.port());
    caller.write(chatText());
    caller.readUntil("\n\n");
    caller.close();
    CHECK(fixture.await<coordination::DispatchFinished>().outcome == GrantOutcome::Cancelled);
    REQUIRE(target.waitForRequests(2));
    CHECK_THAT(target.requests().at(1), StartsWith("POST /v1/streams/host.7.1/cancel"));
}

// Guards against a caller that waits for an unresponsive target although the request has been refused.
TEST_CASE("a refusal before the response has started reaches the caller at once", "[exchange]")
{
    ScriptedTarget target([&](int, const std::string &, BlockingConnection &connection) {
        connection.readToEnd();
    });
    DataFixture fixture([&](DataFixture &self, const coordination::Event &event) {
        if (const auto *arrived = std::get_if<coordination::RequestArrived>(&event)) {
            self.dispatch(arrived->request.id, target.port());
        }
    });
    BlockingConnection caller(fixture.port());
    caller.write(requestText("GET /services/orders-app/x", "", ""));
    REQUIRE(target.waitForRequests(1));
    const auto id = fixture.await<coordination::DispatchStarted>().request;
    using coordination::RefusalReason;
    fixture.applyAction(coordination::Refuse{
        id, { RefusalReason::DeadlineExceeded, coordination::Executed::Unknown, std::nullopt, "late" } });
    fixture.applyAction(coordination::CancelDispatch{ id });
    CHECK_THAT(caller.readUntil("}"), StartsWith("HTTP/1.1 504") && Contains("\"executed\":\"unknown\""));
    CHECK(fixture.await<coordination::DispatchFinished>().outcome == GrantOutcome::Cancelled);
}

// Guards against unbounded buffering: a response much larger than the buffer must be forwarded while it arrives, and
// only as fast as the caller reads it.
TEST_CASE("a response larger than the buffer is forwarded while it arrives", "[exchange]")
{
    const std::string body(std::size_t{ 3 } * 1024 * 1024, 'x');
    ScriptedTarget target([&](int, const std::string &, BlockingConnection &connection) {
        connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    });
    DataFixture fixture(dispatchAll(target.port()));
    BlockingConnection caller(fixture.port());
    caller.write(requestText("GET /services/orders-app/x", "Connection: close\r\n", ""));
    caller.readUntil("\r\n\r\n");
    CHECK(caller.readToEnd().size() == body.size());
}

// Guards against a response that ends at another place for this host than for its target.
TEST_CASE("a response whose end is not clear is malformed", "[exchange][framing]")
{
    for (const std::string_view fields :
         { "Content-Length: 2\r\nContent-Length: 40\r\n\r\nok",
           "Content-Length: 2\r\nContent-Length: 2\r\n\r\nok",
           "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
           "Transfer-Encoding: gzip\r\n\r\nok",
           "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
           "Transfer-Encoding: chunked, identity\r\n\r\nok" }) {
        INFO(fields);
        ScriptedTarget target([&](int, const std::string &, BlockingConnection &connection) {
            connection.write("HTTP/1.1 200 OK\r\n" + std::string(fields));
        });
        DataFixture fixture(dispatchAll(target.port()));
        BlockingConnection caller(fixture.port());
        caller.write(requestText("GET /services/orders-app/x", "Connection: close\r\n", ""));
        CHECK_THAT(caller.readToEnd(), StartsWith("HTTP/1.1 502"));
    }
}

// Guards against bytes without end from targets that use up the memory of the host together.
TEST_CASE("events without end are given up when the memory for responses is used up", "[exchange][endless]")
{
    std::atomic<int> connections = 0;
    std::atomic<std::size_t> written = 0;
    const std::string sound = lastEvent(1) + std::string(EndMarker);
    ThreadedTarget target([&](const std::string &, BlockingConnection &connection) {
        if (connections++ >= 4) {
            writeStream(connection, sound);
            connection.write(LastChunk);
            return;
        }
        connection.write(StreamHead);
        const std::string part = chunk("data: " + std::string(16000, 'x') + "\n");
        for (int i = 0; i < 100 && connection.tryWrite(part); ++i) {
            written += part.size();
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    });
    transport::DataLimits limits;
    limits.responseBytes = 400000;
    DataFixture fixture(dispatchAll(target.port()), limits);
    std::vector<std::thread> callers;
    for (int i = 0; i < 4; ++i) {
        callers.emplace_back([&] {
            CHECK(chatAndClose(fixture.port()).starts_with("HTTP/1.1 502"));
        });
    }
    while (connections < 4) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    bool complete = false;
    CHECK(unchunk(chatAndClose(fixture.port()), complete) == sound);
    CHECK(complete);
    for (auto &caller : callers) {
        caller.join();
    }
    // Without a common bound, each of them gets to the limit of one event.
    CHECK(written < std::size_t{ 2 } * 1024 * 1024);
}
