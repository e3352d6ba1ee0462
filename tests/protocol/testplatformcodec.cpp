#include "protocol/keyhash.h"
#include "protocol/platformcodec.h"
#include "protocol/problemdocument.h"
#include "protocol/utf8.h"

#include "tests/protocol/failuredetail.h"

#include <catch2/catch.hpp>

using namespace sapphirecove;
using namespace std::chrono_literals;

namespace {

protocol::CacheEventsResponse cacheEvents(const std::string &body, state::Offset from)
{
    return tests::valueOf([&] {
        return protocol::decodeCacheEvents(body, "t", from, "peer");
    });
}

} // namespace

// Guards against hosts or targets of the platform's list that are misread or lost.
TEST_CASE("the host list is read", "[platformcodec]")
{
    const auto list = tests::valueOf([] {
        return protocol::decodeHostList(
            R"({"hosts":[{"id":"h1","address":"127.0.0.1","peer_port":8002,"region":"r","failure_domain":"d","state":"live"}],)"
            R"("targets":[{"id":"t1","state":"leaving"}]})",
            "list");
    });
    REQUIRE(list.hosts.size() == 1);
    CHECK(list.hosts[0].id == "h1");
    CHECK(list.hosts[0].peerPort == 8002);
    CHECK(list.hosts[0].region == "r");
    CHECK(list.hosts[0].failureDomain == "d");
    CHECK(list.hosts[0].state == state::ListedState::Live);
    REQUIRE(list.targets.size() == 1);
    CHECK(list.targets[0].state == state::ListedState::Leaving);
    CHECK(tests::failureDetail([] {
              return protocol::decodeHostList(R"({"hosts":[],"targets":[{"id":"t1","state":"gone"}]})", "list");
          })
          == "/targets/0/state: expected one of live, leaving");
}

// Guards against a load report whose fields are mixed up.
TEST_CASE("a load report is read", "[platformcodec]")
{
    const auto report = tests::valueOf([] {
        return protocol::decodeLoadReport(
            R"({"measured_at_us":5,"running":1,"waiting":2,"version":"v1","loading":true})", "t", "peer");
    });
    CHECK(report.target == "t");
    CHECK(state::toMicroseconds(report.measuredAt) == 5);
    CHECK(report.running == 1);
    CHECK(report.waiting == 2);
    CHECK(report.version == "v1");
    CHECK(report.loadingVersion);
}

// Guards against a cached prefix that is believed present after its removal, and against gaps that go unnoticed.
TEST_CASE("cache events are merged and gaps are detected", "[platformcodec]")
{
    const std::string body =
        R"({"first":0,"next":3,"events":[{"offset":0,"kind":"added","hashes":[1,2,3]},)"
        R"({"offset":1,"kind":"removed","hashes":[2,3]},{"offset":2,"kind":"added","hashes":[3]}]})";
    const auto response = cacheEvents(body, 0);
    CHECK(response.change.added == std::vector<std::uint64_t>{ 1, 3 });
    CHECK(response.change.removed == std::vector<std::uint64_t>{ 2 });
    CHECK_FALSE(response.change.gap);
    CHECK(response.next == 3);
    CHECK_FALSE(cacheEvents(R"({"first":2,"next":5,"events":[]})", 5).change.gap);
    CHECK(cacheEvents(R"({"first":2,"next":5,"events":[]})", 1).change.gap);
    CHECK(cacheEvents(R"({"first":0,"next":2,"events":[]})", 5).change.gap);
    CHECK(cacheEvents(R"({"first":0,"next":4,"events":[{"offset":3,"kind":"added","hashes":[]}]})", 1).change.gap);
}

