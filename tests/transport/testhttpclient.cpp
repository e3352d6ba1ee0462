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

std::unique_ptr<Listener> listenOnFreePort(asio::io_context &context)
{
    return state::handleFailure(
        [&] {
            return Listener::create(context, "127.0.0.1", 0);
        },
        [](const state::Failure &failure) -> std::unique_ptr<Listener> {
            FAIL(describe(failure));
            return nullptr;
        });
}

HttpOutcome sendNow(IoThread &thread, HttpClient &client, HttpCall call, state::Duration limit)
{
    return asio::co_spawn(thread.context(), client.send(std::move(call), limit), asio::use_future).get();
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

constexpr state::Duration Limit = std::chrono::seconds(10);

} // namespace

// Guards against a client that reuses a connection which the server has closed and so loses a call.
TEST_CASE("a client connects again after the server closed its connection", "[httpclient]")
{
    IoThread thread("test");
    std::atomic<int> calls = 0;
    HttpServer server(listenOnFreePort(thread.context()),
                      HttpServerLimits{},
                      [&](const HttpRequest &request) -> asio::awaitable<HttpResponse> {
                          HttpResponse response = makeResponse(request, http::status::ok, "text/plain", request.body());
                          response.keep_alive(calls.fetch_add(1) == 0); // the second answer closes the connection
                          co_return response;
                      });
    server.start();
    thread.start();
    HttpClient client(thread.context().get_executor(), Endpoint{ "127.0.0.1", server.port() });
    for (int i = 0; i < 4; ++i) {
        const auto outcome = sendNow(thread, client, post(std::to_string(i)), Limit);
        REQUIRE(outcome.ok());
        CHECK(outcome.body == std::to_string(i));
    }
    thread.stop();
}

// Guards against a peer or platform service that accepts a connection and never answers, which would stop a link.
TEST_CASE("a call ends at its time limit", "[httpclient]")
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
