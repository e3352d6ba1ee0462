// Tests in which a single process fails while the fleet serves traffic.
#include "tests/integration/traffic.h"
#include "tests/integration/waitfor.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>

using namespace sapphirecove::integration;

namespace {

constexpr std::size_t ThreadCount = 8;
constexpr int ShortCompletionTokens = 20;
constexpr std::size_t RequiredCalls = 30;
constexpr std::size_t LongStreamCount = 6;
constexpr int LongCompletionTokens = 600;
/** Time after which a target listed as leaving gets no new requests (guarantee 7 of docs/design.md). */
constexpr auto LeavingBound = std::chrono::seconds(5);

std::vector<ChatOutcome> outcomesOf(const std::vector<TrafficCall> &trafficCalls)
{
    std::vector<ChatOutcome> outcomes;
    outcomes.reserve(trafficCalls.size());
    for (const auto &trafficCall : trafficCalls) {
        outcomes.push_back(trafficCall.outcome);
    }
    return outcomes;
}

/** Counts the calls to hosts that did not fail that neither completed correctly nor were rejected with a reason. */
std::size_t countUnexplainedFailures(const std::vector<TrafficCall> &trafficCalls, std::size_t failedHost)
{
    return static_cast<std::size_t>(
        std::count_if(trafficCalls.begin(), trafficCalls.end(), [&](const TrafficCall &trafficCall) {
            return trafficCall.host != failedHost && !trafficCall.outcome.isCorrect()
                && trafficCall.outcome.reason.empty();
        }));
}

std::int64_t wallClockUs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

HttpResponse printBadges(const Fleet &fleet, std::size_t host, const std::string &key)
{
    auto request = fleet.serviceCall(host, "POST", "/print/badges");
    request.headers["Idempotency-Key"] = key;
    return call(request);
}

} // namespace

// Guards against a host failure that makes requests at other hosts fail or run twice.
TEST_CASE("the other hosts continue to serve when a host is killed", "[fleet][failures]")
{
    Fleet fleet;
    fleet.start();
    Traffic traffic(fleet, ThreadCount, ShortCompletionTokens);
    REQUIRE(traffic.waitForCorrect(RequiredCalls));
    fleet.host(2).kill();
    traffic.excludeHost(2);
    INFO(fleet.hostErrors());
    CHECK(traffic.waitForCorrect(RequiredCalls));
    const auto trafficCalls = traffic.stop();
    CHECK(countUnexplainedFailures(trafficCalls, 2) == 0);
    const auto verification = verify(outcomesOf(trafficCalls), fleet.engines().records());
    CAPTURE(verification.violations, verification.correct, verification.rejected);
    CHECK(verification.violations.empty());
}

// Guards against an arbiter that grants slots from outdated state when it resumes after a pause.
TEST_CASE("pausing and resuming a host neither corrupts nor duplicates requests", "[fleet][failures]")
{
    Fleet fleet;
    fleet.start();
    Traffic traffic(fleet, ThreadCount, ShortCompletionTokens);
    REQUIRE(traffic.waitForCorrect(RequiredCalls));
    fleet.host(1).signal(SIGSTOP);
    traffic.excludeHost(1);
    CHECK(traffic.waitForCorrect(RequiredCalls));
    fleet.host(1).signal(SIGCONT);
    CHECK(traffic.waitForCorrect(RequiredCalls));
    const auto trafficCalls = traffic.stop();
    CHECK(countUnexplainedFailures(trafficCalls, 1) == 0);
    CHECK(waitFor([&] {
        return chat(fleet.chatCall(1, "after the pause", ShortCompletionTokens)).isCorrect();
    }));
    const auto verification = verify(outcomesOf(trafficCalls), fleet.engines().records());
    CAPTURE(verification.violations, verification.correct, verification.rejected, fleet.hostErrors());
    CHECK(verification.violations.empty());
}

// Guards against a graceful shutdown that interrupts requests or never completes.
TEST_CASE("a graceful shutdown under load interrupts no stream", "[fleet][failures]")
{
    Fleet fleet;
    fleet.start();
    Traffic traffic(fleet, 4, ShortCompletionTokens);
    std::vector<ChatCall> calls;
    std::vector<std::unique_ptr<HttpStream>> streams;
    for (std::size_t number = 0; number < LongStreamCount; ++number) {
        calls.push_back(fleet.chatCall(1, "long stream " + std::to_string(number), LongCompletionTokens));
        streams.push_back(std::make_unique<HttpStream>(calls.back().toHttp()));
        REQUIRE(streams.back()->readEvents(1));
    }
    fleet.host(1).signal(SIGTERM);
    traffic.excludeHost(1);
    CHECK(waitFor([&] {
        return !fleet.isReady(1);
    }));
    std::vector<ChatOutcome> outcomes;
    for (std::size_t number = 0; number < LongStreamCount; ++number) {
        streams[number]->readAll();
        outcomes.push_back(outcomeOf(calls[number], *streams[number]));
        CAPTURE(outcomes.back().reason, outcomes.back().content.size(), fleet.hostErrors());
        CHECK(outcomes.back().isCorrect());
    }
    const auto exitCode = fleet.host(1).waitExit(DefaultWaitTimeout);
    REQUIRE(exitCode);
    CHECK(*exitCode == 0);
    CHECK(traffic.waitForCorrect(RequiredCalls));
    const auto trafficCalls = traffic.stop();
    // Calls of the background traffic in progress at the stopped host must not have failed without a reason, either.
    CHECK(countUnexplainedFailures(trafficCalls, fleet.size()) == 0);
    auto all = outcomesOf(trafficCalls);
    all.insert(all.end(), outcomes.begin(), outcomes.end());
    const auto verification = verify(all, fleet.engines().records());
    CAPTURE(verification.violations, verification.correct, verification.rejected);
    CHECK(verification.violations.empty());
}

