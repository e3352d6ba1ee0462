#include "tests/transport/brokenheads.h"
#include "tests/transport/data/datafixture.h"
#include "tests/transport/earlyanswertarget.h"
#include "tests/transport/threadedtarget.h"

#include <catch2/catch.hpp>

using namespace sapphirecove;
using namespace sapphirecove::tests;
using Catch::Matchers::Contains;
using Catch::Matchers::EndsWith;
using Catch::Matchers::StartsWith;

namespace {

constexpr std::string_view ChatAnswer = R"({"choices":[]})";

/** Bytes of a body that exceed the buffers of two sockets and stay below the limit for bodies. */
constexpr std::size_t UploadBytes = 7'000'000;

/** Returns the texts of a service call, a chat call and a streaming chat call. */
std::vector<std::string> calls()
{
    return { requestText("GET /services/orders-app/x", "Connection: close\r\n", ""),
             chatText(NonStreamingBody, "Connection: close\r\n"),
             chatText(StreamBody, "Connection: close\r\n") };
}

/** Sends @p request and returns everything until the connection ends. */
std::string call(const DataFixture &fixture, std::string_view request)
{
    BlockingConnection caller(fixture.port());
    caller.write(request);
    return caller.readToEnd();
}

/** Returns the body of @p response; sets @p complete to whether its caller takes it for the whole one. */
std::string bodyOf(const std::string &response, bool &complete)
{
    if (response.find("Transfer-Encoding: chunked") != std::string::npos) {
        return unchunk(response, complete);
    }
    const std::string body = response.substr(response.find("\r\n\r\n") + 4);
    complete = response.find("Content-Length: " + std::to_string(body.size()) + "\r\n") != std::string::npos;
    return body;
}

} // namespace

// Guards against an answer of a target in trouble that is none in HTTP and reaches the caller.
TEST_CASE("serve: a response with a status code that does not exist reaches no caller", "[exchange][broken]")
{
    for (const std::string &code : invalidStatusCodes()) {
        for (const std::string &text : calls()) {
            INFO(code << '\n' << text);
            ScriptedTarget target([&](int, const std::string &, BlockingConnection &connection) {
                connection.write("HTTP/1.1 " + code + " Broken\r\nX-Trace: 1\r\nContent-Length: 14\r\n\r\n"
                                 + std::string(ChatAnswer));
            });
            DataFixture fixture(dispatchAll(target.port()));
            CHECK_THAT(call(fixture, text), StartsWith("HTTP/1.1 502") && !Contains("X-Trace"));
            CHECK(fixture.await<coordination::DispatchFinished>().outcome == coordination::GrantOutcome::Failed);
        }
    }
}

// Guards against a line that this host, its target or the caller read as different fields.
TEST_CASE("serve: a response with a blank or control byte in the name of a field reaches no caller",
          "[exchange][broken]")
{
    const std::vector<std::string> lines = invalidFieldLines();
    for (const std::string &line : lines) {
        for (const std::string &text : calls()) {
            INFO(Catch::StringMaker<std::string>::convert(line) << '\n' << text);
            ScriptedTarget target([&](int, const std::string &, BlockingConnection &connection) {
                connection.write("HTTP/1.1 200 OK\r\nX-A: 1\r\n" + line + "\r\n\r\n" + std::string(ChatAnswer));
            });
            DataFixture fixture(dispatchAll(target.port()));
            CHECK_THAT(call(fixture, text),
                       StartsWith("HTTP/1.1 502") && !Contains("Trace") && !Contains(std::string(ChatAnswer)));
        }
    }
}

