#include "tests/transport/brokenheads.h"
#include "tests/transport/earlyanswertarget.h"
#include "tests/transport/entry/entryfixture.h"

#include <catch2/catch.hpp>

#include <array>
#include <atomic>
#include <string>

using namespace sapphirecove;
using namespace sapphirecove::tests;
using namespace sapphirecove::tests::entry;

namespace {

constexpr std::string_view EventStream = "Content-Type: text/event-stream\r\n";

/** Bytes of a body that exceed the buffers of two sockets and stay below the limit for bodies. */
constexpr std::size_t UploadBytes = 4'000'000;

/** A call to a route of each kind. */
struct Call
{
    std::string_view path;
    std::string_view method;
};
constexpr std::array Calls{ Call{ CommitPath, "POST" },
                            Call{ LookupPath, "GET" },
                            Call{ StreamPath, "GET" },
                            Call{ NonResumableStreamPath, "GET" } };

std::string idOf(const std::string &request)
{
    constexpr std::string_view name = "X-Attempt-Id: ";
    const std::size_t at = request.find(name) + name.size();
    return request.substr(at, request.find('\r', at) - at);
}

std::string signedFields(const std::string &id)
{
    return "X-Attempt-Id: " + id + "\r\n" + std::string(Seal);
}

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
}

std::string wholeResponse(const std::string &request)
{
    return "HTTP/1.1 200 OK\r\n" + signedFields(idOf(request)) + "Content-Length: 5\r\n\r\nwhole";
}

/** Sends a request with a long body and returns everything until the connection ends. */
std::string upload(const EntryFixture &fixture, std::string_view path)
{
    BlockingConnection caller(fixture.settings().callers.port);
    caller.write("POST " + std::string(path)
                 + "x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: a1\r\nX-Deadline-Ms: 3000\r\nX-Api-Key: k1\r\n"
                   "Connection: close\r\nContent-Length: "
                 + std::to_string(UploadBytes) + "\r\n\r\n" + std::string(UploadBytes, 'u'));
    return caller.readToEnd();
}

} // namespace

// Guards against an answer of a target in trouble that is none in HTTP and reaches the caller.
TEST_CASE("a response with a status code that does not exist reaches no caller", "[entry][host][broken]")
{
    const auto check = [](const std::string &code, const std::string &fields, const Call &call) {
        INFO(code << ' ' << call.path << '\n' << fields);
        ScriptedTarget target([&](int, const std::string &, BlockingConnection &connection) {
            connection.write("HTTP/1.1 " + code + " Broken\r\n" + fields + std::string(EventStream)
                             + "Content-Length: " + std::to_string(event(1).size()) + "\r\n\r\n" + event(1));
        });
        EntryFixture fixture({ target.port() });
        CHECK_THAT(fixture.call(call.path, "a1", call.method),
                   Catch::StartsWith("HTTP/1.1 502") && !Catch::Contains("data: e1"));
        CHECK(target.requests().size() == 1);
    };
    for (const std::string &code : invalidStatusCodes()) {
        check(code, signedFields("a1"), Calls.front());
    }
    for (const std::string &fields : { signedFields("a1"), std::string("X-Attempt-Id: a1\r\n"), std::string() }) {
        for (const Call &call : Calls) {
            check("000", fields, call);
        }
    }
}

// Guards against a broken answer on a connection that is used again, and against one that ends a repeatable request.
TEST_CASE("a request that may be repeated is answered by another target after a broken response",
          "[entry][host][broken]")
{
    for (const std::string_view head : { "HTTP/1.1 000 Broken\r\n", "HTTP/1.1 200 OK\r\nX-A: 1\r\n X-B: 2\r\n" }) {
        std::atomic<int> broken = 0;
        const auto script = [&](int, const std::string &first, BlockingConnection &connection) {
            connection.write(wholeResponse(first));
            const std::string request = connection.readRequest();
            if (request.empty()) {
                return;
            }
            ++broken;
            connection.write(std::string(head) + signedFields(idOf(request)) + "Content-Length: 3\r\n\r\nbad");
        };
        ScriptedTarget one(script);
        ScriptedTarget two(script);
        EntryFixture fixture({ one.port(), two.port() });
        for (int i = 0; i < 6; ++i) {
            const std::string id = "a" + std::to_string(i);
            CHECK_THAT(fixture.call(LookupPath, id), Catch::StartsWith("HTTP/1.1 200") && Catch::EndsWith("whole"));
        }
        CHECK(broken > 0);
    }
}

