#include "tests/transport/data/datafixture.h"

#include <catch2/catch.hpp>

using namespace sapphirecove;
using namespace sapphirecove::tests;
using Catch::Matchers::Contains;
using Catch::Matchers::StartsWith;

namespace {

constexpr std::string_view OkResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

std::string sendOnce(std::uint16_t port, std::string_view text)
{
    BlockingConnection caller(port);
    caller.write(text);
    return caller.readUntil("}");
}

} // namespace

// Guards against a refusal that gives the caller a wrong reason, or that says that the request may have run.
TEST_CASE("a request that fails a check is refused without an event", "[callers]")
{
    DataFixture fixture(dispatchNone());
    struct Row
    {
        std::string request;
        std::string status;
        std::string reason;
    };
    const std::vector<Row> rows{
        { "GET / HTTP/1.1\r\nHost: test\r\n\r\n", "401", "unauthorized" },
        { "GET / HTTP/1.1\r\nAuthorization: Bearer wrong-wrong-wrong\r\n\r\n", "401", "unauthorized" },
        { requestText("GET /nothing", "", ""), "404", "no_route" },
        { requestText("GET /services/none/x", "", ""), "404", "no_route" },
        { requestText("POST /services/orders-app/print/1", "", ""), "428", "key_required" },
        { requestText("GET /services/orders-app/x", "X-Tier: urgent\r\n", ""), "400", "bad_request" },
        { requestText("GET /services/orders-app/x", "X-Tier: none\r\n", ""), "400", "bad_request" },
        { requestText("GET /services/orders-app/x", "X-Deadline-Ms: -5\r\n", ""), "400", "bad_request" },
        { requestText("GET /services/orders-app/x", "Transfer-Encoding: identity\r\n", ""), "400", "bad_request" },
        { requestText("GET /services/orders-app/x", "Content-Length: 0\r\n", ""), "400", "bad_request" },
        { chatText("{"), "400", "bad_request" },
        { chatText(R"({"model":"none","messages":[{"role":"user","content":"x"}]})"), "404", "unknown_model" },
        { "nonsense\r\n\r\n", "400", "bad_request" },
    };
    for (const auto &row : rows) {
        const auto response = sendOnce(fixture.port(), row.request);
        CHECK_THAT(response, StartsWith("HTTP/1.1 " + row.status));
        CHECK_THAT(response, Contains("\"reason\":\"" + row.reason + '"'));
        CHECK_THAT(response, Contains("\"executed\":\"no\""));
    }
    CHECK(fixture.count<coordination::RequestArrived>() == 0);
}

// Guards against decisions on wrong data: tier, deadline, idempotency key and prompt size come from the request.
TEST_CASE("the event of an accepted request contains its properties", "[callers]")
{
    DataFixture fixture(dispatchNone());
    BlockingConnection caller(fixture.port());
    caller.write(chatText(NonStreamingBody, "X-Deadline-Ms: 5000\r\nIdempotency-Key: abc\r\n"));
    const auto info = fixture.await<coordination::RequestArrived>().request;
    CHECK(info.id == "host.7.1");
    CHECK(info.customer == "osu-events");
    CHECK(info.pool == "layout-llm");
    CHECK(info.tier == 1);
    CHECK(info.promptTokens == 1);
    CHECK(info.bodyBytes == NonStreamingBody.size());
    CHECK(info.idempotencyKey == std::optional<std::string>("abc"));
    const auto left = info.deadline - transport::SystemClock().now();
    CHECK(left <= std::chrono::seconds(5));
    CHECK(left > std::chrono::seconds(5) - TestTimeout);
}

// Guards against a limit without its own error response, or one that closes the connection without a response.
TEST_CASE("each limit of the listener has its own error response", "[callers]")
{
    transport::DataLimits limits;
    limits.headerBytes = 1024;
    limits.bodyBytes = 100;
    limits.connections = 2;
    limits.requests = 1;
    limits.receiveTimeout = std::chrono::milliseconds(200);
    DataFixture fixture(dispatchNone(), limits);
    CHECK_THAT(sendOnce(fixture.port(), requestText("GET /x", "X-Long: " + std::string(2000, 'x') + "\r\n", "")),
               StartsWith("HTTP/1.1 431") && Contains("too_large"));
    CHECK_THAT(sendOnce(fixture.port(), requestText("POST /services/orders-app/x", "", std::string(101, 'x'))),
               StartsWith("HTTP/1.1 413") && Contains("too_large"));
    CHECK_THAT(sendOnce(fixture.port(), "POST /v1/chat/completions HTTP/1.1\r\n"),
               StartsWith("HTTP/1.1 408") && Contains("slow_sender"));
    BlockingConnection first(fixture.port());
    first.write(requestText("GET /services/orders-app/x", "", ""));
    fixture.await<coordination::RequestArrived>();
    BlockingConnection second(fixture.port());
    second.write(requestText("GET /services/orders-app/x", "", ""));
    CHECK_THAT(second.readUntil("}"), StartsWith("HTTP/1.1 503") && Contains("too many requests"));
    BlockingConnection third(fixture.port());
    CHECK_THAT(third.readUntil("}"), Contains("overloaded"));
}