// Guards against an interim response that the caller gets as the answer.
TEST_CASE("serve: an informational response is not the answer", "[exchange][broken]")
{
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-Hint: 1\r\n\r\n";
    SECTION("the answer follows")
    {
        ScriptedTarget target([&](int, const std::string &, BlockingConnection &connection) {
            connection.write(interim + "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n" + std::string(ChatAnswer));
        });
        DataFixture fixture(dispatchAll(target.port()));
        for (const std::string &text : calls()) {
            CHECK_THAT(call(fixture, text), StartsWith("HTTP/1.1 200") && EndsWith(std::string(ChatAnswer)));
        }
    }
    SECTION("none follows")
    {
        ScriptedTarget target([&](int, const std::string &, BlockingConnection &connection) {
            connection.write(interim);
        });
        DataFixture fixture(dispatchAll(target.port()));
        CHECK_THAT(call(fixture, calls().front()), StartsWith("HTTP/1.1 502"));
    }
    SECTION("they do not end")
    {
        ThreadedTarget target([&](const std::string &, BlockingConnection &connection) {
            constexpr int most = 100'000;
            for (int i = 0; i < most && connection.tryWrite(interim); ++i) { }
        });
        DataFixture fixture(dispatchAll(target.port()));
        CHECK_THAT(call(fixture, calls().front()), StartsWith("HTTP/1.1 502"));
    }
}

// Guards against lines of a trailer that become fields of the header.
TEST_CASE("serve: a trailer becomes no part of the header", "[exchange][broken]")
{
    ScriptedTarget target([&](int, const std::string &, BlockingConnection &connection) {
        connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
                         "X-A: 1\r\n X-Trace: 1\r\n\r\n");
    });
    DataFixture fixture(dispatchAll(target.port()));
    CHECK_THAT(call(fixture, calls().front()),
               StartsWith("HTTP/1.1 200") && EndsWith("\r\n\r\nok") && !Contains("X-A") && !Contains("Trace"));
}

// Guards against a part of a body without a length that passes for the whole one, as the reset of the connection was
// reported to the write of the request only.
TEST_CASE("serve: a response that is reset while the request is still sent is not complete",
          "[exchange][broken][upload]")
{
    // The second part does not fit into the buffer for responses and is forwarded while it arrives.
    for (const std::string &part : { std::string("a part of the body"), std::string(200'000, 'p') }) {
        for (const ConnectionEnd end : { ConnectionEnd::Reset, ConnectionEnd::CloseWithUnreadInput }) {
            INFO("bytes: " << part.size() << " end: " << static_cast<int>(end));
            EarlyAnswerTarget target(EarlyAnswerTarget::withoutLength("X-A: 1\r\n", part), end);
            DataFixture fixture(dispatchAll(target.port()));
            const std::string body(UploadBytes, 'u');
            const std::string response =
                call(fixture, requestText("POST /services/orders-app/x", "Connection: close\r\n", body));
            bool complete = false;
            const std::string received = bodyOf(response, complete);
            if (part.size() < 1000) {
                CHECK_THAT(response, StartsWith("HTTP/1.1 502") && !Contains(part));
            } else {
                CHECK_FALSE(complete);
                CHECK(part.starts_with(received));
            }
            CHECK(target.answered() == 1);
            CHECK(fixture.await<coordination::DispatchFinished>().outcome == coordination::GrantOutcome::Interrupted);
        }
    }
}

// Guards against a stream whose reset looks like its end.
TEST_CASE("serve: a stream that is reset while the request is still sent is not complete", "[exchange][broken][upload]")
{
    const std::string event = "data: {\"choices\":[]}\n\n";
    const std::string body = R"({"model":"layout","stream":true,"messages":[{"role":"user","content":")"
        + std::string(UploadBytes, 'u') + R"("}]})";
    for (const ConnectionEnd end : { ConnectionEnd::Reset, ConnectionEnd::CloseWithUnreadInput }) {
        INFO("end: " << static_cast<int>(end));
        EarlyAnswerTarget target(EarlyAnswerTarget::withoutLength("Content-Type: text/event-stream\r\n", event), end);
        DataFixture fixture(dispatchAll(target.port()));
        bool complete = true;
        const std::string received = bodyOf(call(fixture, chatText(body, "Connection: close\r\n")), complete);
        CHECK_THAT(received, StartsWith(event) && Contains("event: error"));
        CHECK_FALSE(complete);
        CHECK(target.answered() == 1);
    }
}

