// Tests of the stand-ins themselves, because all other integration tests use them as their reference.
#include "standins/completions.h"
#include "tests/integration/chatcall.h"
#include "tests/integration/standin.h"
#include "tests/integration/waitfor.h"

#include <catch2/catch.hpp>

using namespace sapphirecove::integration;
namespace json = boost::json;

namespace {

const char *const FastEngine = R"({"prefill_tokens_per_second":100000,"decode_tokens_per_second":1000})";

/** Size of four blocks of the prefix cache, and of five tokens of a completion. */
constexpr std::size_t FourBlocksBytes = 4096;
constexpr std::size_t FiveTokensBytes = 20;

ChatCall callOf(const Standin &engine, const std::string &prompt, int maxTokens)
{
    ChatCall call{ engine.port(), "", "m", prompt, maxTokens, true, {} };
    call.headers["X-Request-Id"] = "request-" + sapphirecove::standins::bodyHash(prompt);
    return call;
}

HttpResponse append(std::uint16_t port, const std::string &record)
{
    return call({ port, "POST", "/v1/streams/claims/records", R"({"records":[)" + record + "]}", {} });
}

std::size_t countRecords(std::uint16_t port)
{
    const auto response = call({ port, "GET", "/v1/streams/claims/records?from=0" });
    return response.json().at("records").as_array().size();
}

} // namespace

// Guards against tests that compare with a wrong reference: streamed, plain and resumed completions must agree.
TEST_CASE("the engine's completions are determined by prompt and length", "[standins]")
{
    const TempFolder folder;
    const Standin engine(folder, "engine", { "--options", FastEngine });
    auto plain = callOf(engine, "guest list", 12);
    plain.isStreamed = false;
    CHECK(chat(plain).isCorrect());
    const auto streamed = callOf(engine, "guest list", 12);
    CHECK(chat(streamed).isCorrect());

    HttpStream rest({ engine.port(),
                      "GET",
                      "/v1/streams/" + streamed.headers.at("X-Request-Id"),
                      {},
                      { { "Last-Event-ID", "5" } } });
    rest.readAll();
    CHECK(outcomeOf(streamed, rest).content == outcomeOf(streamed, rest).expected.substr(FiveTokensBytes));
    CHECK(outcomeOf(streamed, rest).isComplete);
}

// Guards against prefix tokens found in the cache that are counted as wasted work, and against a cache without size
// limit.
TEST_CASE("the engine's prefix cache skips cached blocks and reports its changes", "[standins]")
{
    const TempFolder folder;
    const Standin engine(
        folder,
        "engine",
        { "--options", R"({"cache_blocks":4,"cache_event_lag_ms":0,"decode_tokens_per_second":1000})" });
    const std::string prefix(FourBlocksBytes, 'a');
    CHECK(chat(callOf(engine, prefix + "first", 1)).isCorrect());
    CHECK(chat(callOf(engine, prefix + "second", 1)).isCorrect());
    CHECK(chat(callOf(engine, std::string(FourBlocksBytes, 'b'), 1)).isCorrect());
    CHECK(chat(callOf(engine, prefix + "third", 1)).isCorrect());
    const auto records = engine.control("GET", "/standin/records").at("records").as_array();
    CHECK(records[0].at("cached_tokens").as_int64() == 0);
    CHECK(records[1].at("cached_tokens").as_int64() == 1024);
    CHECK(records[3].at("cached_tokens").as_int64() == 0);
    const auto events = call({ engine.port(), "GET", "/v1/cache_events?from=0" }).json();
    CHECK(events.at("events").as_array()[0].at("kind").as_string() == "added");
    CHECK(events.at("events").as_array()[0].at("hashes").as_array().size() == 3);
    CHECK(events.at("events").as_array()[2].at("kind").as_string() == "removed");
}

// Guards against a batch that starts more requests than it has slots, and against a cancelled request that keeps its
// slot.
TEST_CASE("the engine admits in arrival order and frees the slot of a cancelled stream", "[standins]")
{
    const TempFolder folder;
    const Standin engine(folder, "engine", { "--options", R"({"streams":1,"load_lag_ms":0})" });
    const auto longCall = callOf(engine, "long", 100000);
    HttpStream running(longCall.toHttp());
    REQUIRE(running.readEvents(1));
    const auto nextCall = callOf(engine, "next", 2);
    HttpStream waiting(nextCall.toHttp());
    REQUIRE(waitFor([&] {
        return call({ engine.port(), "GET", "/v1/load" }).json().at("waiting").as_int64() == 1;
    }));
    const auto id = longCall.headers.at("X-Request-Id");
    CHECK(call({ engine.port(), "POST", "/v1/streams/" + id + "/cancel" }).status == 200);
    waiting.readAll();
    CHECK(outcomeOf(nextCall, waiting).isCorrect());
    CHECK(engine.records()[0].state == "cancelled");
}

