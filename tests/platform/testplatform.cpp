#include "platform/codec.h"
#include "platform/settings.h"
#include "platform/storecodec.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace sapphirecove;
using namespace sapphirecove::platform;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::string_view Settings = R"({
  "node": "front-accra-osu-1", "role": "entry", "ip": "10.1.0.25", "zone": "accra-osu", "region": "accra",
  "zones": {"accra-osu": "accra", "kumasi-adum": "kumasi"},
  "listen": {"front": "10.1.0.25:8221", "ready": "10.1.0.25:8224"}, "portRange": [7600, 7615],
  "bootstrap": true, "limits": {"maxFds": 4100}, "dataDir": null, "unknown": [1, {"a": 2}],
  "bounds": {"drainMs": 2500, "graceS": 8, "revokeStrict": true, "revokeMs": 5000, "retryBudgetRatio": 0.2,
             "budgetWindowS": 10, "retryBudgetSlack": 52, "quotaWindowS": 8, "quotaOverage": 0.1, "quotaSlack": 140000},
  "platform": {"address": "10.200.1.7:8225", "form": "log"}})";

/** Returns what @p operation yields, or the failure's detail as an error text. */
template <typename T, typename Operation>
std::pair<std::optional<T>, std::string> attempt(Operation operation)
{
    return state::handleFailure(
        [&]() -> state::Result<std::pair<std::optional<T>, std::string>> {
            BOOST_LEAF_AUTO(value, operation());
            return std::pair(std::optional<T>(std::move(value)), std::string());
        },
        [](const state::Failure &failure) {
            return std::pair(std::optional<T>(), failure.detail);
        });
}

auto readSettings(std::string_view document)
{
    return attempt<protocol::EntrySettings>([&] {
        return decodeSettings(document, "settings.json");
    });
}

std::string replaced(std::string_view text, std::string_view from, std::string_view to)
{
    std::string result(text);
    result.replace(result.find(from), from.size(), to);
    return result;
}

auto readTarget(std::string_view document)
{
    return attempt<state::entry::TargetEntry>([&] {
        return Codec().decodeTarget("i-7f3a91c2", document);
    });
}

constexpr std::string_view Target =
    R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"accra-osu","version":"v1","concurrency":12,)"
    R"("state":"ready","coldLeftMs":0,"sequence":4,"born":1770000000000})";

} // namespace

TEST_CASE("the platform's settings are decoded into the host's settings", "[platform][settings]")
{
    const auto [settings, problem] = readSettings(Settings);
    REQUIRE(settings);
    CHECK(settings->hostId == "front-accra-osu-1");
    CHECK(settings->failureDomain == "accra-osu");
    CHECK(settings->regionOfDomain.at("kumasi-adum") == "kumasi");
    CHECK(settings->callers.port == 8221);
    CHECK(settings->readiness.port == 8224);
    CHECK(settings->peerPort == 7600);
    CHECK(settings->metricsPort == 0); // deploy/system.toml sets it, with --metrics-port.
    CHECK(settings->firstStart);
    CHECK(settings->bounds.revocation == seconds(5));
    CHECK(settings->bounds.quotaSlack == 140000);
}

TEST_CASE("a missing or invalid settings field is named in the error", "[platform][settings]")
{
    for (const std::string_view field :
         { "node", "ip", "zone", "region", "zones", "front", "ready", "portRange", "address" }) {
        INFO(field);
        const std::string quoted = '"' + std::string(field) + '"';
        const auto [settings, problem] = readSettings(replaced(Settings, quoted, "\"other\""));
        CHECK_FALSE(settings);
        CHECK(problem.find(field) != std::string::npos);
    }
    CHECK_FALSE(readSettings("").first);
    CHECK_FALSE(readSettings("[]").first);
    CHECK_FALSE(readSettings(replaced(Settings, "\"10.200.1.7:8225\"", "\"10.200.1.7\"")).first);
}

