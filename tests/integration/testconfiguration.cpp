// Tests that publish configurations to a fleet of real processes.
#include "tests/integration/fleet.h"
#include "tests/integration/waitfor.h"

#include <catch2/catch.hpp>

using namespace sapphirecove::integration;
namespace json = boost::json;

namespace {

constexpr int ExitProblemsFound = 3;
constexpr int ExitOutcomeUnknown = 4;

std::size_t countPublishedRecords(const Standin &log)
{
    const auto streams = log.control("GET", "/standin/records").at("streams").as_object();
    const auto *config = streams.if_contains("config");
    return config == nullptr ? 0 : config->at("records").as_array().size();
}

} // namespace

// Guards against an invalid configuration that is partly applied, and against reports that stop at the first error.
TEST_CASE("an invalid configuration is rejected with all its errors and changes nothing", "[fleet][configuration]")
{
    Fleet fleet;
    fleet.start();
    const auto before = countPublishedRecords(fleet.log());
    const auto inForce = fleet.callOperators(0, "/operators/v1/configuration");
    CHECK(inForce.status == 200);
    fleet.folder().write("bad/10-base.json", fleet.folder().read("config/10-base.json"));
    fleet.folder().write("bad/20-pools.json", R"({"pools":{"layout-llm":{"kind":"model","model":7,"version":"v1"}}})");
    fleet.folder().write("bad/30-targets.json",
                         R"({"targets":{"t":{"pool":"missing-pool","address":"127.0.0.1","port":99999}}})");
    const auto result = fleet.publish("bad");
    const auto report = result.output + result.errors;
    CAPTURE(report);
    CHECK(result.exitCode == ExitProblemsFound);
    CHECK(report.find("20-pools.json") != std::string::npos);
    CHECK(report.find("/pools/layout-llm/model") != std::string::npos);
    CHECK(report.find("30-targets.json") != std::string::npos);
    CHECK(report.find("/targets/t/port") != std::string::npos);
    CHECK(report.find("/targets/t/pool") != std::string::npos);
    CHECK(countPublishedRecords(fleet.log()) == before);
    CHECK(fleet.callOperators(0, "/operators/v1/configuration").body == inForce.body);
    CHECK(chat(fleet.chatCall(0, "still served")).isCorrect());
}

// Guards against a change that some hosts never apply: a new pool must be known at every host.
TEST_CASE("a published change is in force at every host", "[fleet][configuration]")
{
    Fleet fleet;
    fleet.start();
    auto call = fleet.chatCall(0, "second pool");
    call.model = "second-llm";
    CHECK(chat(call).reason == "unknown_model");
    fleet.folder().write(
        "config/40-more.json",
        R"({"pools":{"second-llm":{"kind":"model","model":"second-llm","version":"v1"}},"targets":{"second-1":)"
        R"({"pool":"second-llm","address":"127.0.0.1","failure_domain":"accra-osu","port":)"
            + std::to_string(fleet.engines().port(0)) + "}}}");
    fleet.setListedState("targets", "second-1", "live");
    const auto published = fleet.publish();
    INFO(published.output << published.errors << fleet.hostErrors());
    REQUIRE(published.exitCode == 0);
    for (std::size_t host = 0; host < fleet.size(); ++host) {
        call.port = fleet.callersPort(host);
        call.prompt = "second pool at host " + std::to_string(host);
        CHECK(waitFor([&] {
            return chat(call).isCorrect();
        }));
    }
}

// Guards against a publish command that reports success or failure although it can't know whether the log accepted
// the record.
TEST_CASE("publish fails during a log outage, and reports an unknown outcome if the log fails at its append",
          "[fleet][configuration]")
{
    Fleet fleet;
    fleet.start();
    const auto before = countPublishedRecords(fleet.log());
    fleet.log().setOptions({ { "outage", true } });
    CHECK(fleet.publish().exitCode != 0);
    CHECK(countPublishedRecords(fleet.log()) == before);
    fleet.log().setOptions({ { "outage", false }, { "outage_at_append_to", "config" } });
    CHECK(fleet.publish().exitCode == ExitOutcomeUnknown);
    CHECK(countPublishedRecords(fleet.log()) == before + 1);
    CHECK(chat(fleet.chatCall(1, "still served")).isCorrect());
}
