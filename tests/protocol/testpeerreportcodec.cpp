#include "protocol/peerreportcodec.h"
#include "protocol/quotausecodec.h"

#include <catch2/catch.hpp>

#include <random>

using namespace sapphirecove;
using namespace sapphirecove::protocol;
using coordination::entry::makePartSet;
using coordination::entry::PeerReport;
using coordination::entry::QuotaUse;

namespace {

constexpr std::uint32_t Deployment = 0x1234;

PeerReport makeReport()
{
    PeerReport report;
    report.host = "front-osu-1";
    report.address = "10.1.0.25";
    report.failureDomain = "accra-osu";
    report.port = 7600;
    report.incarnation = 0x0123456789abcdefULL;
    report.sequence = 77;
    report.uptimeMs = 123456;
    report.stopping = true;
    report.reportSentAt = -5;
    report.capacity = 0.25F;
    report.targets.push_back({ 1, 8, 12, 54600 });
    report.targets.push_back({ 0xffffffff, 0, 0, 0 });
    report.active.push_back({ 8, 1234567890123ULL });
    report.quotas.push_back({ 3, 1e9, 1.5e6F });
    report.rollouts.push_back({ 4, 5, 1234 });
    report.versions.push_back({ 4, 5, 6, 7, 100, 90, 10, 95, 12.5F, 3.25F });
    report.statementsDigest = 99;
    report.statements.push_back({ 7, 2.5F, 3, true, 1200, true, 340 });
    report.backOffs.push_back({ 8, 2500 });
    report.sent.push_back({ 7, 8, 9 });
    report.suspectsDigest = 97;
    report.configuration = 12;
    report.suspects.push_back({ makePartSet({ 0x0123456789abcdefULL }),
                                5,
                                7,
                                8,
                                2,
                                1200,
                                300,
                                { makePartSet({ 0xfedcba9876543210ULL, 1 }) } });
    report.suspects.push_back({ makePartSet({ 11 }), 5, 0, 0, 0, 40, 0, {} });
    return report;
}

std::optional<PeerReport> decode(std::string_view datagram, std::uint32_t deployment = Deployment)
{
    return state::handleFailure(
        [&]() -> state::Result<std::optional<PeerReport>> {
            BOOST_LEAF_AUTO(report, decodePeerReport(datagram, deployment));
            return std::optional<PeerReport>(std::move(report));
        },
        [](const state::Failure &) {
            return std::optional<PeerReport>();
        });
}

} // namespace

// Guards against fields that are lost or swapped between encoder and decoder.
TEST_CASE("a peer report round-trips", "[entry][peerreport]")
{
    const PeerReport sent = makeReport();
    const auto received = decode(encodePeerReport(sent, Deployment));
    REQUIRE(received);
    CHECK(received->host == sent.host);
    CHECK(received->address == sent.address);
    CHECK(received->failureDomain == sent.failureDomain);
    CHECK(received->port == sent.port);
    CHECK(received->incarnation == sent.incarnation);
    CHECK(received->sequence == sent.sequence);
    CHECK(received->uptimeMs == sent.uptimeMs);
    CHECK(received->stopping);
    REQUIRE(received->targets.size() == 2);
    CHECK(received->targets[0].promptTokens == 54600);
    CHECK(received->targets[1].target == 0xffffffff);
    CHECK(received->reportSentAt == sent.reportSentAt);
    CHECK(received->capacity == sent.capacity);
    CHECK(received->targets[0].decider == 8);
    REQUIRE(received->active.size() == 1);
    CHECK(received->active[0].request == 1234567890123ULL);
    REQUIRE(received->quotas.size() == 1);
    CHECK(received->quotas[0].admitted == 1e9);
    CHECK(received->quotas[0].usedInWindow == 1.5e6F);
    REQUIRE(received->versions.size() == 1);
    CHECK(received->versions[0].bad == 10);
    CHECK(received->versions[0].process == 7);
    CHECK(received->versions[0].timed == 95);
    CHECK(received->versions[0].latencyLogSum == 12.5F);
    CHECK(received->versions[0].latencyLogSquareSum == 3.25F);
    REQUIRE(received->rollouts.size() == 1);
    CHECK(received->rollouts[0].ageMs == 1234);
    CHECK(received->statementsDigest == 99);
    REQUIRE(received->statements.size() == 1);
    CHECK(received->statements[0].requestsPerSecond == 2.5F);
    CHECK(received->statements[0].revision == 3);
    CHECK(received->statements[0].ended);
    CHECK(received->statements[0].ageMs == 1200);
    CHECK(received->statements[0].leaving);
    CHECK(received->statements[0].leavingAgeMs == 340);
    REQUIRE(received->backOffs.size() == 1);
    CHECK(received->backOffs[0].target == 8);
    CHECK(received->backOffs[0].remainingMs == 2500);
    CHECK(received->suspectsDigest == 97);
    CHECK(received->configuration == 12);
    CHECK(received->suspects == sent.suspects);
    REQUIRE(received->sent.size() == 1);
    CHECK(received->sent[0].decider == 8);
    CHECK(received->sent[0].requests == 9);
}

// Guards against reports that are read past their end or taken from another deployment.
TEST_CASE("a report that is truncated, extended or of another deployment is rejected", "[entry][peerreport]")
{
    const std::string datagram = encodePeerReport(makeReport(), Deployment);
    for (std::size_t size = 0; size < datagram.size(); ++size) {
        INFO("size " << size);
        CHECK_FALSE(decode(std::string_view(datagram).substr(0, size)));
    }
    CHECK_FALSE(decode(datagram + 'x'));
    CHECK_FALSE(decode(datagram, Deployment + 1));
}

// Guards against damaged bytes, such as wrong counts, that make the decoder read out of bounds or allocate too much.
TEST_CASE("corrupted reports do not crash the decoder", "[entry][peerreport][random]")
{
    const std::string datagram = encodePeerReport(makeReport(), Deployment);
    std::mt19937_64 random(7);
    std::uniform_int_distribution<std::size_t> anyByte(8, datagram.size() - 1);
    std::uniform_int_distribution<int> anyValue(0, 255);
    for (int i = 0; i < 5000; ++i) {
        std::string damaged = datagram;
        for (int changes = 0; changes < 3; ++changes) {
            damaged[anyByte(random)] = static_cast<char>(anyValue(random));
        }
        const auto report = decode(damaged);
        if (report) {
            CHECK(report->targets.size() <= datagram.size());
        }
    }
}

// Guards against a stored document of another form that is restored as quota usage.
TEST_CASE("quota usage round-trips, and other documents are rejected", "[entry][quotause]")
{
    const auto decodeUse = [](std::string_view document) {
        return state::handleFailure(
            [&]() -> state::Result<std::optional<std::vector<QuotaUse>>> {
                BOOST_LEAF_AUTO(use, decodeQuotaUse(document));
                return std::optional<std::vector<QuotaUse>>(std::move(use));
            },
            [](const state::Failure &) {
                return std::optional<std::vector<QuotaUse>>();
            });
    };
    QuotaUse use{ "hule930", {} };
    use.slices.front() = 5;
    use.slices.back() = 1234567;
    const auto received = decodeUse(encodeQuotaUse(std::vector<QuotaUse>{ use }));
    REQUIRE(received);
    CHECK(*received == std::vector<QuotaUse>{ use });
    CHECK(decodeUse("{}")->empty());
    for (const char *text : { "", "[]", "{\"a\":1}", "{\"a\":[1,2]}", "{\"a\":[\"x\"]}" }) {
        INFO(text);
        CHECK_FALSE(decodeUse(text));
    }
}