TEST_CASE("a configuration document is decoded into a routing table", "[platform][configuration]")
{
    const auto [table, problem] = attempt<state::entry::RoutingTable>([] {
        return Codec().decodeConfiguration(
            R"({"version":7,"routes":[)"
            R"({"name":"r-1","host":"a.example","pathPrefix":"/p/","kind":"streaming","timeoutMs":15000,)"
            R"("targetLatencyMs":800,"priority":0,"backends":[{"service":"s1","weight":90},{"service":"s2","weight":10}],)"
            R"("maxAttempts":2,"public":false,"resumable":true,"gapAimMs":300},)"
            R"({"name":"r-2","host":"a.example","pathPrefix":"/p/q/","kind":"non_idempotent","timeoutMs":1200,)"
            R"("targetLatencyMs":150,"priority":2,"service":"s2","maxAttempts":1}],)"
            R"("services":[{"name":"s1","engine":{"concurrency":12}},{"name":"s2","maxConns":96}],)"
            R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":100,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
            R"("tenants":[{"name":"t1","apiKeys":["k1","k2"],"priority":1,"costUnit":"tokens","plainTokens":200,)"
            R"("ratePerS":100,"burst":50}]})");
    });
    INFO(problem);
    REQUIRE(table);
    CHECK(table->version() == 7);
    const auto *stream = table->findRoute("a.example", "/p/x");
    REQUIRE(stream != nullptr);
    CHECK(stream->name == "r-1");
    CHECK(stream->repeatable());
    CHECK(stream->services.size() == 2);
    CHECK(stream->callerIdleTimeout == milliseconds(3200));
    const auto *commit = table->findRoute("a.example", "/p/q/1");
    REQUIRE(commit != nullptr);
    CHECK(commit->name == "r-2"); // The longest prefix decides.
    CHECK_FALSE(commit->repeatable());
    CHECK(table->findRoute("a.example", "/other/") == nullptr);
    CHECK(table->findRoute("b.example", "/p/x") == nullptr);
    REQUIRE(table->findCustomer("k2") != nullptr);
    CHECK(table->findCustomer("k2")->plainRequestCost == 200);
    CHECK(table->findCustomer("k3") == nullptr);
    CHECK(table->findService("s1")->modelEngine);
    CHECK_FALSE(table->findService("s2")->modelEngine);
    CHECK(table->limits().maxBodyBytes == 100);
}

TEST_CASE("a malformed target entry is rejected", "[platform][target]")
{
    REQUIRE(readTarget(Target).first);
    CHECK(readTarget(Target).first->startedUnixMs == 1770000000000);
    CHECK(readTarget(replaced(Target, "\"ready\"", "\"draining\"")).first->draining);
    CHECK_FALSE(readTarget(replaced(Target, "\"ready\"", "\"resting\"")).first);
    for (const char *start : { "1.5", "-1", "1e400", "9223372036854775808", "18446744073709551615", "1e19" }) {
        INFO(start);
        CHECK_FALSE(readTarget(replaced(Target, "1770000000000", start)).first);
    }
    CHECK(readTarget(replaced(Target, "1770000000000", "9223372036854775807")).first);
    CHECK_FALSE(readTarget(replaced(Target, "\"concurrency\":12", "\"concurrency\":\"12\"")).first);
    CHECK_FALSE(readTarget(replaced(Target, "10.128.0.9:8080", "10.128.0.9")).first);
    CHECK_FALSE(readTarget("\xff\xfe").first);
    CHECK_FALSE(readTarget("null").first);
}

TEST_CASE("internal headers never pass from a caller to a target", "[platform][headers]")
{
    boost::beast::http::request_header<> header;
    for (const char *name :
         { "X-Api-Key", "X-Tenant", "X-Expect-Instance", "X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From" }) {
        header.set(name, "forged");
    }
    header.set("X-Attempt-Id", "9c41");
    header.set("X-Model", "m");
    Codec().prepareForward(header, { "i-1", "t1", milliseconds(1234), std::nullopt });
    CHECK(header["X-Tenant"] == "t1");
    CHECK(header["X-Expect-Instance"] == "i-1");
    CHECK(header["X-Deadline-Ms"] == "1234");
    CHECK(header["X-Attempt-Id"] == "9c41");
    CHECK(header["X-Model"] == "m");
    for (const char *name : { "X-Api-Key", "X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From", "Last-Event-Id" }) {
        INFO(name);
        CHECK(header.find(name) == header.end());
    }
}

