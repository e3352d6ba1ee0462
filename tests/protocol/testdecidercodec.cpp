#include "coordination/entry/crashsuspects.h"
#include "protocol/decidercodec.h"
#include "protocol/hostrecordcodec.h"
#include "protocol/operatorstatecodec.h"

#include <catch2/catch.hpp>

#include <limits>
#include <optional>
#include <random>

using namespace sapphirecove;
using namespace sapphirecove::protocol;
using namespace sapphirecove::coordination::entry;
using std::chrono::milliseconds;

namespace {

constexpr std::uint32_t Deployment = 0x1234;
constexpr state::Time Sent{ std::chrono::hours(1) };
constexpr state::Time Received{ std::chrono::hours(70) }; // Hosts do not share a clock.

std::optional<DeciderMessage> decode(std::string_view datagram, std::uint32_t deployment = Deployment)
{
    return state::handleFailure(
        [&]() -> state::Result<std::optional<DeciderMessage>> {
            BOOST_LEAF_AUTO(message, decodeDeciderMessage(datagram, deployment, Received));
            return std::optional<DeciderMessage>(std::move(message));
        },
        [](const state::Failure &) {
            return std::optional<DeciderMessage>();
        });
}

DecisionRequest makeDecisionRequest()
{
    DecisionRequest decisionRequest;
    decisionRequest.requester = { "front-osu-1", 0x0123456789abcdefULL, "10.1.0.25", 7600 };
    decisionRequest.sent = 123456789;
    auto &request = decisionRequest.request;
    request.id = 42;
    request.service = "llm";
    request.route = "r-1";
    request.failureDomain = "accra-osu";
    request.customer = "c";
    request.cost = 1460.5;
    request.priority = 3;
    request.latencyTarget = milliseconds(800);
    request.pauseTarget = milliseconds(300);
    request.arrived = Sent - milliseconds(70);
    request.deadline = Sent + milliseconds(900);
    request.model = true;
    request.promptTokens = 54600;
    request.expectedOutputTokens = 80;
    request.excludedTargets = { "i-1", "i-2" };
    request.parts = { 0x0123456789abcdefULL, 2 };
    request.backOffs = { { 9, Sent + milliseconds(700) } };
    return decisionRequest;
}

} // namespace

// Guards against deadlines that are read on the sender's clock; hosts do not share a clock.
TEST_CASE("a decision request round-trips, with times on the receiver's clock", "[entry][decidercodec]")
{
    const DecisionRequest sent = makeDecisionRequest();
    const auto message = decode(encodeDeciderMessage(sent, Deployment, Sent));
    REQUIRE(message);
    const auto &received = std::get<DecisionRequest>(*message);
    CHECK(received.requester == sent.requester);
    CHECK(received.sent == sent.sent);
    CHECK(received.request.id == 42);
    CHECK(received.request.cost == 1460.5);
    CHECK(received.request.priority == 3);
    CHECK(received.request.arrived == Received - milliseconds(70));
    CHECK(received.request.deadline == Received + milliseconds(900));
    CHECK(received.request.expectedOutputTokens == 80);
    CHECK(received.request.excludedTargets == sent.request.excludedTargets);
    CHECK(received.request.parts == sent.request.parts);
    REQUIRE(received.request.backOffs.size() == 1);
    CHECK(received.request.backOffs.front().target == 9);
    CHECK(received.request.backOffs.front().until == Received + milliseconds(700));
}

