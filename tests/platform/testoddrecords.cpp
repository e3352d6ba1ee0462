#include "platform/codec.h"
#include "platform/storecodec.h"
#include "protocol/hostrecordcodec.h"
#include "protocol/operatorstatecodec.h"
#include "protocol/partevidencecodec.h"
#include "protocol/quotausecodec.h"
#include "tests/protocol/mutation.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <random>
#include <string>

using namespace sapphirecove;
using namespace sapphirecove::platform;
using sapphirecove::tests::mutate;

namespace {

constexpr std::string_view TargetId = "i-7f3a91c2";

constexpr std::string_view Target =
    R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"accra-osu","version":"v1","concurrency":12,)"
    R"("state":"ready","coldLeftMs":0,"sequence":4,"born":1770000000000})";

constexpr std::string_view Configuration =
    R"({"version":7,"routes":[{"name":"r-1","host":"a.example","pathPrefix":"/p/","kind":"streaming",)"
    R"("timeoutMs":15000,"targetLatencyMs":800,"priority":0,"backends":[{"service":"s1","weight":90},)"
    R"({"service":"s2","weight":10}],"maxAttempts":2,"public":false,"resumable":true,"gapAimMs":300}],)"
    R"("services":[{"name":"s1","engine":{"concurrency":12}},{"name":"s2","maxConns":96}],)"
    R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":100,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
    R"("tenants":[{"name":"t1","apiKeys":["k1","k2"],"priority":1,"costUnit":"tokens","plainTokens":200,)"
    R"("ratePerS":100,"burst":50}]})";

constexpr std::string_view Rollout = R"({"service":"s1","target":"v2","durationS":12})";

/** Returns the value that @p decode yields; none if it fails. */
template <typename Decode>
auto decoded(Decode decode)
{
    using Value = std::decay_t<decltype(decode().value())>;
    return state::handleFailure(
        [&]() -> state::Result<std::optional<Value>> {
            BOOST_LEAF_AUTO(value, decode());
            return std::optional<Value>(std::move(value));
        },
        [](const state::Failure &) {
            return std::optional<Value>();
        });
}

auto readTarget(std::string_view document, std::string_view id = TargetId)
{
    return decoded([&] {
        return Codec().decodeTarget(id, document);
    });
}

auto readConfiguration(std::string_view document)
{
    return decoded([&] {
        return Codec().decodeConfiguration(document);
    });
}

std::string replaced(std::string_view text, std::string_view from, std::string_view to)
{
    std::string result(text);
    result.replace(result.find(from), from.size(), to);
    return result;
}

constexpr const char *OddNumbers[] = { "1e400", "-1e400", "18446744073709551616", "18446744073709551615", "1e300",
                                       "-1",    "1.5",    "4294967296",           "-9223372036854775808" };

} // namespace

// Guards against an entry whose numbers or names other parts of the host cannot hold.
TEST_CASE("target entries that are out of range are rejected", "[platform][odd]")
{
    for (const char *slots :
         { "0", "-1", "1.5", "65536", "4294967296", "4294967297", "18446744073709551615", "1e400" }) {
        INFO(slots);
        CHECK_FALSE(readTarget(replaced(Target, ":12,", ':' + std::string(slots) + ',')));
    }
    const std::string longName(1000000, 'n');
    CHECK_FALSE(readTarget(replaced(Target, "huvo11a", longName)));
    CHECK_FALSE(readTarget(replaced(Target, "accra-osu", longName)));
    CHECK_FALSE(readTarget(replaced(Target, "v1", longName)));
    CHECK_FALSE(readTarget(Target, longName));
    CHECK_FALSE(readTarget(Target, ""));
    CHECK_FALSE(readTarget(Target, "i\r\nX-Hold: 1"));
    CHECK_FALSE(readTarget(Target, "i 1"));
    for (const char *port : { "0", "65536", "-1", "1e400", "+80", "", " 80", "99999999999999999999" }) {
        INFO(port);
        CHECK_FALSE(readTarget(replaced(Target, "8080", port)));
    }
    // Of duplicate fields, the last one holds.
    CHECK(readTarget(replaced(Target, "\"service\"", R"("service":"other","service")"))->service == "huvo11a");
}