// Guards against a refused fencing number that counts as success.
TEST_CASE("orders are encoded and their responses decoded", "[platformcodec]")
{
    coordination::SendOrder order;
    order.order = 7;
    order.target = "t";
    order.version = "v2";
    order.fencing = 12;
    CHECK(protocol::encodeOrderBody(order) == R"({"order":"load_version","version":"v2","fencing":12,"id":7})");
    const auto decodeResponse = [&](int status, const std::string &body) {
        return tests::valueOf([&] {
            return protocol::decodeOrderResponse(status, body, order, "peer");
        });
    };
    CHECK(decodeResponse(200, R"({"accepted":true})").accepted);
    CHECK(decodeResponse(200, R"({"accepted":true})").order == 7);
    CHECK_FALSE(decodeResponse(200, R"({"accepted":false})").accepted);
    CHECK_FALSE(decodeResponse(409, "").accepted);
    CHECK(decodeResponse(409, "").delivered);
    CHECK_FALSE(tests::failureDetail([&] {
                    return protocol::decodeOrderResponse(500, "", order, "peer");
                }).empty());
}

// Guards against problem documents without the fields that callers decide a retry by.
TEST_CASE("a problem document states reason, execution and retry time", "[problemdocument]")
{
    using namespace coordination;
    const Refusal refusal{ RefusalReason::DeadlineInfeasible, Executed::No, 1500ms, "needs \"40\" s" };
    CHECK(protocol::encodeProblem(refusal)
          == R"({"type":"urn:sapphirecove:problem:deadline_infeasible","title":"deadline infeasible","status":422,)"
             R"("reason":"deadline_infeasible","executed":"no","detail":"needs \"40\" s","retry_after_s":2})");
    const Refusal final{ RefusalReason::OutcomeUnknown, Executed::Unknown, std::nullopt, "" };
    CHECK_THAT(protocol::encodeProblem(final), !Catch::Contains("retry_after_s"));
    CHECK(protocol::retryAfterSeconds({ RefusalReason::Overloaded, Executed::No, 0ms, "" }) == 1);
}

// Guards against hashes that do not match those of other tools, and comparisons that accept a prefix.
TEST_CASE("keys are hashed and compared", "[keyhash]")
{
    const auto hash = tests::valueOf([] {
        return protocol::hashKey("abc");
    });
    CHECK(hash == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    CHECK(protocol::equalInConstantTime(hash, hash));
    CHECK_FALSE(protocol::equalInConstantTime(hash, hash.substr(1)));
    CHECK_FALSE(protocol::equalInConstantTime("abc", "abd"));
    CHECK(protocol::equalInConstantTime("", ""));
}

// Guards against idempotency keys that cannot be written to the log unchanged, so that two keys would become one.
TEST_CASE("idempotency keys are visible ASCII of bounded length", "[keyhash]")
{
    CHECK(protocol::isValidIdempotencyKey("order-17/a"));
    CHECK_FALSE(protocol::isValidIdempotencyKey(""));
    CHECK_FALSE(protocol::isValidIdempotencyKey("a b"));
    CHECK_FALSE(protocol::isValidIdempotencyKey("\xC3\xA9"));
    CHECK(protocol::isValidIdempotencyKey(std::string(255, 'k')));
    CHECK_FALSE(protocol::isValidIdempotencyKey(std::string(256, 'k')));
}

// Guards against overlong forms, surrogates and truncated sequences, which strict decoders reject.
TEST_CASE("UTF-8 is checked strictly", "[utf8]")
{
    CHECK(protocol::isValidUtf8("Kofi \xC9\x9B \xEB\x8C\x80\xEA\xB5\xAC \xF0\x9F\x8E\xAB"));
    for (const std::string_view bad :
         { "\xC0\x80", "\xE0\x80\x80", "\xED\xA0\x80", "\xF4\x90\x80\x80", "\xE2\x82", "\x80", "\xFF" }) {
        CHECK_FALSE(protocol::isValidUtf8(bad));
    }
    CHECK(protocol::toValidUtf8("a\xFF\xC3\xA9\xE2") == "a?\xC3\xA9?");
}
