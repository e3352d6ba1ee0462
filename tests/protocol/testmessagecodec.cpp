#include "protocol/messagecodec.h"

#include "tests/protocol/failuredetail.h"
#include "tests/protocol/mutation.h"

#include <catch2/catch.hpp>

#include <limits>

using namespace sapphirecove;
using namespace sapphirecove::coordination;
using namespace std::chrono_literals;

namespace {

struct Sample
{
    Message message;
    std::string text;
};

std::vector<Sample> samples()
{
    return {
        { Heartbeat{ 7,
                     6,
                     5,
                     true,
                     false,
                     { { "p@r#0", 1, 2, 3us } },
                     { { "p", 1, 4, 5us } },
                     { { "p", "v2", "slow", "h2" } } },
          R"({"type":"heartbeat","sequence":7,"acknowledged":6,"generation":5,"draining":true,"ready":false,)"
          R"("groups":[{"group":"p@r#0","waiting":1,"free_streams":2,"estimated_wait_us":3}],)"
          R"("floors":[{"pool":"p","tier":1,"sequence":4,"remaining_us":5}],)"
          R"("halts":[{"pool":"p","version":"v2","reason":"slow","noticed_by":"h2"}]})" },
        { SlotRequest{ "h.1.2",
                       "p@r#0",
                       "c",
                       1,
                       2,
                       3,
                       4,
                       state::timeFromMicroseconds(5),
                       { 18446744073709551615U, 1 },
                       "d",
                       { "t" } },
          R"({"type":"slot_ask","request":"h.1.2","group":"p@r#0","customer":"c","tier":1,"prompt_tokens":2,)"
          R"("max_output_tokens":3,"body_bytes":4,"deadline_us":5,"prefix_hashes":[18446744073709551615,1],)"
          R"("source_failure_domain":"d","excluded":["t"]})" },
        { SlotWithdrawal{ "h.1.2", "g" }, R"({"type":"slot_withdraw","request":"h.1.2","group":"g"})" },
        { SlotGrant{ "h.1.2", "g", 9, "t", "v1", 8us },
          R"({"type":"slot_grant","request":"h.1.2","group":"g","grant":9,"target":"t","version":"v1","valid_for_us":8})" },
        { SlotDenial{ "h.1.2", "g", DenialReason::NotArbiter, 7us },
          R"({"type":"slot_deny","request":"h.1.2","group":"g","reason":"not_arbiter","retry_after_us":7})" },
        { SlotRelease{ "h.1.2", "g", 9, "t", "v1", GrantOutcome::Interrupted, 1, 2, 3, 4us, 5us },
          R"({"type":"slot_release","request":"h.1.2","group":"g","grant":9,"target":"t","version":"v1",)"
          R"("outcome":"cut","prompt_tokens":1,"cached_tokens":2,"output_tokens":3,)"
          R"("time_to_first_token_us":4,"total_us":5})" },
        { OutstandingReport{ "g", true, { { "h.1.2", 9, "t", 1, 2, true } } },
          R"({"type":"outstanding_report","group":"g","dispatches":[{"request":"h.1.2","grant":9,"target":"t",)"
          R"("prompt_tokens":1,"max_output_tokens":2,"first_token_seen":true}],"complete":true})" },
        { ConfigurationRequest{ 3 }, R"({"type":"configuration_request","generation":3})" },
        { ConfigurationOffer{ 3, 4, "id", "kofi", "{\"a\":1}" },
          R"({"type":"configuration_offer","generation":3,"offset":4,"publish_id":"id","operator_name":"kofi",)"
          R"("document":"{\"a\":1}"})" },
    };
}

std::string envelopeOf(const std::string &messages)
{
    return R"({"from":"h1","incarnation":42,"messages":[)" + messages + "]}";
}

std::string allMessages()
{
    std::string text;
    for (const Sample &sample : samples()) {
        text += (text.empty() ? "" : ",") + sample.text;
    }
    return text;
}

std::string detailOf(const std::string &body)
{
    return tests::failureDetail([&] {
        return protocol::decodeEnvelope(body, "peer");
    });
}

} // namespace

// Guards against a field that is left out, swapped with another or renamed, which hosts of two versions would disagree
// on.
TEST_CASE("each message has the documented form and survives a round trip", "[messagecodec]")
{
    for (const Sample &sample : samples()) {
        const Envelope envelope{ "h1", 42, { sample.message } };
        const std::string text = protocol::encodeEnvelope(envelope);
        CHECK(text == envelopeOf(sample.text));
        const Envelope decoded = tests::valueOf([&] {
            return protocol::decodeEnvelope(text, "peer");
        });
        CHECK(decoded.from == "h1");
        CHECK(decoded.incarnation == 42);
        REQUIRE(decoded.messages.size() == 1);
        CHECK(decoded.messages.front().index() == sample.message.index());
        CHECK(protocol::encodeEnvelope(decoded) == text);
    }
}