// Guards against numbers that become others when they are narrowed, and against casts whose result is undefined.
TEST_CASE("odd numbers in a configuration or a rollout order stay within the ranges of their fields", "[platform][odd]")
{
    for (const char *number : OddNumbers) {
        INFO(number);
        for (const char *field : { "\"priority\":0",
                                   "\"weight\":90",
                                   "\"maxAttempts\":2",
                                   "\"maxConns\":96",
                                   "\"ratePerS\":100",
                                   "\"burst\":50",
                                   "\"plainTokens\":200",
                                   "\"timeoutMs\":15000",
                                   "\"maxHeaderBytes\":16384",
                                   "\"idleTimeoutMs\":15000" }) {
            INFO(field);
            const std::string name = std::string(field).substr(0, std::string_view(field).find(':') + 1);
            const auto table = readConfiguration(replaced(Configuration, field, name + number));
            if (!table) {
                continue;
            }
            const auto *route = table->findRoute("a.example", "/p/x");
            REQUIRE(route != nullptr);
            CHECK((route->priority >= 0 && route->priority <= 255));
            CHECK((route->maxTargets >= 1 && route->maxTargets <= 255));
            CHECK((route->services.at(0).weight > 0 && route->services.at(0).weight <= 1000000));
            CHECK(route->timeout >= state::Duration::zero());
            CHECK(table->limits().maxHeaderBytes > 0);
            const auto *customer = table->findCustomer("k1");
            REQUIRE(customer != nullptr);
            CHECK((std::isfinite(customer->ratePerSecond) && customer->ratePerSecond >= 0));
            CHECK((std::isfinite(customer->burst) && customer->burst >= 0));
            CHECK((std::isfinite(customer->plainRequestCost) && customer->plainRequestCost >= 0));
        }
        const auto order = decoded([&] {
            return Codec().decodeRollout(replaced(Rollout, "12", number));
        });
        CHECK((!order || (std::isfinite(order->durationSeconds) && order->durationSeconds > 0)));
        const auto use = decoded([&] {
            return protocol::decodeQuotaUse(R"({"a":[)" + std::string(number) + "]}");
        });
        CHECK_FALSE(use);
    }
}

TEST_CASE("amounts of quota use that are not finite are rejected", "[platform][odd]")
{
    coordination::entry::QuotaUse use{ "a", {} };
    use.slices.front() = 77;
    const std::string document = protocol::encodeQuotaUse(std::vector<coordination::entry::QuotaUse>{ use });
    const auto read = [&](std::string_view amount) {
        return decoded([&] {
            return protocol::decodeQuotaUse(replaced(document, "77", amount));
        });
    };
    REQUIRE(read("77"));
    CHECK_FALSE(read("1e400"));
    CHECK_FALSE(read("-1"));
}

// Guards against damaged records that end the process or throw, which no caller of a decoder expects.
TEST_CASE("no damaged record makes a decoder throw", "[platform][odd][random]")
{
    constexpr int rounds = 4000;
    std::mt19937_64 random(33);
    const std::string hostRecord = protocol::encodeHostRecord({ "front-1", "10.1.0.25", 7600, "accra", 0.25 });
    const std::string state = protocol::encodeOperatorState({ 7, 1, { { "config", std::string(Configuration) } } });
    const std::string newest = R"({"items":[{"key":"a","value":"e30=","offset":4}],"hasMore":true,"end":6})";
    const std::string records = std::string("\0\0\0\0\0\0\0\x05\0\0\0\0\0\0\0\x02", 16) + encodeRecord("config", "{}");
    const std::string evidence = protocol::encodePartEvidence(
        std::vector<coordination::entry::PartEvidence>{ { coordination::entry::makePartSet({ 11 }),
                                                          5,
                                                          7,
                                                          8,
                                                          2,
                                                          1200,
                                                          300,
                                                          { coordination::entry::makePartSet({ 12, 13 }) } } });
    const auto odd = [&](std::string text) {
        text = mutate(std::move(text), random);
        const std::size_t digit = text.find_first_of("123456789");
        if (random() % 4 == 0 && digit != std::string::npos) {
            text.replace(digit, 1, OddNumbers[random() % std::size(OddNumbers)]);
        }
        return text;
    };

    const Codec codec;
    for (int i = 0; i < rounds; ++i) {
        const std::string target = odd(std::string(Target));
        INFO(target);
        CHECK_NOTHROW(readTarget(target, odd(std::string(TargetId))));
        const std::string configuration = odd(std::string(Configuration));
        INFO(configuration);
        CHECK_NOTHROW(readConfiguration(configuration));
        CHECK_NOTHROW(decoded([&] {
            return codec.decodeRollout(odd(std::string(Rollout)));
        }));
        CHECK_NOTHROW(decoded([&] {
            return codec.decodeRolloutStatus("s", odd(R"({"service":"s","target":"v2","state":"done"})"));
        }));
        CHECK_NOTHROW(decoded([&] {
            return protocol::decodeHostRecord("front-1", odd(hostRecord));
        }));
        CHECK_NOTHROW(decoded([&] {
            return protocol::decodeOperatorState(odd(state), "");
        }));
        CHECK_NOTHROW(decoded([&] {
            return protocol::decodePartEvidence(mutate(evidence, random));
        }));
        CHECK_NOTHROW(decoded([&] {
            return decodeNewest(odd(newest));
        }));
        CHECK_NOTHROW(decoded([&] {
            return decodeRecords(mutate(records, random), 2);
        }));
    }
}
