// Tests of version changes and tier order with real processes under load.
#include "tests/integration/traffic.h"
#include "tests/integration/waitfor.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <ctime>

using namespace sapphirecove::integration;
namespace json = boost::json;

namespace {

constexpr std::size_t ThreadCount = 8;
constexpr int ShortCompletionTokens = 10;
constexpr std::size_t RequiredCalls = 100;
/** Time for a halt to take effect: it is sent with the next heartbeat, and requests granted before may still arrive. */
constexpr auto HaltBound = std::chrono::seconds(2);
/** Largest fraction of the traffic that a faulty version may get during its rollout. */
constexpr double MaxFaultyVersionFraction = 0.05;

FleetOptions versionFleet()
{
    FleetOptions options;
    options.engines = 5;
    options.engineOptions["load_time_ms"] = 200;
    options.engineOptions["load_lag_ms"] = 100;
    return options;
}

std::string utcTime(std::chrono::seconds fromNow)
{
    const auto time = std::chrono::system_clock::to_time_t(std::chrono::system_clock::now() + fromNow);
    std::tm parts{};
    gmtime_r(&time, &parts);
    char text[32];
    std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &parts);
    return text;
}

void publishChange(Fleet &fleet, std::chrono::seconds deadline)
{
    const json::value change{
        { "changes",
          { { "layout-v2",
              { { "pool", ModelName }, { "from", "v1" }, { "to", "v2" }, { "deadline", utcTime(deadline) } } } } },
    };
    fleet.folder().write("config/40-changes.json", json::serialize(change));
    const auto published = fleet.publish();
    INFO(published.output << published.errors);
    REQUIRE(published.exitCode == 0);
}

std::string versionsStatus(Fleet &fleet)
{
    return fleet.run({ "versions", "status", "--json" }).output;
}

std::int64_t wallClockUs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

} // namespace

// Guards against a faulty version that is kept, gets more than a small fraction of the traffic, or still gets traffic
// after its errors were detected.
TEST_CASE("a faulty version is rolled back and gets only a small fraction of the traffic", "[fleet][versions]")
{
    Fleet fleet(versionFleet());
    const json::value faults{ { "versions", { { "v2", { { "error_rate", 1.0 } } } } } };
    for (std::size_t index = 0; index < fleet.engines().ports().size(); ++index) {
        fleet.engines().setOptions(faults, index);
    }
    fleet.start();
    Traffic traffic(fleet, ThreadCount, ShortCompletionTokens);
    CHECK(traffic.waitForCorrect(RequiredCalls));
    const std::int64_t startedUs = wallClockUs();
    publishChange(fleet, std::chrono::seconds(300));
    std::string status;
    CHECK(waitFor(
        [&] {
            status = versionsStatus(fleet);
            return status.find("\"undone\"") != std::string::npos;
        },
        std::chrono::seconds(60)));
    INFO(status << fleet.hostErrors());
    const std::int64_t rolledBackUs = wallClockUs();
    std::this_thread::sleep_for(HaltBound);
    CHECK(traffic.waitForCorrect(RequiredCalls));
    traffic.stop();
    std::size_t total = 0;
    std::size_t bad = 0;
    for (const auto &record : fleet.engines().records()) {
        if (record.receivedUs < startedUs || record.receivedUs > rolledBackUs
            || record.path != "/v1/chat/completions") {
            continue;
        }
        ++total;
        bad += record.version == "v2" ? 1 : 0;
    }
    CAPTURE(total, bad);
    CHECK(bad > 0);
    CHECK(static_cast<double>(bad) <= MaxFaultyVersionFraction * static_cast<double>(total));
    const std::int64_t boundUs = rolledBackUs + std::chrono::microseconds(HaltBound).count();
    for (const auto &record : fleet.engines().records()) {
        CHECK_FALSE((record.receivedUs > boundUs && record.version == "v2"));
    }
}

// Guards against a good version that never gets all the traffic, and against a change that is not reported as done.
TEST_CASE("a good version gets all traffic by its deadline", "[fleet][versions]")
{
    Fleet fleet(versionFleet());
    fleet.start();
    Traffic traffic(fleet, ThreadCount, ShortCompletionTokens);
    publishChange(fleet, std::chrono::seconds(90));
    std::string status;
    CHECK(waitFor(
        [&] {
            status = versionsStatus(fleet);
            return status.find("\"done\"") != std::string::npos;
        },
        std::chrono::seconds(90)));
    INFO(status << fleet.hostErrors());
    std::this_thread::sleep_for(HaltBound);
    const std::int64_t settledUs = wallClockUs();
    CHECK(traffic.waitForCorrect(RequiredCalls));
    std::vector<ChatOutcome> outcomes;
    for (auto &trafficCall : traffic.stop()) {
        outcomes.push_back(std::move(trafficCall.outcome));
    }
    const auto records = fleet.engines().records();
    for (const auto &record : records) {
        CHECK_FALSE((record.receivedUs > settledUs && record.version != "v2"));
    }
    CHECK(verify(outcomes, records).violations.empty());
}

// Guards against urgent calls that are shed, or wait behind calls of a lower tier, while those occupy the engines'
// slots.
TEST_CASE("urgent calls finish in time while calls of a lower tier overload the engines", "[fleet][tiers]")
{
    FleetOptions options;
    options.engines = 2;
    options.engineOptions["streams"] = 4;
    Fleet fleet(options);
    fleet.start();
    std::atomic<bool> stopping = false;
    std::mutex mutex; // guards outcomes
    std::vector<ChatOutcome> outcomes;
    std::vector<std::thread> lowerTierThreads;
    for (int thread = 0; thread < 40; ++thread) {
        lowerTierThreads.emplace_back([&, thread] {
            for (int number = 0; !stopping; ++number) {
                const auto name = "lower " + std::to_string(thread) + " " + std::to_string(number);
                auto outcome = chat(fleet.chatCall(static_cast<std::size_t>(thread) % fleet.size(), name, 100));
                const std::scoped_lock lock(mutex);
                outcomes.push_back(std::move(outcome));
            }
        });
    }
    CHECK(waitFor([&] {
        return fleet.engines().records().size() >= 16;
    }));
    std::vector<ChatOutcome> urgent;
    for (int number = 0; number < 20; ++number) {
        auto call =
            fleet.chatCall(static_cast<std::size_t>(number) % fleet.size(), "urgent " + std::to_string(number), 20);
        call.headers["X-Tier"] = "urgent";
        call.headers["X-Deadline-Ms"] = "5000";
        urgent.push_back(chat(call));
        CAPTURE(number, urgent.back().status, urgent.back().reason);
        CHECK(urgent.back().isCorrect());
    }
    stopping = true;
    for (auto &thread : lowerTierThreads) {
        thread.join();
    }
    outcomes.insert(outcomes.end(), urgent.begin(), urgent.end());
    CHECK(verify(outcomes, fleet.engines().records()).violations.empty());
}