// Guards against a stream that goes on with the answer of a target in trouble.
TEST_CASE("a resumed stream takes no event from a response that is none", "[entry][host][broken]")
{
    for (const std::string_view head : { "HTTP/1.1 000 Broken\r\n", "HTTP/1.1 200 OK\r\nX-A: 1\r\n X-B: 2\r\n" }) {
        std::atomic<int> requests = 0;
        const auto script = [&](int, const std::string &request, BlockingConnection &connection) {
            const std::string fields = signedFields(idOf(request)) + std::string(EventStream);
            if (requests++ == 0) {
                connection.write("HTTP/1.1 200 OK\r\n" + fields + "\r\n" + event(1) + "id: 2\nda");
            } else {
                connection.write(std::string(head) + fields + "\r\n" + event(2));
            }
        };
        ScriptedTarget one(script);
        ScriptedTarget two(script);
        EntryFixture fixture({ one.port(), two.port() });
        const std::string response = fixture.call(StreamPath);
        CHECK(requests == 2);
        CHECK_THAT(response, Catch::Contains(event(1)) && !Catch::Contains("e2") && !Catch::EndsWith("0\r\n\r\n"));
    }
}

// Guards against a line that this host, its target or the caller read as different fields.
TEST_CASE("a response with a blank or control byte in the name of a field reaches no caller", "[entry][host][broken]")
{
    const auto check = [](const std::string &line, bool first, const Call &call) {
        INFO(Catch::StringMaker<std::string>::convert(line) << " first: " << first << ' ' << call.path);
        const std::string fields = signedFields("a1") + std::string(EventStream);
        ScriptedTarget target([&](int, const std::string &, BlockingConnection &connection) {
            connection.write("HTTP/1.1 200 OK\r\n" + (first ? line + "\r\n" + fields : fields + line + "\r\n") + "\r\n"
                             + event(1));
        });
        EntryFixture fixture({ target.port() });
        CHECK_THAT(fixture.call(call.path, "a1", call.method),
                   Catch::StartsWith("HTTP/1.1 502") && !Catch::Contains("Trace") && !Catch::Contains("data: e1"));
    };
    for (const std::string &line : invalidFieldLines()) {
        check(line, true, Calls.front());
        check(line, false, Calls.front());
    }
    for (const std::string line : { "\tContent-Length: 2", "X-\x01Trace: 1" }) {
        for (const Call &call : Calls) {
            check(line, false, call);
        }
    }
}

// Guards against lines of a trailer that become fields of the header.
TEST_CASE("a trailer becomes no part of the header", "[entry][host][broken]")
{
    const auto callWithTrailer = [](std::string_view lines) {
        ScriptedTarget target([&](int, const std::string &, BlockingConnection &connection) {
            connection.write("HTTP/1.1 200 OK\r\n" + signedFields("a1")
                             + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + std::string(lines) + "\r\n");
        });
        EntryFixture fixture({ target.port() });
        return fixture.call(CommitPath, "a1", "POST");
    };
    for (const std::string_view lines :
         { "X-Trace: 1\r\n", "X-A: 1\r\n X-Trace: 1\r\n", "Connection: X-Server-Seal\r\n", "Retry-After: 9\r\n" }) {
        INFO(lines);
        CHECK_THAT(callWithTrailer(lines),
                   Catch::StartsWith("HTTP/1.1 200") && Catch::Contains(std::string(Seal))
                       && Catch::EndsWith("\r\n\r\nok") && !Catch::Contains("Trace")
                       && !Catch::Contains("Retry-After"));
    }
    for (const std::string_view lines : { "X-Trace : 1\r\n", "X-\x01Trace: 1\r\n" }) {
        INFO(lines);
        CHECK_THAT(callWithTrailer(lines), Catch::StartsWith("HTTP/1.1 502") && !Catch::Contains("Trace"));
    }
}