// Guards against fields that are lost or swapped between encoder and decoder.
TEST_CASE("decision replies, attempt updates and report replies round-trip", "[entry][decidercodec]")
{
    DecisionReply reply;
    reply.decider = "front-osu-2";
    reply.deciderIncarnation = 9;
    reply.requesterIncarnation = 10;
    reply.requestSent = -1;
    reply.held = milliseconds(31);
    reply.targetsAge = milliseconds(720);
    reply.state = DecisionReply::State::Decided;
    reply.decision.request = 42;
    SECTION("a placement")
    {
        reply.decision.target = { "i-7", "llm", "10.2.0.9", 8001, "accra-osu", "v1", 6 };
        reply.decision.targetHash = 77;
        reply.decision.targetLimit = 2.5;
        const auto message = decode(encodeDeciderMessage(reply, Deployment, Sent));
        REQUIRE(message);
        const auto &received = std::get<DecisionReply>(*message);
        CHECK(received.requesterIncarnation == 10);
        CHECK_FALSE(received.decision.refusal);
        CHECK(received.held == milliseconds(31));
        CHECK(received.targetsAge == milliseconds(720));
        CHECK(received.decision.target.id == "i-7");
        CHECK(received.decision.target.port == 8001);
        CHECK(received.decision.targetHash == 77);
        CHECK(received.decision.targetLimit == 2.5);
    }
    SECTION("a refusal")
    {
        reply.decision.refusal = RefusalReason::OverQuota;
        reply.decision.retryAfter = milliseconds(700);
        const auto message = decode(encodeDeciderMessage(reply, Deployment, Sent));
        REQUIRE(message);
        const auto &received = std::get<DecisionReply>(*message);
        CHECK(received.decision.refusal == RefusalReason::OverQuota);
        CHECK(received.decision.retryAfter == milliseconds(700));
    }
    const AttemptUpdate update{ "front-osu-1", 5, 6, 42, AttemptUpdate::Kind::FirstEvent, AttemptOutcome::Stalled, 12 };
    const auto updateMessage = decode(encodeDeciderMessage(update, Deployment, Sent));
    REQUIRE(updateMessage);
    CHECK(std::get<AttemptUpdate>(*updateMessage).decider == 6);
    CHECK(std::get<AttemptUpdate>(*updateMessage).kind == AttemptUpdate::Kind::FirstEvent);
    CHECK(std::get<AttemptUpdate>(*updateMessage).outcome == AttemptOutcome::Stalled);
    ReportReply reportReply;
    reportReply.host = "front-osu-2";
    reportReply.reporterIncarnation = 4;
    reportReply.reportSentAt = 77;
    reportReply.qualified = true;
    reportReply.targetsAge = milliseconds(1280);
    reportReply.configuration = 12;
    reportReply.confirmedAge = milliseconds(1234);
    reportReply.quotas.push_back({ 1, 2.5, 3.5F });
    reportReply.statementsDigest = 98;
    reportReply.storeEra = 6;
    reportReply.statements.push_back({ 7, 0.5F, 3, false, 1200 });
    reportReply.suspectsDigest = 97;
    reportReply.suspects.push_back({ makePartSet({ 11 }), 5, 7, 8, 2, 1200, 300, { makePartSet({ 12 }) } });
    const auto reportReplyMessage = decode(encodeDeciderMessage(reportReply, Deployment, Sent));
    REQUIRE(reportReplyMessage);
    CHECK(std::get<ReportReply>(*reportReplyMessage).reporterIncarnation == 4);
    CHECK(std::get<ReportReply>(*reportReplyMessage).confirmedAge == milliseconds(1234));
    CHECK(std::get<ReportReply>(*reportReplyMessage).qualified);
    CHECK(std::get<ReportReply>(*reportReplyMessage).targetsAge == milliseconds(1280));
    CHECK(std::get<ReportReply>(*reportReplyMessage).quotas.at(0).usedInWindow == 3.5F);
    CHECK(std::get<ReportReply>(*reportReplyMessage).statements.at(0).requestsPerSecond == 0.5F);
    CHECK(std::get<ReportReply>(*reportReplyMessage).statements.at(0).ageMs == 1200);
    CHECK(std::get<ReportReply>(*reportReplyMessage).statementsDigest == 98);
    CHECK(std::get<ReportReply>(*reportReplyMessage).storeEra == 6);
    CHECK(std::get<ReportReply>(*reportReplyMessage).suspectsDigest == 97);
    CHECK(std::get<ReportReply>(*reportReplyMessage).suspects == reportReply.suspects);
}

// Guards against evidence that leaves a rest of a prompt out, and against datagrams that cannot be sent.
TEST_CASE("messages have room for the longest prompt", "[entry][decidercodec][long]")
{
    constexpr std::size_t largestDatagram = 65507;
    DecisionRequest request = makeDecisionRequest();
    request.request.parts.clear();
    for (std::uint64_t part = 1; part <= ScheduledRequest::MaxParts; ++part) {
        request.request.parts.push_back(part << 20U);
    }
    const std::string datagram = encodeDeciderMessage(request, Deployment, Sent);
    CHECK(datagram.size() <= largestDatagram);
    const auto message = decode(datagram);
    REQUIRE(message);
    CHECK(std::get<DecisionRequest>(*message).request.parts == request.request.parts);
    CrashSuspects suspects(1);
    for (std::uint32_t target = 1; target <= 3; ++target) {
        request.request.parts.front() = requestSuspect(target);
        const state::Time at = Sent + milliseconds(200 * target);
        suspects.crashed({ target, 5, request.request.parts, at }, at);
    }
    ReportReply reportReply;
    reportReply.suspects = suspects.shares(Sent + milliseconds(700));
    const std::string evidence = encodeDeciderMessage(reportReply, Deployment, Sent);
    CHECK(evidence.size() <= largestDatagram);
    const auto evidenceMessage = decode(evidence);
    REQUIRE(evidenceMessage);
    CHECK(std::get<ReportReply>(*evidenceMessage).suspects == reportReply.suspects);
    CrashSuspects other(2);
    other.merge(std::get<ReportReply>(*evidenceMessage).suspects, Sent + milliseconds(700));
    CHECK(other.isBlocked(request.request.parts, 5));
}

