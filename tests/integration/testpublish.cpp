// Tests of the publish command against the log, without any host.
#include "tests/integration/fleet.h"

#include <catch2/catch.hpp>

#include <set>
#include <thread>

using namespace sapphirecove::integration;

namespace {

constexpr int ExitNotAccepted = 1;
constexpr int ExitOutcomeUnknown = 4;
constexpr int ExitNotYetInForce = 5;

std::vector<std::string> publishArguments(const Fleet &fleet)
{
    // No host runs, so waiting for the hosts always ends with this time-out.
    return { "config", "publish", fleet.configFolder(), "--operator", "tester", "--wait-s", "1" };
}

std::size_t countPublishedRecords(const Fleet &fleet)
{
    const auto streams = fleet.log().control("GET", "/standin/records").at("streams").as_object();
    const auto *config = streams.if_contains("config");
    return config == nullptr ? 0 : config->at("records").as_array().size();
}

} // namespace

// Guards against a publish command that treats a lost append response as a failure and publishes twice.
TEST_CASE("a publication whose append response is lost is found in the log", "[publish]")
{
    Fleet fleet;
    fleet.log().setOptions({ { "lose_answers", 1 } });
    CHECK(fleet.run(publishArguments(fleet)).exitCode == ExitNotYetInForce);
    CHECK(countPublishedRecords(fleet) == 1);
}

// Guards against a report of success or failure when the record may or may not be in the log.
TEST_CASE("publish reports an unknown outcome if the log fails after the append", "[publish]")
{
    Fleet fleet;
    fleet.log().setOptions({ { "outage_at_append_to", "config" } });
    const auto result = fleet.run(publishArguments(fleet));
    CHECK(result.exitCode == ExitOutcomeUnknown);
    CHECK((result.output + result.errors).find("publish_id=") != std::string::npos);
    CHECK(countPublishedRecords(fleet) == 1);
}

// Guards against conflicting changes that are both reported as accepted.
TEST_CASE("of concurrent publications on the same base exactly one is accepted", "[publish]")
{
    Fleet fleet;
    REQUIRE(fleet.run(publishArguments(fleet)).exitCode == ExitNotYetInForce);
    auto arguments = publishArguments(fleet);
    arguments.insert(arguments.end(), { "--base", "1" });
    std::multiset<int> exitCodes;
    std::vector<CommandResult> results(4);
    std::vector<std::thread> operators;
    operators.reserve(results.size());
    for (auto &result : results) {
        operators.emplace_back([&] {
            result = fleet.run(arguments);
        });
    }
    for (auto &thread : operators) {
        thread.join();
    }
    for (const auto &result : results) {
        exitCodes.insert(result.exitCode);
    }
    CHECK(exitCodes.count(ExitNotYetInForce) == 1);
    CHECK(exitCodes.count(ExitNotAccepted) == 3);
}
