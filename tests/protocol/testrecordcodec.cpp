#include "protocol/logcodec.h"
#include "protocol/recordcodec.h"

#include "tests/protocol/failuredetail.h"
#include "tests/protocol/mutation.h"

#include <catch2/catch.hpp>

using namespace sapphirecove;
using namespace std::chrono_literals;

namespace {

struct Sample
{
    state::Stream stream;
    state::LogRecord record;
    std::string text;
};

std::vector<Sample> samples()
{
    using state::Stream;
    return {
        { Stream::Configuration,
          state::ConfigurationPublished{ "id", 4, "kofi", "{}" },
          R"({"type":"published","publish_id":"id","base_generation":4,"operator_name":"kofi","document":"{}"})" },
        { Stream::Configuration,
          state::ConfigurationCheckpoint{ 5, "id", "kofi", "{}", 9 },
          R"({"type":"checkpoint","generation":5,"publish_id":"id","operator_name":"kofi","document":"{}","read_to":9})" },
        { Stream::Claims,
          state::ClaimMade{ "h.1.2", "c", "k", "h", 1 },
          R"({"type":"claimed","claim_id":"h.1.2","customer":"c","key":"k","host":"h","incarnation":1})" },
        { Stream::Claims,
          state::ClaimReleased{ "h.1.2", "c", "k" },
          R"({"type":"released","claim_id":"h.1.2","customer":"c","key":"k"})" },
        { Stream::Claims,
          state::ClaimFinished{ "h.1.2", "c", "k", 200 },
          R"({"type":"finished","claim_id":"h.1.2","customer":"c","key":"k","status":200})" },
        { Stream::Leases,
          state::LeaseTaken{ "versions", "h", 1, 5s, state::timeFromMicroseconds(7) },
          R"({"type":"taken","name":"versions","holder":"h","incarnation":1,"duration_us":5000000,"sent_us":7})" },
        { Stream::Versions,
          state::VersionStep{ "x", "p", "v2", 50, state::ChangeState::Shifting, "ok", 12, "h" },
          R"({"type":"step","change_id":"x","pool":"p","version":"v2","share_per_mille":50,"state":"shifting",)"
          R"("reason":"ok","fencing":12,"holder":"h"})" },
    };
}

std::string decodeDetail(const std::string &text)
{
    return tests::failureDetail([&] {
        return protocol::decodeRecord(text, "log");
    });
}

protocol::LogReadResponse readResponse(state::Stream stream, const std::string &body)
{
    return tests::valueOf([&] {
        return protocol::decodeReadResponse(stream, body, "log");
    });
}

} // namespace

// Guards against a field that is left out, swapped or renamed: the log keeps records across versions of the product.
TEST_CASE("each record has the documented form and survives a round trip", "[recordcodec]")
{
    for (const Sample &sample : samples()) {
        CHECK(protocol::encodeRecord(sample.record) == sample.text);
        CHECK(protocol::streamOf(sample.record) == sample.stream);
        const state::LogRecord decoded = tests::valueOf([&] {
            return protocol::decodeRecord(sample.text, "log");
        });
        CHECK(decoded.index() == sample.record.index());
        CHECK(protocol::encodeRecord(decoded) == sample.text);
    }
}

// Guards against a record of a wrong form that decides a claim, a lease or a version.
TEST_CASE("malformed records are rejected with the place and the expectation", "[recordcodec]")
{
    CHECK(decodeDetail("7") == "document: expected an object");
    CHECK(decodeDetail("{}") == "/type: expected this field");
    CHECK(decodeDetail(R"({"type":"claim"})") == "/type: expected a known type");
    CHECK(decodeDetail(R"({"type":"released","claim_id":"a","customer":"c"})") == "/key: expected this field");
    CHECK(decodeDetail(R"({"type":"finished","claim_id":"a","customer":"c","key":"k","status":1000})")
          == "/status: expected an integer from 0 to 999");
}