TEST_CASE("the fields of a caller's request header are decoded", "[platform][headers]")
{
    boost::beast::http::request_header<> header;
    header.set("X-Attempt-Id", "9c41");
    header.set("X-Token-Count", "1460,80");
    header.set("X-Deadline-Ms", "15000");
    header.set("Last-Event-Id", "12");
    header.set("X-Api-Key", "k1");
    const auto [call, problem] = attempt<transport::entry::RequestFields>([&] {
        return Codec().decodeRequest(header);
    });
    REQUIRE(call);
    CHECK(call->promptTokens == 1460);
    CHECK(call->maxOutputTokens == 80);
    CHECK(call->deadline == seconds(15));
    CHECK(call->lastEventId == 12U);
    header.set("X-Token-Count", "many,few");
    CHECK_FALSE(attempt<transport::entry::RequestFields>([&] {
                    return Codec().decodeRequest(header);
                }).first);
}

// Guards against a time limit that overflows, or token counts that are no numbers and disable a quota.
TEST_CASE("the parts of a prompt are read without the last one, however their ids are written", "[platform]")
{
    const auto partsOf = [](std::string_view text) {
        boost::beast::http::request_header<> header;
        header.set("X-Prompt-Prefix", text);
        return attempt<transport::entry::RequestFields>([&] {
                   return Codec().decodeRequest(header);
               })
            .first.value()
            .promptParts;
    };
    using Parts = std::vector<std::uint64_t>;
    CHECK(partsOf("5c1e07a2:800,91bd3f06:410,e4402b7d:250") == Parts{ 0x5c1e07a2, 0x91bd3f06 });
    CHECK(partsOf("005C1E07A2:800, 91bd3f06 ,e4402b7d:250") == Parts{ 0x5c1e07a2, 0x91bd3f06 });
    CHECK(partsOf("e4402b7d:250").empty());
    CHECK(partsOf("").empty());
    CHECK(partsOf(",,a:1").empty());
    const Parts longIds = partsOf("5c1e07a25c1e07a25c1e07a2:1,5C1E07A25C1E07A25C1E07A2:2,x:1");
    REQUIRE(longIds.size() == 2);
    CHECK(longIds[0] == longIds[1]);
}

// Guards against a deadly part that is never accused, as it stands in the second line of its field.
TEST_CASE("the parts of a prompt may be spread over several lines of the header", "[platform][crash]")
{
    boost::beast::http::request_header<> header;
    header.insert("X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410");
    header.insert("X-Prompt-Prefix", "e4402b7d:250,");
    header.insert("X-Prompt-Prefix", "aa:1,bb:2");
    const auto fields = attempt<transport::entry::RequestFields>([&] {
        return Codec().decodeRequest(header);
    });
    using Parts = std::vector<std::uint64_t>;
    CHECK(fields.first.value().promptParts == Parts{ 0x5c1e07a2, 0x91bd3f06, 0xe4402b7d, 0xaa });
}

TEST_CASE("numbers in a caller's header that are not finite or far too large are not used", "[platform][headers]")
{
    const auto decode = [](const char *name, const char *value) {
        boost::beast::http::request_header<> header;
        header.set(name, value);
        return attempt<transport::entry::RequestFields>([&] {
                   return Codec().decodeRequest(header);
               })
            .first;
    };
    for (const char *value : { "nan", "inf", "-inf", "1e400" }) {
        INFO(value);
        REQUIRE(decode("X-Deadline-Ms", value));
        CHECK_FALSE(decode("X-Deadline-Ms", value)->deadline);
        CHECK_FALSE(decode("X-Length-Hint", value)->expectedOutputTokens);
        CHECK_FALSE(decode("X-Token-Count", (std::string(value) + ",1").c_str()));
        CHECK_FALSE(decode("X-Token-Count", (std::string("1,") + value).c_str()));
    }
    REQUIRE(decode("X-Deadline-Ms", "1e300")->deadline);
    CHECK(*decode("X-Deadline-Ms", "1e300")->deadline > std::chrono::hours(1));
}

TEST_CASE("only an explicit statement of the target counts as not executed", "[platform][headers]")
{
    boost::beast::http::response_header<> header;
    header.result(503);
    CHECK_FALSE(Codec().decodeResponse(header).notExecuted);
    header.set("X-Not-Executed", "1");
    CHECK(Codec().decodeResponse(header).notExecuted);
    boost::beast::http::response_header<> elsewhere;
    elsewhere.result(421);
    CHECK(Codec().decodeResponse(elsewhere).notExecuted);
}

