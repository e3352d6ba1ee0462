#include "protocol/configurationfolder.h"
#include "protocol/configurationreader.h"
#include "protocol/documenttext.h"
#include "protocol/timestamp.h"

#include "tests/protocol/failuredetail.h"
#include "tests/protocol/mutation.h"
#include "tests/protocol/temporaryfolder.h"

#include <catch2/catch.hpp>

using namespace sapphirecove;
using namespace std::chrono_literals;

namespace {

const std::string HashA(64, 'a');
const std::string HashB(64, 'b');

/** Valid document of all sections; tests replace parts of it. */
const std::string Valid = R"({"tiers":{"urgent":{"tier":0,"default_deadline_ms":30000},)"
                          R"("normal":{"tier":1,"default_deadline_ms":60000}},)"
                          R"("failure_domains":{"d1":{"region":"r1"}},)"
                          R"("customers":{"c1":{"key_hashes":[")"
    + HashA
    + R"("],"weight":2.5,"highest_tier":"urgent","default_tier":"normal",)"
      R"("requests_per_second":10,"max_concurrent":4}},)"
      R"("pools":{"m1":{"kind":"model","model":"llm","version":"v1","capacity":{"streams":6,"prefill_tokens":1000,)"
      R"("prefill_tokens_per_second":500.5,"decode_tokens_per_second":30}},)"
      R"("s1":{"kind":"service","version":"v1","capacity":{"streams":2,"service_time_ms":70},)"
      R"("routes":[{"method":"POST","path_prefix":"/print","idempotent":false,"require_key":true,"tier":"urgent"}]}},)"
      R"("targets":{"t1":{"pool":"m1","address":"127.0.0.1","port":9001,"failure_domain":"d1",)"
      R"("capacity":{"streams":3},"checks_fencing":false}},)"
      R"("changes":{"x1":{"pool":"m1","from":"v1","to":"v2","deadline":"2026-12-05T06:00:00Z"}},)"
      R"("limits":{"queue_length":100,"queue_bytes":100000,"max_body_bytes":50000,"claim_timeout_ms":1500}})";

std::string detailOf(const std::string &document)
{
    return tests::failureDetail([&] {
        return protocol::ConfigurationReader().check(document);
    });
}

/** Returns the problems after the first @p from in the valid document is replaced by @p to. */
std::string detailWith(const std::string &from, const std::string &to)
{
    std::string document = Valid;
    const std::size_t position = document.find(from);
    REQUIRE(position != std::string::npos);
    return detailOf(document.replace(position, from.size(), to));
}

} // namespace

// Guards against fields that are read into the wrong place or not at all.
TEST_CASE("a valid configuration is read completely", "[configuration]")
{
    const auto configuration = tests::valueOf([] {
        return protocol::ConfigurationReader().check(Valid);
    });
    CHECK(configuration->tiers.at(0).name == "urgent");
    CHECK(configuration->tiers.at(1).defaultDeadline == 60s);
    CHECK(configuration->failureDomains.at("d1") == "r1");
    const state::Customer &customer = configuration->customers.at("c1");
    CHECK(customer.keyHashes == std::vector{ HashA });
    CHECK(customer.weight == 2.5);
    CHECK(customer.highestTier == 0);
    CHECK(customer.defaultTier == 1);
    CHECK(customer.requestsPerSecond == 10);
    CHECK(customer.maxConcurrent == 4);
    const state::Pool &model = configuration->pools.at("m1");
    CHECK(model.kind == state::PoolKind::Model);
    CHECK(model.model == "llm");
    CHECK(model.capacity.prefillTokens == 1000);
    CHECK(model.capacity.prefillTokensPerSecond == 500.5);
    const state::Pool &service = configuration->pools.at("s1");
    CHECK(service.kind == state::PoolKind::Service);
    CHECK(service.capacity.serviceTime == 70ms);
    REQUIRE(service.routes.size() == 1);
    CHECK(service.routes[0].pathPrefix == "/print");
    CHECK_FALSE(service.routes[0].idempotent);
    CHECK(service.routes[0].requireIdempotencyKey);
    CHECK(service.routes[0].tier == 0);
    const state::Target &target = configuration->targets.at("t1");
    CHECK(target.pool == "m1");
    CHECK(target.port == 9001);
    CHECK(target.capacity->streams == 3);
    CHECK(target.capacity->prefillTokens == 1000);
    CHECK_FALSE(target.checksFencing);
    REQUIRE(configuration->changes.size() == 1);
    CHECK(configuration->changes[0].deadline == protocol::parseTimestamp("2026-12-05T06:00:00Z"));
    CHECK(configuration->limits.claimTimeout == 1500ms);
}

