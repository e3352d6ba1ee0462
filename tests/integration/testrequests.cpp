// Tests that send single requests through a fleet of real processes.
#include "tests/integration/traffic.h"
#include "tests/integration/waitfor.h"

#include "standins/completions.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace sapphirecove::integration;
namespace json = boost::json;

namespace {

std::size_t countWithKey(const std::vector<StandinRecord> &records, const std::string &key)
{
    return static_cast<std::size_t>(std::count_if(records.begin(), records.end(), [&](const auto &record) {
        return record.idempotencyKey == key;
    }));
}

HttpResponse printBadges(const Fleet &fleet, std::size_t host, const std::string &key)
{
    auto request = fleet.serviceCall(host, "POST", "/print/badges");
    if (!key.empty()) {
        request.headers["Idempotency-Key"] = key;
    }
    return call(request);
}

} // namespace

// Guards against responses that are truncated, reordered, mixed up or sent twice on the way through a host.
TEST_CASE("streamed and non-streamed responses arrive complete", "[fleet]")
{
    Fleet fleet;
    fleet.start();
    std::vector<ChatOutcome> outcomes;
    for (std::size_t host = 0; host < fleet.size(); ++host) {
        auto request = fleet.chatCall(host, "guest list of host " + std::to_string(host), 40);
        outcomes.push_back(chat(request));
        request.prompt += ", plain";
        request.isStreamed = false;
        outcomes.push_back(chat(request));
    }
    // A prompt of many cache blocks exceeds the sizes of the buffers.
    outcomes.push_back(chat(fleet.chatCall(0, std::string(60'000, 'x'), 500)));
    for (const auto &outcome : outcomes) {
        CAPTURE(outcome.status, outcome.reason, fleet.hostErrors());
        CHECK(outcome.isCorrect());
    }
    CHECK(verify(outcomes, fleet.engines().records()).violations.empty());
}

// Guards against a plain-service request whose method, path or body is changed on the way.
TEST_CASE("a plain-service request arrives unchanged", "[fleet]")
{
    Fleet fleet;
    fleet.start();
    auto request = fleet.serviceCall(1, "PUT", "/orders/17/status?full=1");
    request.body = R"({"status":"printed"})";
    const auto response = call(request);
    INFO(response.body << fleet.hostErrors());
    REQUIRE(response.status == 200);
    CHECK(textField(response.json(), "method") == "PUT");
    CHECK(textField(response.json(), "path") == "/orders/17/status?full=1");
    CHECK(textField(response.json(), "body_hash") == sapphirecove::standins::bodyHash(request.body));
}

// Guards against a request with an idempotency key that runs once for each host that receives it.
TEST_CASE("a request with an idempotency key runs once in the whole fleet", "[fleet]")
{
    Fleet fleet;
    fleet.start();
    CHECK(printBadges(fleet, 0, "order-1").status == 200);
    const auto duplicate = printBadges(fleet, 1, "order-1").json();
    CHECK(textField(duplicate, "reason") == "duplicate_request");
    CHECK(textField(duplicate, "executed") != "no");
    // The other host knows the outcome once the completion record has reached it.
    CHECK(waitFor([&] {
        return textField(printBadges(fleet, 1, "order-1").json(), "executed") == "yes";
    }));
    CHECK(countWithKey(fleet.services().records(), "order-1") == 1);

    std::vector<HttpResponse> responses(fleet.size());
    std::vector<std::thread> callers;
    for (std::size_t host = 0; host < fleet.size(); ++host) {
        callers.emplace_back([&, host] {
            responses[host] = printBadges(fleet, host, "order-2");
        });
    }
    for (auto &caller : callers) {
        caller.join();
    }
    const auto succeeded = std::count_if(responses.begin(), responses.end(), [](const auto &a) {
        return a.status == 200;
    });
    CHECK(succeeded == 1);
    CHECK(countWithKey(fleet.services().records(), "order-2") == 1);
}

// Guards against a second execution of a print order after the response to the first one was lost.
TEST_CASE("a request whose response is lost is not executed again", "[fleet]")
{
    Fleet fleet;
    fleet.start();
    for (std::size_t index = 0; index < 2; ++index) {
        fleet.services().setOptions({ { "lost_answer_rate", 1 }, { "path_prefix", "/print" } }, index);
    }
    const auto lost = printBadges(fleet, 0, "order-3").json();
    CHECK(textField(lost, "reason") == "outcome_unknown");
    CHECK(textField(lost, "executed") == "unknown");
    for (std::size_t host = 0; host < fleet.size(); ++host) {
        CHECK(textField(printBadges(fleet, host, "order-3").json(), "reason") == "duplicate_request");
    }
    CHECK(countWithKey(fleet.services().records(), "order-3") == 1);
}

// Guards against rejections that report "not executed" although the request has reached a target.
TEST_CASE("rejected requests reach no target", "[fleet]")
{
    Fleet fleet;
    fleet.start();
    auto wrongKey = fleet.chatCall(0, "wrong key");
    wrongKey.key = "unknown";
    auto wrongModel = fleet.chatCall(1, "wrong model");
    wrongModel.model = "unknown";
    auto lateCall = fleet.chatCall(2, "impossible deadline", 5000);
    lateCall.headers["X-Deadline-Ms"] = "50";
    const std::vector<ChatOutcome> outcomes{ chat(wrongKey), chat(wrongModel), chat(lateCall) };
    CHECK(outcomes[0].reason == "unauthorized");
    CHECK(outcomes[1].reason == "unknown_model");
    CHECK(outcomes[2].reason == "deadline_infeasible");
    for (const auto &outcome : outcomes) {
        CHECK(outcome.executed == "no");
    }
    CHECK(fleet.engines().records().empty());
    const auto keyless = printBadges(fleet, 0, "").json();
    CHECK(textField(keyless, "reason") == "key_required");
    CHECK(textField(keyless, "executed") == "no");
    CHECK(fleet.services().records().empty());
}

// Guards against interrupted streams whose request is sent a second time, or that end without the remaining tokens.
TEST_CASE("an interrupted stream is resumed, or its outcome is reported as unknown", "[fleet]")
{
    Fleet fleet;
    fleet.start();
    for (std::size_t index = 0; index < fleet.engines().ports().size(); ++index) {
        fleet.engines().setOptions({ { "break_after_tokens", 10 } }, index);
    }
    const auto resumed = chat(fleet.chatCall(0, "resumed", 40));
    CAPTURE(resumed.status, resumed.reason, fleet.hostErrors());
    CHECK(resumed.isCorrect());
    for (std::size_t index = 0; index < fleet.engines().ports().size(); ++index) {
        fleet.engines().setOptions({ { "resumes", false } }, index);
    }
    const auto broken = chat(fleet.chatCall(0, "broken", 40));
    CHECK_FALSE(broken.isComplete);
    CHECK(broken.reason == "outcome_unknown");
    CHECK(verify({ resumed, broken }, fleet.engines().records()).violations.empty());
}

// Guards against a stream that still occupies a slot of the engine after its caller has disconnected.
TEST_CASE("a caller that disconnects cancels its stream at the engine", "[fleet]")
{
    Fleet fleet;
    fleet.start();
    {
        HttpStream stream(fleet.chatCall(0, "left early", 4'000).toHttp());
        REQUIRE(stream.readEvents(3));
    }
    CHECK(waitFor([&] {
        const auto records = fleet.engines().records();
        return records.size() == 1 && records[0].state == "cancelled";
    }));
}