// Guards against a whole response that is taken for a broken one, as its target does not read the rest of the request.
TEST_CASE("serve: a response without a length that ends while the request is still sent arrives whole",
          "[exchange][broken][upload]")
{
    for (const ConnectionEnd end : { ConnectionEnd::EndOfData, ConnectionEnd::EndOfDataThenReset }) {
        for (const std::string &whole : { std::string("the whole body"), std::string(200'000, 'p') }) {
            if (end == ConnectionEnd::EndOfDataThenReset && whole.size() > 1000) {
                continue; // The reset overtakes the end of a body that the host does not read meanwhile.
            }
            INFO("bytes: " << whole.size() << " end: " << static_cast<int>(end));
            EarlyAnswerTarget target(EarlyAnswerTarget::withoutLength("X-A: 1\r\n", whole), end);
            DataFixture fixture(dispatchAll(target.port()));
            const std::string body(UploadBytes, 'u');
            const std::string response =
                call(fixture, requestText("POST /services/orders-app/x", "Connection: close\r\n", body));
            bool complete = false;
            CHECK(response.starts_with("HTTP/1.1 200"));
            CHECK(bodyOf(response, complete) == whole);
            CHECK(complete);
            CHECK(fixture.await<coordination::DispatchFinished>().outcome == coordination::GrantOutcome::Complete);
        }
    }
}

// Guards against callers that wait for minutes: the whole request was written before the response was read, and a
// target that rejects a long one early reads no further.
TEST_CASE("serve: an early response arrives at once although its target reads no further", "[exchange][broken][upload]")
{
    using Clock = std::chrono::steady_clock;
    constexpr std::chrono::seconds soon{ 5 };
    const std::string refusal = "HTTP/1.1 413 Too Large\r\nContent-Length: 5\r\n\r\nlarge";
    const std::string event = "data: {\"choices\":[]}\n\n";
    const std::string stream =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(event)
        + chunk("data: [DONE]\n\n") + "0\r\n\r\n";
    for (const bool isStream : { false, true }) {
        INFO("stream: " << isStream);
        ThreadedTarget *running = nullptr;
        ThreadedTarget target(
            [&](const std::string &, BlockingConnection &connection) {
                connection.write(isStream ? stream : refusal);
                while (!running->stopping()) {
                    std::this_thread::sleep_for(std::chrono::milliseconds(20));
                }
            },
            ThreadedTarget::Input::HeaderOnly);
        running = &target;
        DataFixture fixture(dispatchAll(target.port()));
        const std::string upload(UploadBytes, 'u');
        const std::string text = isStream
            ? chatText(R"({"model":"layout","stream":true,"messages":[{"role":"user","content":")" + upload + R"("}]})",
                       "Connection: close\r\n")
            : requestText("POST /services/orders-app/x", "Connection: close\r\n", upload);
        const auto sent = Clock::now();
        const std::string response = call(fixture, text);
        CHECK(Clock::now() - sent < soon);
        bool complete = false;
        if (isStream) {
            CHECK_THAT(bodyOf(response, complete), StartsWith(event) && !Contains("event: error"));
        } else {
            CHECK_THAT(response, StartsWith("HTTP/1.1 413"));
            CHECK(bodyOf(response, complete) == "large");
        }
        CHECK(complete);
        CHECK(fixture.await<coordination::DispatchFinished>().outcome == coordination::GrantOutcome::Complete);
    }
}

// Guards against a request whose rest is written to the connection on which its stream is resumed. That can happen only
// since the response is read beside the write.
TEST_CASE("serve: a stream that is cut while the request is still sent is resumed by a request of its own",
          "[exchange][broken][upload]")
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    std::mutex mutex;
    std::vector<std::string> resumed;
    ThreadedTarget target(
        [&](const std::string &request, BlockingConnection &connection) {
            if (request.starts_with("POST")) {
                connection.write(head + chunk("id: 1\ndata: {\"choices\":[]}\n\n"));
                std::this_thread::sleep_for(std::chrono::milliseconds(100));
                connection.reset();
                return;
            }
            {
                const std::lock_guard lock(mutex);
                resumed.push_back(request);
            }
            connection.write(head + chunk("id: 2\ndata: {\"choices\":[]}\n\n") + chunk("data: [DONE]\n\n")
                             + "0\r\n\r\n");
        },
        ThreadedTarget::Input::HeaderOnly);
    DataFixture fixture(dispatchAll(target.port()));
    const std::string upload(UploadBytes, 'u');
    bool complete = false;
    const std::string received = bodyOf(
        call(fixture,
             chatText(R"({"model":"layout","stream":true,"messages":[{"role":"user","content":")" + upload + R"("}]})",
                      "Connection: close\r\n")),
        complete);
    CHECK(complete);
    CHECK_THAT(received, Contains("id: 1\n") && Contains("id: 2\n") && EndsWith("data: [DONE]\n\n"));
    const std::lock_guard lock(mutex);
    REQUIRE(resumed.size() == 1);
    CHECK_THAT(resumed.front(), StartsWith("GET /v1/streams/") && EndsWith("\r\n\r\n"));
}

// Guards against a rule for broken responses that rejects sound ones.
TEST_CASE("serve: sound responses of unusual form arrive whole", "[exchange][broken]")
{
    for (const std::string &response :
         { std::string("HTTP/1.1 200 OK\r\n\r\nsound\r\n body"),
           std::string("HTTP/1.0 200 OK\r\nX-A: 1\r\n\r\nsound\r\n body"),
           std::string("HTTP/1.1 299 Rare\r\nX-Empty:\r\nContent-Length: 12\r\n\r\nsound\r\n body"),
           std::string(
               "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nsound\r\n\r\n5\r\n body\r\n0\r\n\r\n") }) {
        for (const std::size_t piece : { response.size(), std::size_t{ 1 } }) {
            INFO(response << "\npiece: " << piece);
            ScriptedTarget target([&](int, const std::string &, BlockingConnection &connection) {
                for (std::size_t at = 0; at < response.size(); at += piece) {
                    connection.write(response.substr(at, piece));
                }
            });
            DataFixture fixture(dispatchAll(target.port()));
            CHECK_THAT(call(fixture, calls().front()), StartsWith("HTTP/1.1 2") && EndsWith("\r\n\r\nsound\r\n body"));
        }
    }
}

// Guards against the events of a target in trouble: its stream states no valid status, and it is not resumed from one.
TEST_CASE("serve: a stream is not resumed from a response that is none", "[exchange][broken]")
{
    for (const std::string_view head : { "HTTP/1.1 000 Broken\r\n", "HTTP/1.1 200 OK\r\nX-A: 1\r\n X-B: 2\r\n" }) {
        const std::string fields = "Content-Type: text/event-stream\r\n\r\n";
        ScriptedTarget target([&](int number, const std::string &, BlockingConnection &connection) {
            if (number == 0) {
                connection.write("HTTP/1.1 200 OK\r\n" + fields + "id: 1\ndata: {\"choices\":[]}\n\nid: 2");
            } else {
                connection.write(std::string(head) + fields + "id: 2\ndata: {\"choices\":[]}\n\ndata: [DONE]\n\n");
            }
        });
        DataFixture fixture(dispatchAll(target.port()));
        const std::string response = call(fixture, calls().back());
        CHECK_THAT(response, Contains("id: 1\n") && !Contains("id: 2") && !EndsWith("\r\n0\r\n\r\n"));
        CHECK(target.requests().size() > 1);
    }
}