// Guards against invalid values that are accepted, and against messages without the place and the expected value.
TEST_CASE("invalid values are reported with JSON pointer and expectation", "[configuration]")
{
    CHECK(detailWith("\"weight\"", "\"wieght\"")
          == "document: /customers/c1/wieght: expected no such key; known keys are default_tier, highest_tier, "
             "key_hashes, "
             "max_concurrent, requests_per_second, weight");
    CHECK(detailWith("\"port\":9001", "\"port\":\"9001\"")
          == "document: /targets/t1/port: expected an integer from 1 to 65535");
    CHECK(detailWith("\"port\":9001", "\"port\":65536")
          == "document: /targets/t1/port: expected an integer from 1 to 65535");
    CHECK(detailWith("\"weight\":2.5", "\"weight\":0")
          == "document: /customers/c1/weight: expected a number from 0.001 to 1e+06");
    CHECK(detailWith("\"address\":\"127.0.0.1\"", "\"address\":\"localhost\"")
          == "document: /targets/t1/address: expected an IP address");
    CHECK(detailWith("\"pool\":\"m1\",\"address\"", "\"pool\":\"m2\",\"address\"")
          == "document: /targets/t1/pool: expected the name of a pool declared in /pools");
    CHECK(detailWith("\"failure_domain\":\"d1\"", "\"failure_domain\":\"d2\"")
          == "document: /targets/t1/failure_domain: expected a name declared in /failure_domains");
    CHECK(detailWith("\"highest_tier\":\"urgent\"", "\"highest_tier\":\"top\"")
          == "document: /customers/c1/highest_tier: expected the name of a tier declared in /tiers");
    CHECK(detailWith("\"highest_tier\":\"urgent\",\"default_tier\":\"normal\"",
                     "\"highest_tier\":\"normal\",\"default_tier\":\"urgent\"")
          == "document: /customers/c1/default_tier: expected a tier that is not more urgent than highest_tier");
    CHECK(detailWith("\"normal\":{\"tier\":1", "\"normal\":{\"tier\":0")
          == "document: /tiers/normal/tier: expected a number that no other tier has, but \"urgent\" has it");
    CHECK(detailWith(HashA, "AA") == "document: /customers/c1/key_hashes/0: expected 64 lower-case hexadecimal digits");
    CHECK(detailWith("2026-12-05T06:00:00Z", "2026-02-30T06:00:00Z")
          == "document: /changes/x1/deadline: expected a time in UTC such as \"2026-12-05T06:00:00Z\"");
    CHECK(detailWith("\"to\":\"v2\"", "\"to\":\"v1\"")
          == "document: /changes/x1/to: expected a version other than \"from\"");
    CHECK(detailWith("\"kind\":\"model\"", "\"kind\":\"engine\"")
          == "document: /pools/m1/kind: expected one of model, service");
    CHECK(detailWith("\"service_time_ms\":70", "\"prefill_tokens\":70")
          == "document: /pools/s1/capacity/prefill_tokens: expected no such key; known keys are service_time_ms, "
             "streams");
    CHECK(detailWith("\"t1\"", "\"t 1\"")
          == "document: /targets/t 1: expected a name of 1 to 128 letters, digits, '.', '_' or '-'");
    CHECK(detailOf("{}") == "document: /tiers: expected this field");
    CHECK(detailOf("[]") == "document: expected an object");
}

// Guards against duplicate keys that Boost.JSON's parser merges silently, and against two customers with the same
// bearer key.
TEST_CASE("duplicates are reported", "[configuration]")
{
    CHECK(detailWith("\"weight\":2.5", "\"weight\":1,\"weight\":2.5")
          == "document: /customers/c1/weight: expected a key that occurs once in its object");
    CHECK(detailWith("\"failure_domains\":{", "\"failure_domains\":{\"d1\":{\"region\":\"r2\"},")
          == "document: /failure_domains/d1: expected a key that occurs once in its object");
    const std::string second = "\"customers\":{\"c0\":{\"key_hashes\":[\"" + HashB + "\",\"" + HashA
        + "\"],\"highest_tier\":\"urgent\",\"default_tier\":\"urgent\"},";
    CHECK(detailWith("\"customers\":{", second)
          == "document: /customers/c1/key_hashes/0: expected a key hash that occurs once, but customer \"c0\" has it");
    CHECK(detailWith("\"pools\":{", "\"pools\":{\"m0\":{\"kind\":\"model\",\"model\":\"llm\",\"version\":\"v1\"},")
          == "document: /pools/m1/model: expected a model that no other pool serves, but \"m0\" does");
    CHECK_THAT(detailWith("\"routes\":[", "\"routes\":[{\"method\":\"POST\",\"path_prefix\":\"/print\"},"),
               Catch::Contains("/pools/s1/routes/1: expected a method and path prefix that no other route"));
}