// Guards against decoders that crash on damaged records.
TEST_CASE("mutated records and read responses never crash the decoders", "[recordcodec]")
{
    std::mt19937_64 random(4);
    const std::string response =
        R"({"first":0,"next":9,"records":[{"offset":3,"time_ms":17,"value":)" + samples()[2].text + "}]}";
    for (int round = 0; round < 3000; ++round) {
        const Sample sample = samples()[random() % 7];
        decodeDetail(tests::mutate(sample.text, random));
        tests::failureDetail([&] {
            return protocol::decodeReadResponse(state::Stream::Claims, tests::mutate(response, random), "log");
        });
    }
}

// Guards against streams that two sides of the interface call by different names.
TEST_CASE("streams have the names and paths of the log interface", "[logcodec]")
{
    using state::Stream;
    for (const Stream stream : { Stream::Configuration, Stream::Claims, Stream::Leases, Stream::Versions }) {
        CHECK(protocol::streamFromName(protocol::streamName(stream)) == stream);
    }
    CHECK(protocol::streamName(Stream::Configuration) == "config");
    CHECK_FALSE(protocol::streamFromName("configuration").has_value());
    CHECK(protocol::appendPath(Stream::Claims) == "/v1/streams/claims/records");
    CHECK(protocol::readPath(Stream::Leases, 7, 100, 250ms)
          == "/v1/streams/leases/records?from=7&limit=100&wait_ms=250");
}

// Guards against append bodies and responses that do not match section 4.2 of docs/design.md.
TEST_CASE("append bodies and responses have the format of the log interface", "[logcodec]")
{
    const std::vector<state::LogRecord> records{ samples()[3].record, samples()[4].record };
    CHECK(protocol::encodeAppendBody(records)
          == R"({"records":[)" + samples()[3].text + "," + samples()[4].text + "]}");
    const auto response = tests::valueOf([] {
        return protocol::decodeAppendResponse(R"({"offset": 12, "count": 2})", "log");
    });
    CHECK(response.offset == 12);
    CHECK(response.count == 2);
    CHECK(tests::failureDetail([] {
              return protocol::decodeAppendResponse(R"({"offset": "12"})", "log");
          })
          == "/offset: expected an integer from 0 to 18446744073709551615");
}

// Guards against one bad record in the log that keeps every host from reading the records after it.
TEST_CASE("an unreadable record does not hide the records after it", "[logcodec]")
{
    const std::string body = R"({"first":1,"next":5,"records":[{"offset":2,"time_ms":10,"value":{"type":"odd"}},)"
                             R"({"offset":3,"time_ms":11,"value":)"
        + samples()[5].text + R"(},{"offset":4,"time_ms":12,"value":)" + samples()[3].text + "}]}";
    const auto response = readResponse(state::Stream::Claims, body);
    CHECK(response.first == 1);
    CHECK(response.next == 5);
    REQUIRE(response.records.size() == 1);
    CHECK(response.records[0].offset == 4);
    CHECK(state::toMicroseconds(response.records[0].time) == 12000);
    REQUIRE(response.unreadable.size() == 2);
    CHECK(response.unreadable[0].detail == "/type: expected a known type");
    CHECK(response.unreadable[1].detail == "record of another stream");
}

// Guards against a follower that skips or repeats records because the response's offsets contradict each other.
TEST_CASE("read responses with contradictory offsets are rejected", "[logcodec]")
{
    const auto detail = [](const std::string &next, const std::string &first, const std::string &second) {
        const std::string value = R"(,"time_ms":1,"value":)" + samples()[3].text + "}";
        const std::string body = R"({"first":0,"next":)" + next + R"(,"records":[{"offset":)" + first + value
            + R"(,{"offset":)" + second + value + "]}";
        return tests::failureDetail([&] {
            return protocol::decodeReadResponse(state::Stream::Claims, body, "log");
        });
    };
    CHECK(detail("9", "3", "4").empty());
    CHECK_FALSE(detail("9", "4", "4").empty());
    CHECK_FALSE(detail("4", "3", "4").empty());
    CHECK_FALSE(detail("9", "3", "-4").empty());
}
