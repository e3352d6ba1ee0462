#include "tests/transport/brokenheads.h"
#include "tests/transport/earlyanswertarget.h"
#include "tests/transport/loopback.h"
#include "transport/httpclient.h"
#include "transport/httpserver.h"
#include "transport/iothread.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>

#include <catch2/catch.hpp>

#include <atomic>

using namespace sapphirecove;
using namespace sapphirecove::transport;
namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

HttpOutcome sendNow(IoThread &thread, HttpClient &client, HttpCall call, state::Duration timeout)
{
    return asio::co_spawn(thread.context(), client.send(std::move(call), timeout), asio::use_future).get();
}

HttpCall post(std::string body)
{
    HttpCall call;
    call.method = http::verb::post;
    call.path = "/echo";
    call.body = std::move(body);
    call.bearerKey = "secret";
    return call;
}

constexpr state::Duration CallTimeout = std::chrono::seconds(10);

/** Calls a server that sends @p response, in pieces of @p pieceBytes, and ends the connection. */
HttpOutcome callServer(const std::string &response, std::size_t pieceBytes = 100'000)
{
    tests::ScriptedTarget server([&](int, const std::string &, tests::BlockingConnection &connection) {
        for (std::size_t at = 0; at < response.size(); at += pieceBytes) {
            connection.write(response.substr(at, pieceBytes));
        }
    });
    IoThread thread("test");
    thread.start();
    HttpClient client(thread.context().get_executor(), Endpoint{ "127.0.0.1", server.port() });
    return sendNow(thread, client, post("x"), CallTimeout);
}

} // namespace

// Guards against a client that reuses a connection which the server has closed and so loses a call.
TEST_CASE("a client reconnects after the server has closed its connection", "[httpclient]")
{
    IoThread thread("test");
    std::atomic<int> calls = 0;
    HttpServer server(tests::listenOnFreePort(thread.context()),
                      HttpServerLimits{},
                      [&](const HttpRequest &request) -> asio::awaitable<HttpResponse> {
                          HttpResponse response = makeResponse(request, http::status::ok, "text/plain", request.body());
                          response.keep_alive(calls.fetch_add(1) == 0); // the second response closes the connection
                          co_return response;
                      });
    server.start();
    thread.start();
    HttpClient client(thread.context().get_executor(), Endpoint{ "127.0.0.1", server.port() });
    for (int i = 0; i < 4; ++i) {
        const auto outcome = sendNow(thread, client, post(std::to_string(i)), CallTimeout);
        REQUIRE(outcome.ok());
        CHECK(outcome.body == std::to_string(i));
    }
    thread.stop();
}