// Guards against a part of a body without a length that passes for the whole one, as the reset of the connection was
// reported to the write of the request only.
TEST_CASE("a response that is reset while the request is still sent is not complete", "[entry][host][broken][upload]")
{
    for (const ConnectionEnd end : { ConnectionEnd::Reset, ConnectionEnd::CloseWithUnreadInput }) {
        for (const std::string_view path : { CommitPath, LookupPath }) {
            INFO(path << " end: " << static_cast<int>(end));
            EarlyAnswerTarget target(EarlyAnswerTarget::withoutLength(signedFields("a1"), "a part of the body"), end);
            EntryFixture fixture({ target.port() });
            const std::string response = upload(fixture, path);
            CHECK_THAT(response, Catch::StartsWith("HTTP/1.1 502") && !Catch::Contains("a part of the body"));
            CHECK(target.answered() == 1);
        }
        for (const std::string_view path : { StreamPath, NonResumableStreamPath }) {
            INFO(path << " end: " << static_cast<int>(end));
            const std::string fields = signedFields("a1") + std::string(EventStream);
            EarlyAnswerTarget target(EarlyAnswerTarget::withoutLength(fields, event(1) + event(2)), end);
            EntryFixture fixture({ target.port() });
            const std::string response = upload(fixture, path);
            CHECK_THAT(response, Catch::Contains(event(1) + event(2)) && !Catch::EndsWith("0\r\n\r\n"));
            CHECK(target.answered() == 1);
        }
    }
}

// Guards against a whole response that is taken for a broken one, as its target does not read the rest of the request.
TEST_CASE("a response without a length that ends while the request is still sent arrives whole",
          "[entry][host][broken][upload]")
{
    for (const ConnectionEnd end : { ConnectionEnd::EndOfData, ConnectionEnd::EndOfDataThenReset }) {
        INFO("end: " << static_cast<int>(end));
        {
            EarlyAnswerTarget target(EarlyAnswerTarget::withoutLength(signedFields("a1"), "the whole body"), end);
            EntryFixture fixture({ target.port() });
            CHECK_THAT(upload(fixture, CommitPath),
                       Catch::StartsWith("HTTP/1.1 200") && Catch::EndsWith("\r\n\r\nthe whole body"));
        }
        const std::string fields = signedFields("a1") + std::string(EventStream);
        EarlyAnswerTarget target(EarlyAnswerTarget::withoutLength(fields, event(1) + event(2)), end);
        EntryFixture fixture({ target.port() });
        CHECK_THAT(upload(fixture, NonResumableStreamPath),
                   Catch::StartsWith("HTTP/1.1 200") && Catch::Contains(event(1) + event(2))
                       && Catch::EndsWith("\r\n0\r\n\r\n"));
    }
}

// Guards against a rule for broken responses that rejects sound ones.
TEST_CASE("sound responses of unusual form arrive whole", "[entry][host][broken]")
{
    const std::string id = "X-Attempt-Id: a1\r\n" + std::string(Seal);
    for (const std::string &response :
         { "HTTP/1.1 200 OK\r\n" + id + "\r\nsound\r\n body",
           "HTTP/1.0 200 OK\r\n" + id + "\r\nsound\r\n body",
           "HTTP/1.1 200 \r\n" + id + "X-Empty:\r\nX-Blank: \t\r\n\r\nsound\r\n body",
           "HTTP/1.1 299 Rare\r\n" + id + "Content-Length: 12\r\n\r\nsound\r\n body",
           "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-Hint: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + id
               + "Content-Length: 12\r\n\r\nsound\r\n body",
           "HTTP/1.1 599 Rare\r\n" + id + "Content-Length: 12\r\n\r\nsound\r\n body",
           "HTTP/1.1 200 OK\r\n" + id
               + "Transfer-Encoding: chunked\r\n\r\n7\r\nsound\r\n\r\n5;x=1\r\n body\r\n0\r\n\r\n" }) {
        // The pieces have their own arrival, so that parts of the header are read alone.
        for (const std::size_t piece : { response.size(), std::size_t{ 7 }, std::size_t{ 1 } }) {
            INFO(response << "\npiece: " << piece);
            ScriptedTarget target([&](int, const std::string &, BlockingConnection &connection) {
                for (std::size_t at = 0; at < response.size(); at += piece) {
                    connection.write(response.substr(at, piece));
                    if (piece < response.size()) {
                        std::this_thread::sleep_for(std::chrono::microseconds(200));
                    }
                }
            });
            EntryFixture fixture({ target.port() });
            const std::string received = fixture.call(CommitPath, "a1", "POST");
            CHECK_THAT(received, Catch::Contains("\r\n\r\nsound\r\n body"));
            CHECK(received.substr(9, 3) == response.substr(response.rfind("HTTP/1.") + 9, 3));
        }
    }
}