// Guards against envelopes that lose or reorder messages.
TEST_CASE("an envelope keeps the order of its messages", "[messagecodec]")
{
    const Envelope decoded = tests::valueOf([] {
        return protocol::decodeEnvelope(envelopeOf(allMessages()), "peer");
    });
    CHECK(protocol::encodeEnvelope(decoded) == envelopeOf(allMessages()));
}

// Guards against a malformed message that is taken for a valid one, and against errors that do not say where they are.
TEST_CASE("malformed envelopes are rejected with the place and the expectation", "[messagecodec]")
{
    CHECK_THAT(detailOf("{"), Catch::StartsWith("malformed JSON: "));
    CHECK_THAT(detailOf(envelopeOf("") + "x"), Catch::StartsWith("malformed JSON: "));
    CHECK(detailOf("[]") == "document: expected an object");
    CHECK(detailOf(R"({"from":"h1","incarnation":1})") == "/messages: expected an array");
    CHECK(detailOf(R"({"from":"h1","incarnation":-1,"messages":[]})")
          == "/incarnation: expected an integer from 0 to 18446744073709551615");
    CHECK(detailOf(envelopeOf(R"({"type":"nonsense"})")) == "/messages/0/type: expected a known type");
    CHECK(detailOf(envelopeOf(R"({"type":"slot_withdraw","request":"r"})"))
          == "/messages/0/group: expected this field");
    CHECK(detailOf(envelopeOf(R"({"type":"slot_deny","request":"r","group":"g","reason":"x","retry_after_us":1})"))
          == "/messages/0/reason: expected one of overloaded, deadline_infeasible, no_target, not_arbiter");
    CHECK(detailOf(
              envelopeOf(R"({"type":"slot_deny","request":"r","group":"g","reason":"no_target","retry_after_us":-1})"))
          == "/messages/0/retry_after_us: expected an integer from 0 to 9000000000000000");
    CHECK(detailOf(envelopeOf(R"({"type":"outstanding_report","group":"g","dispatches":[{"request":1}]})"))
          == "/messages/0/dispatches/0/request: expected a string");
    CHECK_THAT(detailOf(std::string(40, '[') + std::string(40, ']')), Catch::Contains("deep"));
    CHECK_THAT(detailOf(envelopeOf("\"\xC3\x28\"")), Catch::StartsWith("malformed JSON: "));
}

// Guards against a peer's tier, count or time that overflows the type that holds it.
TEST_CASE("numbers out of range are rejected", "[messagecodec]")
{
    const std::string slotRequest = samples()[1].text;
    const auto with = [&](const std::string &from, const std::string &to) {
        std::string text = slotRequest;
        return detailOf(envelopeOf(text.replace(text.find(from), from.size(), to)));
    };
    CHECK(with("\"tier\":1", "\"tier\":256") == "/messages/0/tier: expected an integer from 0 to 255");
    CHECK(with("\"tier\":1", "\"tier\":-1") == "/messages/0/tier: expected an integer from 0 to 255");
    CHECK(with("\"prompt_tokens\":2", "\"prompt_tokens\":4294967296")
          == "/messages/0/prompt_tokens: expected an integer from 0 to 4294967295");
    CHECK(with("\"body_bytes\":4", "\"body_bytes\":4.5") != "");
    CHECK(with("\"deadline_us\":5", "\"deadline_us\":9223372036854775807") != "");
    CHECK(with("18446744073709551615", "18446744073709551616") != "");
}

// Guards against values that the encoder writes but the decoder rejects, which would lose the whole envelope.
TEST_CASE("extreme values are written so that they can be read", "[messagecodec]")
{
    Heartbeat heartbeat;
    heartbeat.groups = { { "g", 0, 0, state::Duration::max() }, { "g\xFF", 0, 0, -1us } };
    SlotRequest slotRequest;
    slotRequest.deadline = state::Time::max();
    const std::string text = protocol::encodeEnvelope({ "h1", 1, { heartbeat, slotRequest } });
    CHECK(detailOf(text).empty());
}

// Guards against input from a broken peer that crashes a host; run with sanitizers it also finds undefined behaviour.
TEST_CASE("mutated envelopes never crash the decoder", "[messagecodec]")
{
    std::mt19937_64 random(20261204);
    const std::string valid = envelopeOf(allMessages());
    int accepted = 0;
    for (int round = 0; round < 4000; ++round) {
        const std::string body = tests::mutate(valid, random);
        accepted += detailOf(body).empty() ? 1 : 0;
    }
    CHECK(accepted < 4000);
}