TEST_CASE("records of the store are decoded with their offsets", "[platform][store]")
{
    const std::string offsets("\0\0\0\0\0\0\0\x05\0\0\0\0\0\0\0\x02", 16);
    const std::string record = encodeRecord("config", "{}");
    const std::string removal = encodeRecord("old", "");
    const std::string foreign("\0\0\0\x01\x09", 5); // Announces a key of nine bytes that is missing.
    const auto [page, problem] = attempt<transport::entry::StorePage>([&] {
        return decodeRecords(offsets + record + foreign + removal, 2);
    });
    REQUIRE(page);
    CHECK_FALSE(page->historyLost);
    CHECK(page->next == 5);
    REQUIRE(page->records.size() == 2);
    CHECK(page->records[0].key == "config");
    CHECK(page->records[0].value == "{}");
    CHECK_FALSE(page->records[1].value);
    CHECK(attempt<transport::entry::StorePage>([&] {
              return decodeRecords(offsets, 1);
          }).first->historyLost);
    for (std::size_t cut = 1; cut < record.size(); ++cut) {
        CHECK_FALSE(attempt<transport::entry::StorePage>([&] {
                        return decodeRecords(offsets + record.substr(0, cut), 2);
                    }).first);
    }
}

// Guards against a limit that is misread, or invented from a field that is not a number.
TEST_CASE("the limit in a target's response is decoded and a malformed one is told from none", "[platform][limit]")
{
    using coordination::entry::RateStatement;
    const auto decode = [](const std::vector<std::string> &values) {
        transport::entry::WireCodec::ResponseHeader header;
        for (const auto &value : values) {
            header.insert("Server-Limit", value);
        }
        return Codec().decodeResponse(header).statement.rate;
    };
    CHECK(decode({}).kind == RateStatement::Kind::None);
    const std::pair<const char *, double> limits[] = { { "2.7", 2.7 }, { " 4 ", 4 }, { "0", 0 }, { "0.25", 0.25 } };
    for (const auto &[text, value] : limits) {
        INFO(text);
        CHECK(decode({ text }).kind == RateStatement::Kind::Limit);
        CHECK(decode({ text }).requestsPerSecond == value);
    }
    for (const char *text : { "", " ", "many", "2.7x", "2,7", "-1", "nan", "inf", "1e3", "0x10", "2 3" }) {
        INFO(text);
        CHECK(decode({ text }).kind == RateStatement::Kind::Malformed);
    }
    CHECK(decode({ std::string(400, '9') }).kind == RateStatement::Kind::Malformed);
    CHECK(decode({ "3", "3" }).requestsPerSecond == 3);
    CHECK(decode({ "3", "30" }).kind == RateStatement::Kind::Malformed);
}

// Guards against a pause or a leave that is misread, and against one that is invented from nonsense.
TEST_CASE("leaving and the time without requests are decoded from a target's response", "[platform][statements]")
{
    using boost::beast::http::status;
    const auto decode = [](status code, const std::string &name, const std::vector<std::string> &values) {
        transport::entry::WireCodec::ResponseHeader header;
        header.result(code);
        for (const auto &value : values) {
            header.insert(name, value);
        }
        return Codec().decodeResponse(header);
    };
    const auto leaving = [&](const std::vector<std::string> &values) {
        return decode(status::ok, "server-leaving", values);
    };
    CHECK_FALSE(leaving({}).statement.leaving);
    CHECK(leaving({ "1" }).statement.leaving);
    CHECK(leaving({ " 1 " }).malformedStatement.empty());
    CHECK_FALSE(leaving({ "0" }).statement.leaving);
    CHECK(leaving({ "0", "1" }).statement.leaving);
    for (const char *text : { "", "yes", "true", "2", "1;q=1", "01" }) {
        INFO(text);
        CHECK(leaving({ text }).statement.leaving);
        CHECK_FALSE(leaving({ text }).malformedStatement.empty());
    }
    const auto backOff = [&](const std::vector<std::string> &values, status code = status::service_unavailable) {
        return decode(code, "Retry-After", values).statement.backOff;
    };
    CHECK_FALSE(backOff({}));
    CHECK(backOff({ "2" }) == std::chrono::seconds(2));
    CHECK(backOff({ " 0.25 " }) == std::chrono::milliseconds(250));
    CHECK(backOff({ "0" }) == state::Duration::zero());
    CHECK(backOff({ "1", "3", "2" }) == std::chrono::seconds(3));
    CHECK(backOff({ "1", "soon" }) == std::chrono::seconds(1));
    CHECK(backOff({ std::string(300, '9') }) == std::chrono::hours(24));
    for (const char *text :
         { "", "-1", "+1", "soon", "1 s", "1,5", "1e3", "nan", "inf", "0x1F", "Fri, 31 Dec 2027 23:59:59 GMT" }) {
        INFO(text);
        CHECK_FALSE(backOff({ text }));
        CHECK_FALSE(decode(status::service_unavailable, "Retry-After", { text }).malformedStatement.empty());
    }
    for (const status code :
         { status::ok, status::too_many_requests, status::misdirected_request, status::bad_gateway }) {
        CHECK_FALSE(backOff({ "2" }, code));
    }
}

