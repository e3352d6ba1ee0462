#include "protocol/statuscodec.h"

#include "tests/protocol/failuredetail.h"

#include <catch2/catch.hpp>

#include <limits>

using namespace sapphirecove;
using protocol::StatusPart;
using namespace std::chrono_literals;

namespace {

coordination::StatusReport report()
{
    coordination::StatusReport report;
    report.host = "h1";
    report.incarnation = 9;
    report.ready = true;
    report.generation = 5;
    report.publishId = "id";
    report.requests = 3;
    report.peers = { { "h2", 8, true, false, false, true, 4, 70us } };
    report.groups = { { "p@r#0",
                        { "p@r#0", 1, 2, 3us },
                        { { "t", "v1", "live", 2, 300, 8000.5, std::numeric_limits<double>::infinity() } } } };
    report.changes = {
        { "x", "p", "v1", "v2", state::timeFromMicroseconds(6), state::ChangeState::RolledBack, 50, "slow" }
    };
    report.publications = { { "id", true, 5, "" } };
    report.audit = { { state::timeFromMicroseconds(7), "kofi", "configuration", "id", "4", "accepted", "" } };
    report.counters = { { "requests_total", 18 } };
    return report;
}

} // namespace

// Guards against a status that the commands of the same build cannot read, or that loses a part.
TEST_CASE("the status survives a round trip as a whole and in parts", "[statuscodec]")
{
    for (const StatusPart part :
         { StatusPart::Whole, StatusPart::Configuration, StatusPart::Versions, StatusPart::Audit }) {
        const std::string text = protocol::encodeStatus(report(), part);
        const auto decoded = tests::valueOf([&] {
            return protocol::decodeStatus(part, text, "host");
        });
        CHECK(protocol::encodeStatus(decoded, part) == text);
    }
    CHECK(
        protocol::encodeStatus(report(), StatusPart::Configuration)
        == R"({"generation":5,"publish_id":"id","publications":[{"publish_id":"id","accepted":true,"generation":5,"detail":""}]})");
    CHECK(protocol::encodeStatus(report(), StatusPart::Versions)
          == R"({"changes":[{"id":"x","pool":"p","from":"v1","to":"v2","deadline_us":6,"state":"undone",)"
             R"("share_per_mille":50,"reason":"slow"}]})");
    CHECK(protocol::encodeStatus(report(), StatusPart::Audit)
          == R"({"audit":[{"time_us":7,"who":"kofi","what":"configuration","subject":"id","base":"4",)"
             R"("outcome":"accepted","detail":""}]})");
    CHECK_THAT(protocol::encodeStatus(report(), StatusPart::Whole), Catch::Contains(R"("decode_tokens_per_second":0)"));
}