// Guards against requests without idempotency key that wait for the log although they need no claim, and against
// requests with a key that run without a claim.
TEST_CASE("without the log, requests without keys are served and keyed ones are rejected as not executed",
          "[fleet][failures]")
{
    Fleet fleet;
    fleet.start();
    Traffic traffic(fleet, ThreadCount, ShortCompletionTokens);
    REQUIRE(traffic.waitForCorrect(RequiredCalls));
    fleet.log().setOptions({ { "outage", true } });
    CHECK(traffic.waitForCorrect(RequiredCalls));
    const auto rejection = printBadges(fleet, 0, "order-1").json();
    CHECK(textField(rejection, "reason") == "claims_unavailable");
    CHECK(textField(rejection, "executed") == "no");
    CHECK(fleet.services().records().empty());
    fleet.log().setOptions({ { "outage", false } });
    CHECK(waitFor([&] {
        return printBadges(fleet, 0, "order-2").status == 200;
    }));
    const auto trafficCalls = traffic.stop();
    CHECK(countUnexplainedFailures(trafficCalls, fleet.size()) == 0);
    const auto verification = verify(outcomesOf(trafficCalls), fleet.engines().records());
    CAPTURE(verification.violations, verification.correct, verification.rejected, fleet.hostErrors());
    CHECK(verification.violations.empty());
}

// Guards against claims that are made twice, or lost, when the log's response to an append is lost.
TEST_CASE("a claim whose append response is lost is found by reading the log", "[fleet][failures]")
{
    Fleet fleet;
    fleet.start();
    fleet.log().setOptions({ { "lose_answers", 1 } });
    const auto response = printBadges(fleet, 0, "order-1");
    INFO(response.body << fleet.hostErrors());
    CHECK(response.status == 200);
    CHECK(textField(printBadges(fleet, 1, "order-1").json(), "reason") == "duplicate_request");
    CHECK(fleet.services().records().size() == 1);
}

// Guards against a restarted host that serves without the configuration in force, or never receives it.
TEST_CASE("a host restarted without the log gets its configuration from a peer", "[fleet][failures]")
{
    Fleet fleet;
    fleet.start();
    fleet.log().setOptions({ { "outage", true } });
    fleet.host(0).kill();
    fleet.startHost(0);
    INFO(fleet.hostErrors());
    REQUIRE(fleet.waitReady(0));
    CHECK(waitFor([&] {
        return chat(fleet.chatCall(0, "after the restart", ShortCompletionTokens)).isCorrect();
    }));
}

// Guards against new requests at a target that is about to be removed.
TEST_CASE("a leaving target gets no new requests after a few seconds", "[fleet][failures]")
{
    Fleet fleet;
    fleet.start();
    Traffic traffic(fleet, ThreadCount, ShortCompletionTokens);
    const auto isUsedSince = [&](std::uint16_t port, std::int64_t time) {
        const auto records = fleet.engines().records();
        return std::any_of(records.begin(), records.end(), [&](const StandinRecord &record) {
            return record.port == port && record.receivedUs >= time;
        });
    };
    const auto leaving = fleet.engines().port(0);
    REQUIRE(waitFor([&] {
        return isUsedSince(leaving, 0);
    }));
    fleet.setListedState("targets", fleet.engineId(0), "leaving");
    const auto bound = wallClockUs() + std::chrono::microseconds(LeavingBound).count();
    REQUIRE(waitFor([&] {
        return wallClockUs() >= bound;
    }));
    CHECK(traffic.waitForCorrect(RequiredCalls));
    const auto trafficCalls = traffic.stop();
    CHECK_FALSE(isUsedSince(leaving, bound));
    CHECK(isUsedSince(fleet.engines().port(1), bound));
    const auto verification = verify(outcomesOf(trafficCalls), fleet.engines().records());
    CAPTURE(verification.violations, verification.correct, verification.rejected, fleet.hostErrors());
    CHECK(verification.violations.empty());
}
