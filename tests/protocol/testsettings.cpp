#include "protocol/settingsreader.h"

#include "tests/protocol/failuredetail.h"
#include "tests/protocol/temporaryfolder.h"

#include <catch2/catch.hpp>

using namespace sapphirecove;
using namespace std::chrono_literals;

namespace {

const std::string Minimal =
    R"({"host":{"id":"accra-osu-1","region":"accra","failure_domain":"accra-osu"},)"
    R"("listen":{"callers":"127.0.0.1:8000","operators":"127.0.0.1:8001","peers":"[::1]:8002"},)"
    R"("keys":{"operators_file":"operators.key","fleet_file":"/keys/fleet.key"},)"
    R"("platform":{"log":"127.0.0.1:7000","host_list":"127.0.0.1:7001"})";

} // namespace

// Guards against defaults that differ from the documented ones.
TEST_CASE("settings are read with their defaults", "[settings]")
{
    const tests::TemporaryFolder folder;
    const auto path = folder.write("host.json", Minimal + "}");
    const auto settings = tests::valueOf([&] {
        return protocol::loadSettings(path);
    });
    CHECK(settings.host.id == "accra-osu-1");
    CHECK(settings.host.region == "accra");
    CHECK(settings.host.failureDomain == "accra-osu");
    CHECK(protocol::toString(settings.listen.callers) == "127.0.0.1:8000");
    CHECK(protocol::toString(settings.listen.operators) == "127.0.0.1:8001");
    CHECK(protocol::toString(settings.listen.peers) == "[::1]:8002");
    CHECK(settings.keys.operatorsFile == folder.path() / "operators.key");
    CHECK(settings.keys.fleetFile == "/keys/fleet.key");
    CHECK(protocol::toString(settings.platform.log) == "127.0.0.1:7000");
    CHECK(protocol::toString(settings.platform.hostList) == "127.0.0.1:7001");
    CHECK(settings.platform.logRetention == 86400s);
    CHECK(settings.platform.hostListPoll == 500ms);
    CHECK(settings.platform.loadPoll == 500ms);
    CHECK(settings.limits.maxConnections == 4096);
    CHECK(settings.limits.maxHeaderBytes == 16384);
    CHECK(settings.limits.maxBodyBytes == 8388608);
    CHECK(settings.limits.slowSenderTimeout == 10s);
    CHECK(settings.limits.streamBufferBytes == 65536);
    CHECK(settings.limits.maxRequests == 4096);
    CHECK(settings.placement == "cost");
    CHECK(settings.seed == 1);
    CHECK(settings.drainTimeout == 600s);
    CHECK(settings.log.level == "info");
    CHECK(settings.log.file.empty());
}

// Guards against values of the file that are ignored.
TEST_CASE("settings replace the defaults", "[settings]")
{
    const tests::TemporaryFolder folder;
    const auto path = folder.write("host.json",
                                   Minimal
                                       + R"(,"limits":{"max_requests":9},"placement":"random","seed":77,)"
                                         R"("drain_timeout_s":5,"log":{"level":"debug","file":"a.log"}})");
    const auto settings = tests::valueOf([&] {
        return protocol::loadSettings(path);
    });
    CHECK(settings.limits.maxRequests == 9);
    CHECK(settings.placement == "random");
    CHECK(settings.seed == 77);
    CHECK(settings.drainTimeout == 5s);
    CHECK(settings.log.level == "debug");
    CHECK(settings.log.file == folder.path() / "a.log");
}

// Guards against settings that are corrected one problem at a time, and against hosts that start with a mistyped key.
TEST_CASE("all problems of a settings file are reported", "[settings]")
{
    const tests::TemporaryFolder folder;
    const auto path = folder.write(
        "host.json",
        R"({"host":{"id":"","region":"r"},"listen":{"callers":"localhost:8000",)"
        R"("operators":"127.0.0.1:0","peers":"127.0.0.1:8002"},"keys":{"operators_file":"a","fleet_file":7},)"
        R"("platform":{"log":"127.0.0.1:7000","log":"127.0.0.1:7000","host_list":"127.0.0.1"},)"
        R"("limits":{"max_request":1},"drain_timeout_s":0,"log":{"level":"loud"}})");
    protocol::DocumentReport report(path.string());
    protocol::readSettings(path, report);
    std::vector<std::string> pointers;
    for (const auto &problem : report.problems()) {
        CHECK(problem.file == path.string());
        pointers.push_back(problem.pointer);
    }
    CHECK(pointers
          == std::vector<std::string>{ "/platform/log",
                                       "/host/id",
                                       "/host/failure_domain",
                                       "/listen/callers",
                                       "/listen/operators",
                                       "/keys/fleet_file",
                                       "/platform/host_list",
                                       "/limits/max_request",
                                       "/drain_timeout_s",
                                       "/log/level" });
    CHECK_FALSE(tests::failureDetail([&] {
                    return protocol::loadSettings(folder.path() / "missing.json");
                }).empty());
}

// Guards against a key that differs by the line end of its file, and against an empty key that everyone can guess.
TEST_CASE("keys are read from files", "[settings]")
{
    const tests::TemporaryFolder folder;
    const auto path = folder.write("a.key", "0123456789abcdef\n");
    CHECK(tests::valueOf([&] {
              return protocol::loadKey(path);
          })
          == "0123456789abcdef");
    for (const char *bad : { "", "\n", "short", "0123456789 abcdef" }) {
        folder.write("b.key", bad);
        CHECK_FALSE(tests::failureDetail([&] {
                        return protocol::loadKey(folder.path() / "b.key");
                    }).empty());
    }
}