// Guards against a call that never ends because the server accepts the connection but does not respond. Such a peer or
// platform service would block all further calls of the client.
TEST_CASE("a call fails when its timeout expires", "[httpclient]")
{
    IoThread thread("test");
    asio::ip::tcp::acceptor silent(thread.context(), asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    thread.start();
    HttpClient client(thread.context().get_executor(), Endpoint{ "127.0.0.1", silent.local_endpoint().port() });
    const auto outcome = sendNow(thread, client, post("x"), std::chrono::milliseconds(50));
    REQUIRE(outcome.failure);
    CHECK(outcome.failure->detail == "timed out");
    thread.stop();
}

// Guards against a request to operators or other hosts that runs although it was sent as the body of another one.
TEST_CASE("a server rejects a request whose end is not clear", "[httpserver][framing]")
{
    IoThread thread("test");
    std::atomic<int> calls = 0;
    HttpServer server(tests::listenOnFreePort(thread.context()),
                      HttpServerLimits{},
                      [&](const HttpRequest &request) -> asio::awaitable<HttpResponse> {
                          ++calls;
                          co_return makeResponse(request, http::status::ok, "text/plain", request.body());
                      });
    server.start();
    thread.start();
    const std::string inner = "POST /inner HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
    for (const std::string_view fields : { "Transfer-Encoding: identity\r\n",
                                           "Transfer-Encoding: chunked, identity\r\n",
                                           "Transfer-Encoding: gzip\r\n",
                                           "Content-Length: 0\r\nContent-Length: 0\r\n" }) {
        tests::BlockingConnection connection(server.port());
        connection.write("POST /outer HTTP/1.1\r\nHost: x\r\n" + std::string(fields) + "\r\n" + inner);
        CHECK(connection.readToEnd().starts_with("HTTP/1.1 400"));
    }
    CHECK(calls == 0);
    thread.stop();
}

// Guards against a key comparison on a malformed Authorization field.
TEST_CASE("the bearer key is read from the Authorization field only", "[httpserver]")
{
    http::fields fields;
    CHECK(bearerKey(fields).empty());
    fields.set(http::field::authorization, "Basic abc");
    CHECK(bearerKey(fields).empty());
    fields.set(http::field::authorization, "bearer abc");
    CHECK(bearerKey(fields) == "abc");
    fields.set(http::field::authorization, "Bearer ");
    CHECK(bearerKey(fields).empty());
}

// Guards against a store, peer or target in trouble whose bytes are taken for its answer: a write that was stored would
// count as rejected, and records would be read from what is no page.
TEST_CASE("a response that is none is a failure of the call", "[httpclient][broken]")
{
    for (const std::string &code : tests::invalidStatusCodes()) {
        INFO(code);
        CHECK(callServer("HTTP/1.1 " + code + " Broken\r\nContent-Length: 2\r\n\r\nok").failure);
    }
    for (const std::string &line : tests::invalidFieldLines()) {
        INFO(Catch::StringMaker<std::string>::convert(line));
        CHECK(callServer("HTTP/1.1 200 OK\r\nX-A: 1\r\n" + line + "\r\n\r\nok").failure);
    }
    for (const std::string_view fields : { "Content-Length: 2\r\nContent-Length: 2\r\n\r\nok",
                                           "Content-Length: 2, 2\r\n\r\nok",
                                           "Transfer-Encoding: gzip\r\n\r\nok",
                                           "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n" }) {
        INFO(fields);
        CHECK(callServer("HTTP/1.1 200 OK\r\n" + std::string(fields)).failure);
    }
}

// Guards against a part of a page that passes for the whole one.
TEST_CASE("a response that is reset while the call is still sent is a failure of the call",
          "[httpclient][broken][upload]")
{
    for (const tests::ConnectionEnd end : { tests::ConnectionEnd::Reset, tests::ConnectionEnd::CloseWithUnreadInput }) {
        INFO("end: " << static_cast<int>(end));
        tests::EarlyAnswerTarget server(tests::EarlyAnswerTarget::withoutLength("X-A: 1\r\n", "a part of the body"),
                                        end);
        IoThread thread("test");
        thread.start();
        HttpClient client(thread.context().get_executor(), Endpoint{ "127.0.0.1", server.port() });
        CHECK(sendNow(thread, client, post(std::string(7'000'000, 'u')), CallTimeout).failure);
        CHECK(server.answered() == 1);
    }
}

// Guards against bytes behind a response that are taken for the answer to the next call.
TEST_CASE("bytes behind a response belong to no call", "[httpclient][broken]")
{
    tests::ScriptedTarget server([](int number, const std::string &, tests::BlockingConnection &connection) {
        const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n";
        connection.write(response + std::to_string(number) + response + 'x');
        connection.readUntil("\r\n\r\n");
    });
    IoThread thread("test");
    thread.start();
    HttpClient client(thread.context().get_executor(), Endpoint{ "127.0.0.1", server.port() });
    for (int i = 0; i < 3; ++i) {
        const HttpOutcome outcome = sendNow(thread, client, post("x"), CallTimeout);
        REQUIRE(outcome.ok());
        CHECK(outcome.body == std::to_string(i));
    }
}

// Guards against a page that is cut and taken for a whole one.
TEST_CASE("a response that ends early is a failure of the call", "[httpclient][broken]")
{
    for (const std::string_view response : { "",
                                             "HTTP/1.1 200",
                                             "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok",
                                             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
                                             "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
                                             "HTTP/1.1 100 Continue\r\n\r\n" }) {
        INFO(response);
        CHECK(callServer(std::string(response)).failure);
    }
}

// Guards against an interim response that is taken for the answer, and against sound answers that are rejected.
TEST_CASE("a sound response of unusual form is received whole", "[httpclient][broken]")
{
    for (const std::string_view response :
         { "HTTP/1.1 200 OK\r\n\r\nsound\r\n body",
           "HTTP/1.0 200 OK\r\nX-A: 1\r\n\r\nsound\r\n body",
           "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nsound\r\n body",
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nsound\r\n\r\n5\r\n body\r\n0\r\n\r\n" }) {
        for (const std::size_t pieceBytes : { std::size_t{ 1 }, response.size() }) {
            INFO(response << "\npiece: " << pieceBytes);
            const HttpOutcome outcome = callServer(std::string(response), pieceBytes);
            CHECK(outcome.ok());
            CHECK(outcome.status == 200);
            CHECK(outcome.body == "sound\r\n body");
        }
    }
}