TEST_CASE("the newest records are decoded page by page", "[platform][store]")
{
    const auto [page, problem] = attempt<NewestPage>([] {
        return decodeNewest(R"({"items":[{"key":"a","value":"e30=","offset":4}],"hasMore":true,"end":6})");
    });
    REQUIRE(page);
    CHECK(page->records.at(0).value == "{}");
    CHECK(page->end == 6);
    CHECK(page->continueAfter == "a");
}

// Guards against a record of another writer that keeps the host from ever reading the records beside it.
TEST_CASE("odd records do not keep the newest ones of a page from being read", "[platform][store]")
{
    const std::string items[] = {
        R"({"key":"odd","value":"*"})",
        R"({"key":"odd"})",
        R"({"value":"e30="})",
        R"({"key":1,"value":"e30="})",
        R"({"key":"odd","value":{}})",
        "null",
        "[[[]]]",
        "{\"key\":\"odd\xff\",\"value\":\"e30=\"}",
        R"({"key":"odd","offset":1e400})",
        R"({"key":"odd","offset":18446744073709551616,"value":5})",
    };
    for (const std::string &odd : items) {
        INFO(odd);
        const std::string sound = R"({"key":"a","value":"e30=","offset":4})";
        const auto [page, problem] = attempt<NewestPage>([&] {
            return decodeNewest("{\"items\":[" + odd + ',' + sound + ',' + odd + "],\"hasMore\":true,\"end\":6}");
        });
        INFO(problem);
        REQUIRE(page);
        const auto isSound = [](const auto &record) {
            return record.key == "a" && record.value == "{}";
        };
        CHECK(std::count_if(page->records.begin(), page->records.end(), isSound) == 1);
        CHECK(page->end == 6);
        REQUIRE(page->continueAfter);
        CHECK((page->continueAfter->starts_with("odd") || page->continueAfter == "a"));
    }
    // Without any key there is nothing to continue after; the host must not take the list for complete.
    CHECK_FALSE(attempt<NewestPage>([] {
                    return decodeNewest(R"({"items":[null],"hasMore":true,"end":6})");
                }).first);
    CHECK(attempt<NewestPage>([] {
              return decodeNewest(R"({"items":[null],"hasMore":false,"end":6})");
          }).first);
}

// Guards against a decoder that writes past its buffer when the last group of characters lacks its padding.
TEST_CASE("values of the newest records are decoded with and without padding", "[platform][store]")
{
    const auto decode = [](const std::string &value) {
        const auto [page, problem] = attempt<NewestPage>([&] {
            return decodeNewest(R"({"items":[{"key":"a","value":")" + value + R"("}],"end":1})");
        });
        return page ? page->records.at(0).value : std::nullopt;
    };
    for (const std::size_t groups : { 0, 1, 5, 6, 20, 21, 1000 }) {
        INFO(groups);
        std::string start;
        for (std::size_t i = 0; i < groups; ++i) {
            start += "YWFh";
        }
        const std::string decoded(groups * 3, 'a');
        CHECK(decode(start) == decoded);
        CHECK(decode(start + "YWE=") == decoded + "aa");
        CHECK(decode(start + "YWE") == decoded + "aa");
        CHECK(decode(start + "YQ==") == decoded + "a");
        CHECK(decode(start + "YQ") == decoded + "a");
    }
}

