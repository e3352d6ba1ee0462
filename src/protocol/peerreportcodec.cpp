#include "protocol/peerreportcodec.h"

#include "protocol/binarycodec.h"
#include "protocol/partevidencecodec.h"

#include <concepts>
#include <type_traits>
#include <utility>

namespace sapphirecove::protocol {

namespace {

using coordination::entry::ActiveRequest;
using coordination::entry::BackOffShare;
using coordination::entry::EvacuationShare;
using coordination::entry::PeerReport;
using coordination::entry::QuotaReturn;
using coordination::entry::QuotaShare;
using coordination::entry::RolloutShare;
using coordination::entry::SentShare;
using coordination::entry::StatementShare;
using coordination::entry::TargetShare;
using coordination::entry::VersionShare;

/** First four bytes of each report; the last of them is the version of the format. */
constexpr std::uint32_t Magic = 0x53435209;

// Each visit function lists the fields of one struct in wire order, for both BinaryWriter and BinaryReader.

template <typename Codec, typename Share>
requires std::same_as<std::remove_const_t<Share>, TargetShare>
void visit(Codec &codec, Share &share)
{
    codec.number(share.target);
    codec.number(share.decider);
    codec.number(share.running);
    codec.number(share.promptTokens);
}

template <typename Codec, typename Share>
requires std::same_as<std::remove_const_t<Share>, ActiveRequest>
void visit(Codec &codec, Share &share)
{
    codec.number(share.decider);
    codec.number(share.request);
}

template <typename Codec, typename Share>
requires std::same_as<std::remove_const_t<Share>, QuotaShare>
void visit(Codec &codec, Share &share)
{
    visitQuota(codec, share);
}

template <typename Codec, typename Share>
requires std::same_as<std::remove_const_t<Share>, QuotaReturn>
void visit(Codec &codec, Share &share)
{
    codec.number(share.customer);
    codec.real(share.givenBack);
}

template <typename Codec, typename Share>
requires std::same_as<std::remove_const_t<Share>, RolloutShare>
void visit(Codec &codec, Share &share)
{
    codec.number(share.service);
    codec.number(share.version);
    codec.number(share.ageMs);
}

template <typename Codec, typename Share>
requires std::same_as<std::remove_const_t<Share>, VersionShare>
void visit(Codec &codec, Share &share)
{
    codec.number(share.service);
    codec.number(share.version);
    codec.number(share.route);
    codec.number(share.process);
    codec.number(share.dispatched);
    codec.number(share.good);
    codec.number(share.bad);
    codec.number(share.timed);
    codec.real(share.latencyLogSum);
    codec.real(share.latencyLogSquareSum);
}

template <typename Codec, typename Share>
requires std::same_as<std::remove_const_t<Share>, StatementShare>
void visit(Codec &codec, Share &share)
{
    visitStatement(codec, share);
}

template <typename Codec, typename Share>
requires std::same_as<std::remove_const_t<Share>, SentShare>
void visit(Codec &codec, Share &share)
{
    codec.number(share.target);
    codec.number(share.decider);
    codec.number(share.requests);
}

template <typename Codec, typename Share>
requires std::same_as<std::remove_const_t<Share>, BackOffShare>
void visit(Codec &codec, Share &share)
{
    codec.number(share.target);
    codec.number(share.remainingMs);
}

template <typename Codec, typename Share>
requires std::same_as<std::remove_const_t<Share>, EvacuationShare>
void visit(Codec &codec, Share &share)
{
    visitEvacuation(codec, share);
}

template <typename Share>
void writeList(BinaryWriter &writer, const std::vector<Share> &shares)
{
    writer.number(static_cast<std::uint16_t>(shares.size()));
    for (const Share &share : shares) {
        visit(writer, share);
    }
}

template <typename Share>
void readList(BinaryReader &reader, std::vector<Share> &shares)
{
    std::uint16_t count = 0;
    reader.number(count);
    for (std::uint16_t i = 0; i < count && !reader.failed(); ++i) {
        visit(reader, shares.emplace_back());
    }
}

template <typename Codec, typename Report>
void visitHeader(Codec &codec, Report &report)
{
    codec.text(report.host);
    codec.text(report.address);
    codec.text(report.failureDomain);
    codec.number(report.port);
    codec.number(report.incarnation);
    codec.number(report.sequence);
    codec.number(report.uptimeMs);
    codec.signedNumber(report.reportSentAt);
    codec.real(report.capacity);
    codec.flag(report.stopping);
    codec.number(report.configuration);
}

} // namespace

std::string encodePeerReport(const PeerReport &report, std::uint32_t deployment)
{
    BinaryWriter writer;
    writer.number(Magic);
    writer.number(deployment);
    visitHeader(writer, report);
    writeList(writer, report.targets);
    writeList(writer, report.active);
    writeList(writer, report.quotas);
    writeList(writer, report.quotaReturns);
    writeList(writer, report.rollouts);
    writeList(writer, report.versions);
    writer.number(report.statementsDigest);
    writeList(writer, report.statements);
    writeList(writer, report.sent);
    writeList(writer, report.backOffs);
    writer.number(report.suspectsDigest);
    writeEvidence(writer, report.suspects);
    writer.number(report.evacuationsDigest);
    writeList(writer, report.evacuations);
    return writer.take();
}

state::Result<PeerReport> decodePeerReport(std::string_view datagram, std::uint32_t deployment)
{
    constexpr std::string_view step = "peerreport.decode";
    BinaryReader reader(datagram);
    std::uint32_t magic = 0;
    std::uint32_t senderDeployment = 0;
    reader.number(magic);
    reader.number(senderDeployment);
    if (reader.failed() || magic != Magic || senderDeployment != deployment) {
        return state::fail(step, "", "not a report of this deployment");
    }
    PeerReport report;
    visitHeader(reader, report);
    readList(reader, report.targets);
    readList(reader, report.active);
    readList(reader, report.quotas);
    readList(reader, report.quotaReturns);
    readList(reader, report.rollouts);
    readList(reader, report.versions);
    reader.number(report.statementsDigest);
    readList(reader, report.statements);
    readList(reader, report.sent);
    readList(reader, report.backOffs);
    reader.number(report.suspectsDigest);
    readEvidence(reader, report.suspects);
    reader.number(report.evacuationsDigest);
    readList(reader, report.evacuations);
    if (reader.failed() || !reader.atEnd()) {
        return state::fail(step, report.host, "malformed, truncated or followed by extra bytes");
    }
    return report;
}

} // namespace sapphirecove::protocol