// Guards against a host that accepts requests while its decisions thread cannot take any.
TEST_CASE("a request is refused while the event ring is full", "[callers]")
{
    std::promise<void> release;
    auto blocked = release.get_future().share();
    DataFixture fixture(
        [blocked](DataFixture &, const coordination::Event &) {
            blocked.wait();
        },
        {},
        1);
    std::vector<std::unique_ptr<BlockingConnection>> callers;
    std::string response;
    // The blocked consumer holds at most one event and the ring one more, so the third request at the latest is
    // refused.
    for (int i = 0; i < 3 && response.empty(); ++i) {
        callers.push_back(std::make_unique<BlockingConnection>(fixture.port()));
        callers.back()->write(requestText("GET /services/orders-app/x", "", ""));
        if (i == 2) {
            response = callers.back()->readUntil("}");
        }
    }
    CHECK_THAT(response, StartsWith("HTTP/1.1 503") && Contains("overloaded"));
    release.set_value();
}

// Guards against an accepted request that is refused during a graceful shutdown.
TEST_CASE("a draining host refuses new requests and finishes accepted ones", "[callers]")
{
    ScriptedTarget target([](int, const std::string &, BlockingConnection &connection) {
        connection.write(OkResponse);
    });
    DataFixture fixture(dispatchNone());
    BlockingConnection accepted(fixture.port());
    accepted.write(requestText("GET /services/orders-app/x", "", ""));
    const auto id = fixture.await<coordination::RequestArrived>().request.id;
    std::promise<void> idle;
    fixture.onDataThread([&](transport::DataService &service) {
        service.drain();
        service.whenIdle([&] {
            idle.set_value();
        });
    });
    CHECK_THAT(sendOnce(fixture.port(), requestText("GET /services/orders-app/x", "", "")), Contains("draining"));
    fixture.dispatch(id, target.port());
    CHECK_THAT(accepted.readUntil("ok"), StartsWith("HTTP/1.1 200"));
    CHECK(idle.get_future().wait_for(TestTimeout) == std::future_status::ready);
}

// Guards against a request that stays in the queue after its caller has disconnected.
TEST_CASE("the disconnect of a waiting caller is reported and a later dispatch is not carried out", "[callers]")
{
    DataFixture fixture(dispatchNone());
    BlockingConnection caller(fixture.port());
    caller.write(requestText("GET /services/orders-app/x", "", ""));
    const auto id = fixture.await<coordination::RequestArrived>().request.id;
    caller.close();
    CHECK(fixture.await<coordination::CallerDisconnected>().request == id);
    fixture.dispatch(id, 1);
    CHECK(fixture.await<coordination::DispatchRefused>().request == id);
    CHECK(fixture.count<coordination::DispatchStarted>() == 0);
}

// Guards against responses of one connection that are duplicated, lost or out of order.
TEST_CASE("a connection serves several requests, also when they are pipelined", "[callers]")
{
    ScriptedTarget target([](int, const std::string &request, BlockingConnection &connection) {
        const auto path = request.substr(4, 2);
        connection.write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n" + path + ";");
    });
    DataFixture fixture(dispatchAll(target.port()));
    BlockingConnection caller(fixture.port());
    caller.write(requestText("GET /services/orders-app/1", "", "") + requestText("GET /services/orders-app/2", "", ""));
    CHECK_THAT(caller.readUntil(";"), Contains("/1;"));
    CHECK_THAT(caller.readUntil(";"), Contains("/2;"));
    caller.write(requestText("GET /services/orders-app/3", "", ""));
    CHECK_THAT(caller.readUntil(";"), Contains("/3;"));
}

// Guards against forwarding the caller's credentials to a target, and against a changed body.
TEST_CASE("a target gets the body unchanged and no credentials", "[callers]")
{
    ScriptedTarget target([](int, const std::string &, BlockingConnection &connection) {
        connection.write(OkResponse);
    });
    DataFixture fixture(dispatchAll(target.port()));
    BlockingConnection caller(fixture.port());
    caller.write(
        requestText("POST /services/orders-app/print/7?x=1", "Idempotency-Key: k1\r\nX-Own: 1\r\n", "body {}"));
    CHECK_THAT(caller.readUntil("ok"), Contains("X-Request-Id: host.7.1"));
    const auto request = target.requests().at(0);
    CHECK_THAT(request, StartsWith("POST /print/7?x=1 HTTP/1.1\r\n"));
    CHECK_THAT(request, Contains("Idempotency-Key: k1") && Contains("X-Own: 1") && Contains("X-Request-Id: host.7.1"));
    CHECK_THAT(request, !Contains("Authorization") && Catch::Matchers::EndsWith("body {}"));
}