TEST_CASE("rollout orders are decoded and rollout statuses survive a round trip", "[platform][rollout]")
{
    const Codec codec;
    const auto [order, problem] = attempt<state::entry::RolloutOrder>([&] {
        return codec.decodeRollout(R"({"service":"s1","target":"v2","durationS":12})");
    });
    REQUIRE(order);
    CHECK(order->targetVersion == "v2");
    CHECK(codec.rolloutService("rollout/s1") == "s1");
    CHECK(codec.classify("config") == transport::entry::OperatorRecord::Configuration);
    CHECK(codec.classify("rollout/s1") == transport::entry::OperatorRecord::RolloutOrder);
    CHECK(codec.classify("x") == transport::entry::OperatorRecord::Unknown);
    const state::entry::RolloutStatus status{ "s1", "v2", state::entry::RolloutState::RolledBack };
    const auto [read, unread] = attempt<state::entry::RolloutStatus>([&] {
        return codec.decodeRolloutStatus("s1", codec.encodeRolloutStatus(status));
    });
    REQUIRE(read);
    CHECK(read->state == state::entry::RolloutState::RolledBack);
} // Guards against regions, cold times and rates that are lost, or taken as they are although they are absurd.
TEST_CASE("regions and what is said about cold targets are decoded", "[platform][configuration]")
{
    const Codec codec;
    const auto [decoded, problem] = attempt<state::entry::RoutingTable>([&] {
        return codec.decodeConfiguration(
            R"({"version":1,"routes":[{"name":"r","host":"h","pathPrefix":"/r/","kind":"idempotent","service":"s",)"
            R"("allowedRegions":["accra",3]},{"name":"o","host":"h","pathPrefix":"/o/","kind":"idempotent","service":"s",)"
            R"("allowedRegions":"accra"},{"name":"a","host":"h","pathPrefix":"/a/","kind":"idempotent","service":"s"}],)"
            R"("services":[{"name":"s","coldStartS":3.5,"coldPerS":11},{"name":"u","coldStartS":1e9,"coldPerS":-4}],)"
            R"("tenants":[{"name":"t","apiKeys":["k"],"allowedRegions":["kumasi"]}]})");
    });
    REQUIRE(decoded);
    const auto &table = *decoded;
    CHECK(table.findRoute("h", "/r/")->permittedRegions == std::vector<std::string>{ "accra", "?" });
    CHECK(table.findRoute("h", "/o/")->permittedRegions == std::vector<std::string>{ "?" });
    CHECK(table.findRoute("h", "/a/")->permittedRegions.empty());
    CHECK(table.findCustomer("k")->permittedRegions == std::vector<std::string>{ "kumasi" });
    CHECK(table.findService("s")->coldTime == std::chrono::milliseconds(3500));
    CHECK(table.findService("s")->coldRequestsPerSecond == 11);
    CHECK(table.findService("u")->coldTime == std::chrono::seconds(60));
    CHECK(table.findService("u")->coldRequestsPerSecond == 0);
    const auto target = [](const std::string &cold) {
        const auto [entry, error] = readTarget(replaced(Target, R"(,"coldLeftMs":0)", cold));
        return entry.value_or(state::entry::TargetEntry());
    };
    CHECK(target(R"(,"coldLeftMs":1500)").coldFor == std::chrono::milliseconds(1500));
    CHECK(target(R"(,"coldLeftMs":-1)").coldFor == state::Duration::zero());
    CHECK(target(R"(,"coldLeftMs":1e15)").coldFor == std::chrono::seconds(60));
    CHECK_FALSE(target("").coldFor);
}

// Guards against evacuation orders that are not recognized, or whose failure domain is lost.
TEST_CASE("evacuation orders name their failure domain", "[platform][evacuation]")
{
    using transport::entry::OperatorRecord;
    const Codec codec;
    CHECK(codec.classify("evacuate/osu") == OperatorRecord::Evacuation);
    CHECK(codec.evacuatedDomain("evacuate/osu") == "osu");
    CHECK(codec.classify("evacuate/") == OperatorRecord::Evacuation);
    CHECK_FALSE(codec.evacuatedDomain("evacuate/"));
    CHECK_FALSE(codec.evacuatedDomain("rollout/osu"));
    CHECK(codec.isEvacuation("{}"));
    CHECK_FALSE(codec.isEvacuation("17"));
    CHECK_FALSE(codec.isEvacuation("{"));
}