// Guards against input that exhausts the stack or that other JSON readers would refuse.
TEST_CASE("malformed JSON text is reported", "[configuration]")
{
    CHECK(detailOf(std::string(33, '[') + std::string(33, ']')) == "document: expected at most 32 levels of nesting");
    CHECK(detailOf("{\"tiers\":\"\xFF\"}") == "document: expected valid UTF-8, but byte 10 is not");
    CHECK_THAT(detailOf("{\n\"tiers\":\n}"),
               Catch::StartsWith("document: expected well-formed JSON: ") && Catch::Contains("near line 3"));
    CHECK_THAT(detailOf("{\"tiers\":{}"), Catch::Contains("well-formed JSON: incomplete"));
    CHECK_THAT(detailOf(Valid + "x"), Catch::Contains("well-formed JSON: extra data"));
    CHECK(detailOf(Valid + " \n").empty());
}

// Guards against an operator who must publish again for each further fault, and against partial use of a faulty
// document.
TEST_CASE("all problems of all files are reported in one run", "[configuration]")
{
    const tests::TemporaryFolder folder;
    const std::string first =
        folder.write("10-tiers.json", R"({"tiers":{"urgent":{"tier":0,"default_deadline_ms":0,"colour":1}}})").string();
    const std::string second = folder
                                   .write("20-targets.json",
                                          R"({"targets":{"t1":{"pool":"p","address":"127.0.0.1","port":1,)"
                                          R"("failure_domain":"d"}}})")
                                   .string();
    const std::string third = folder.write("30-broken.json", "{\"pools\":").string();
    folder.write("notes.txt", "not JSON");
    const auto result = protocol::readConfigurationFolder(folder.path());
    CHECK(result.document.empty());
    CHECK(result.configuration.tiers.empty());
    std::vector<std::string> places;
    for (const auto &problem : result.problems) {
        places.push_back(problem.file + problem.pointer);
    }
    CHECK(places
          == std::vector{ third,
                          first + "/tiers/urgent/default_deadline_ms",
                          first + "/tiers/urgent/colour",
                          second + "/targets/t1/pool",
                          second + "/targets/t1/failure_domain" });
}

// Guards against merging in another order than that of the names, and against problems that name the wrong file.
TEST_CASE("files are merged in order of their names", "[configuration]")
{
    const tests::TemporaryFolder folder;
    folder.write("a.json", R"({"tiers":{"urgent":{"tier":0,"default_deadline_ms":1000}},"limits":{"queue_length":5}})");
    folder.write("b.json", R"({"limits":{"queue_length":7},"tiers":{"normal":{"tier":1,"default_deadline_ms":2000}}})");
    const auto result = protocol::readConfigurationFolder(folder.path());
    CHECK(result.problems.empty());
    CHECK(result.document
          == R"({"limits":{"queue_length":7},"tiers":{"normal":{"default_deadline_ms":2000,"tier":1},)"
             R"("urgent":{"default_deadline_ms":1000,"tier":0}}})");
    CHECK(result.configuration.limits.queueLength == 7);

    const std::string last = folder.write("c.json", R"({"limits":{"queue_length":-1}})").string();
    const auto faulty = protocol::readConfigurationFolder(folder.path());
    REQUIRE(faulty.problems.size() == 1);
    CHECK(protocol::describe(faulty.problems[0])
          == last + ": /limits/queue_length: expected an integer from 1 to 1000000");
    CHECK(protocol::readConfigurationFolder(folder.path() / "missing").problems.size() >= 1);
}

// Guards against two hosts that see different text for equal documents.
TEST_CASE("the canonical text does not depend on the order of keys", "[configuration]")
{
    const auto canonical = [](const std::string &text) {
        return protocol::canonicalText(boost::json::parse(text));
    };
    CHECK(canonical(R"({"b":[{"d":1,"c":2}],"a":{}})") == R"({"a":{},"b":[{"c":2,"d":1}]})");
    CHECK(canonical(canonical(Valid)) == canonical(Valid));
    CHECK(detailOf(canonical(Valid)).empty());
}

// Guards against an operator's or another writer's document that crashes every host at once.
TEST_CASE("mutated documents never crash the reader", "[configuration]")
{
    std::mt19937_64 random(13);
    for (int round = 0; round < 2000; ++round) {
        detailOf(tests::mutate(Valid, random));
    }
    CHECK(detailOf(Valid).empty());
}

// Guards against deadlines that are off by a day or a time zone.
TEST_CASE("timestamps are read and written", "[timestamp]")
{
    const auto time = protocol::parseTimestamp("2026-12-05T06:00:00Z");
    REQUIRE(time.has_value());
    CHECK(state::toMicroseconds(*time) == 1796450400000000);
    CHECK(protocol::formatTimestamp(*time) == "2026-12-05T06:00:00Z");
    for (const char *bad :
         { "2026-12-05T06:00:00", "2026-13-05T06:00:00Z", "2026-12-05T24:00:00Z", "2026-12-05 06:00:00Z", "" }) {
        CHECK_FALSE(protocol::parseTimestamp(bad).has_value());
    }
}