// Guards against tests of fencing and of faulty versions that pass only because the stand-in doesn't simulate them.
TEST_CASE("orders load versions, check fencing, and faults follow the version", "[standins]")
{
    const TempFolder folder;
    const Standin engine(
        folder,
        "engine",
        { "--options",
          R"({"load_time_ms":1,"decode_tokens_per_second":1000,"versions":{"v2":{"error_rate":1,"after_requests":1}}})" });
    const auto order = [&](const std::string &version, int fencing) {
        const auto body = json::serialize(
            json::value{ { "order", "load_version" }, { "version", version }, { "fencing", fencing }, { "id", "1" } });
        return call({ engine.port(), "POST", "/v1/orders", body, {} }).status;
    };
    CHECK(order("v2", 7) == 200);
    CHECK(order("v1", 6) == 409);
    REQUIRE(waitFor([&] {
        return HttpStream(callOf(engine, "probe", 1).toHttp()).header("X-Version") == "v2";
    }));
    CHECK(chat(callOf(engine, "after", 1)).status == 500);
    engine.setOptions({ { "checks_fencing", false } });
    CHECK(order("v1", 6) == 200);
    CHECK(waitFor([&] {
        return chat(callOf(engine, "restored", 1)).isCorrect();
    }));
}

// Guards against a log that loses the record together with the response, and against one that never rejects an append.
TEST_CASE("the log keeps records whose response is lost, and rejects appends above its rate", "[standins]")
{
    const TempFolder folder;
    const Standin log(folder, "log", { "--options", R"({"appends_per_second":1})" });
    log.setOptions({ { "lose_answers", 1 } });
    CHECK(append(log.port(), "1").status == 0);
    CHECK(countRecords(log.port()) == 1);
    CHECK(append(log.port(), "2").status == 429);
    log.setOptions({ { "appends_per_second", 100000 }, { "outage", true } });
    CHECK(append(log.port(), "3").status == 503);
    log.setOptions({ { "outage", false }, { "stale_read_ms", 600000 } });
    CHECK(append(log.port(), "4").json().at("offset").as_int64() == 1);
    CHECK(countRecords(log.port()) == 0);
    log.setOptions({ { "stale_read_ms", 0 } });
    CHECK(countRecords(log.port()) == 2);
}

// Guards against a host list without lag, which would hide decisions made on outdated entries.
TEST_CASE("the host list shows a change only after its lag", "[standins]")
{
    const TempFolder folder;
    folder.write("hosts.json", R"({"hosts":[],"targets":[{"id":"t","state":"live"}]})");
    const Standin list(
        folder, "hosts", { "--file", (folder / "hosts.json").string(), "--options", R"({"lag_ms":600000})" });
    const auto state = [&] {
        const auto response = call({ list.port(), "GET", "/v1/hosts" }).json();
        return textField(response.at("targets").as_array()[0], "state");
    };
    list.control("POST", "/standin/targets/t", R"({"state":"leaving"})");
    CHECK(state() == "live");
    list.setOptions({ { "lag_ms", 0 } });
    CHECK(state() == "leaving");
}

// Guards against an engine that serves a version before its weights are loaded.
TEST_CASE("an engine loads a version from the weight store and waits until an outage of the store ends", "[standins]")
{
    const TempFolder folder;
    const Standin store(folder, "weights", { "--options", R"({"version_bytes":1000000,"outage":true})" });
    const auto options = json::serialize(
        json::value{ { "weights", "127.0.0.1:" + std::to_string(store.port()) }, { "load_lag_ms", 0 } });
    const Standin engine(folder, "engine", { "--options", options });
    call(
        { engine.port(), "POST", "/v1/orders", R"({"order":"load_version","version":"v2","fencing":1,"id":"1"})", {} });
    const auto report = [&] {
        return call({ engine.port(), "GET", "/v1/load" }).json();
    };
    REQUIRE(waitFor([&] {
        return report().at("loading").as_bool();
    }));
    CHECK(textField(report(), "version") == "v1");
    store.setOptions({ { "outage", false } });
    CHECK(waitFor([&] {
        return textField(report(), "version") == "v2";
    }));
    CHECK_FALSE(report().at("loading").as_bool());
    CHECK(store.control("GET", "/standin/records").at("bytes").as_int64() == 1000000);
}

// Guards against network faults that are not simulated: when a response is lost, the call must have been executed.
TEST_CASE("the proxy drops responses and bytes, freezes, cuts and refuses connections", "[standins]")
{
    const TempFolder folder;
    const Standin service(folder, "service", {});
    const Standin proxy(folder, "proxy", { "--route", "a=0=127.0.0.1:" + std::to_string(service.port()) }, 2);
    const auto fault = [&](const std::string &options) {
        proxy.control("POST", "/standin/routes/a", options);
    };
    const auto calls = [&] {
        return service.records().size();
    };
    const HttpCall request{ proxy.port(1), "GET", "/status", {}, {}, std::chrono::milliseconds(300) };
    CHECK(call(request).status == 200);
    fault(R"({"lose_answers":true})");
    CHECK(call(request).status == 0);
    CHECK(calls() == 2);
    fault(R"({"lose_answers":false,"drop_to_server":true})");
    CHECK(call(request).status == 0);
    CHECK(calls() == 2);
    fault(R"({"drop_to_server":false,"freeze":true})");
    CHECK(call(request).status == 0);
    proxy.control("POST", "/standin/routes/a/cut");
    fault(R"({"freeze":false,"refuse_new":true})");
    CHECK(call(request).status == 0);
    fault(R"({"refuse_new":false})");
    CHECK(call(request).status == 200);
    CHECK(calls() == 3);
}