// Guards against truncated or damaged datagrams that make the decoder read out of bounds.
TEST_CASE("malformed datagrams do not crash the decoder, and those of another deployment are rejected",
          "[entry][decidercodec][random]")
{
    const std::string datagram = encodeDeciderMessage(makeDecisionRequest(), Deployment, Sent);
    CHECK(isDeciderMessage(datagram));
    CHECK_FALSE(decode(datagram, Deployment + 1));
    for (std::size_t size = 0; size < datagram.size(); ++size) {
        CHECK_FALSE(decode(std::string_view(datagram).substr(0, size)));
    }
    CHECK_FALSE(decode(datagram + 'x'));
    std::mt19937 random(7);
    for (int i = 0; i < 20000; ++i) {
        std::string mutated = datagram;
        for (int changes = 0; changes < 3; ++changes) {
            mutated[9 + random() % (mutated.size() - 9)] = static_cast<char>(random());
        }
        decode(mutated); // Must not crash; the result does not matter.
    }
}

// Guards against fields that are lost between hosts and invalid host records that are accepted.
// Guards against times whose sums overflow, which the language leaves undefined.
TEST_CASE("messages with times or durations beyond any use are rejected", "[entry][decidercodec]")
{
    for (const std::int64_t odd : { std::numeric_limits<std::int64_t>::min(),
                                    std::numeric_limits<std::int64_t>::max(),
                                    std::int64_t{ 1 } << 60,
                                    -(std::int64_t{ 1 } << 60) }) {
        INFO(odd);
        ReportReply reply;
        CHECK(decode(encodeDeciderMessage(reply, Deployment, Sent)));
        reply.confirmedAge = state::Duration(odd);
        CHECK_FALSE(decode(encodeDeciderMessage(reply, Deployment, Sent)));
        reply.confirmedAge = {};
        reply.reportSentAt = odd;
        CHECK_FALSE(decode(encodeDeciderMessage(reply, Deployment, Sent)));
        DecisionRequest request = makeDecisionRequest();
        request.request.latencyTarget = state::Duration(odd);
        CHECK_FALSE(decode(encodeDeciderMessage(request, Deployment, Sent)));
    }
}

TEST_CASE("host records and the operator's state round-trip", "[entry][hostrecord]")
{
    const KnownHost host{ "front-osu-1", "10.1.0.25", 7600, "accra", 0.12 };
    const auto decodedPort = state::handleFailure(
        [&]() -> state::Result<int> {
            BOOST_LEAF_AUTO(decoded, decodeHostRecord("front-osu-1", encodeHostRecord(host)));
            return decoded.region == "accra" && decoded.capacity == 0.12 ? decoded.port : 0;
        },
        [](const state::Failure &) {
            return -1;
        });
    CHECK(decodedPort == 7600);
    for (const std::string_view bad : { "",
                                        "{}",
                                        "[]",
                                        R"({"address":"a","port":0,"region":"r","capacity":1})",
                                        R"({"address":"a","port":1,"region":"r","capacity":-1})" }) {
        CAPTURE(bad);
        const bool rejected = state::handleFailure(
            [&]() -> state::Result<bool> {
                BOOST_LEAF_CHECK(decodeHostRecord("x", bad));
                return false;
            },
            [](const state::Failure &) {
                return true;
            });
        CHECK(rejected);
    }
    OperatorState state;
    state.next = 19;
    state.era = 3;
    state.records = { { "config", "{\"a\":\"\\\"\"}" }, { "rollout/x", std::string(300000, 'x') } };
    const auto copy = state::handleFailure(
        [&]() -> state::Result<OperatorState> {
            return decodeOperatorState(encodeOperatorState(state), "peer");
        },
        [](const state::Failure &) {
            return OperatorState();
        });
    CHECK(copy.next == 19);
    CHECK(copy.era == 3);
    CHECK(copy.records == state.records);
}
