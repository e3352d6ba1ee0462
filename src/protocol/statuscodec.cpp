#include "protocol/statuscodec.h"

#include "protocol/fieldreader.h"
#include "protocol/messagefields.h"

namespace sapphirecove::protocol {

namespace {

constexpr IntegerBounds CountBounds{ 0, std::numeric_limits<int>::max() };

} // namespace

template <typename Visitor>
void visitFields(Visitor &visit, MaybeConst<coordination::PeerStatus> auto &peer)
{
    visit("id", peer.id);
    visit("incarnation", peer.incarnation);
    visit("listed", peer.listed);
    visit("alive", peer.alive);
    visit("draining", peer.draining);
    visit("ready", peer.ready);
    visit("generation", peer.generation);
    visit("silence_us", peer.timeSinceHeartbeat);
}

template <typename Visitor>
void visitFields(Visitor &visit, MaybeConst<coordination::TargetStatus> auto &target)
{
    visit("id", target.id);
    visit("version", target.version);
    visit("state", target.state);
    visit("streams", target.streams, CountBounds);
    visit("prefill_tokens", target.prefillTokens, IntegerBounds{ 0, MaxMicroseconds });
    visit("prefill_tokens_per_second", target.prefillTokensPerSecond);
    visit("decode_tokens_per_second", target.decodeTokensPerSecond);
}

template <typename Visitor>
void visitFields(Visitor &visit, MaybeConst<coordination::GroupStatus> auto &group)
{
    visit("group", group.group);
    visit("summary", group.summary);
    visit("targets", group.targets);
}

template <typename Visitor>
void visitFields(Visitor &visit, MaybeConst<coordination::AuditEntry> auto &entry)
{
    visit("time_us", entry.time);
    visit("who", entry.actor);
    visit("what", entry.kind);
    visit("subject", entry.subject);
    visit("base", entry.base);
    visit("outcome", entry.outcome);
    visit("detail", entry.detail);
}

template <typename Visitor>
void visitFields(Visitor &visit, MaybeConst<coordination::VersionChangeStatus> auto &change)
{
    visit("id", change.id);
    visit("pool", change.pool);
    visit("from", change.from);
    visit("to", change.to);
    visit("deadline_us", change.deadline);
    visit("state", change.state);
    visit("share_per_mille", change.sharePerMille, PerMilleBounds);
    visit("reason", change.reason);
}

template <typename Visitor>
void visitFields(Visitor &visit, MaybeConst<coordination::PublicationStatus> auto &publication)
{
    visit("publish_id", publication.publishId);
    visit("accepted", publication.accepted);
    visit("generation", publication.generation);
    visit("detail", publication.detail);
}

namespace {

template <typename Visitor>
void visitConfiguration(Visitor &visit, MaybeConst<coordination::StatusReport> auto &report)
{
    visit("generation", report.generation);
    visit("publish_id", report.publishId);
    visit("publications", report.publications);
}

template <typename Visitor>
void visitWhole(Visitor &visit, MaybeConst<coordination::StatusReport> auto &report)
{
    visit("host", report.host);
    visit("incarnation", report.incarnation);
    visit("ready", report.ready);
    visit("draining", report.draining);
    visit("requests", report.requests);
    visitConfiguration(visit, report);
    visit("peers", report.peers);
    visit("groups", report.groups);
    visit("changes", report.changes);
    visit("audit", report.audit);
    visit("counters", report.counters);
}

template <typename Visitor>
void visitPart(Visitor &visit, MaybeConst<coordination::StatusReport> auto &report, StatusPart part)
{
    switch (part) {
    case StatusPart::Whole:
        visitWhole(visit, report);
        break;
    case StatusPart::Configuration:
        visitConfiguration(visit, report);
        break;
    case StatusPart::Versions:
        visit("changes", report.changes);
        break;
    case StatusPart::Audit:
        visit("audit", report.audit);
        break;
    }
}

} // namespace

std::string_view statusPath(StatusPart part)
{
    switch (part) {
    case StatusPart::Configuration:
        return "/operators/v1/configuration";
    case StatusPart::Versions:
        return "/operators/v1/versions";
    case StatusPart::Audit:
        return "/operators/v1/audit";
    case StatusPart::Whole:
        break;
    }
    return "/operators/v1/status";
}

std::string encodeStatus(const coordination::StatusReport &report, StatusPart part)
{
    json::object object;
    FieldWriter writer(object);
    visitPart(writer, report, part);
    return json::serialize(object);
}

state::Result<coordination::StatusReport> decodeStatus(StatusPart part, std::string_view body, std::string_view peer)
{
    BOOST_LEAF_AUTO(document, parseJson(body, "status.decode", peer));
    if (!document.is_object()) {
        return state::fail("status.decode", peer, "expected an object");
    }
    ReadContext context;
    coordination::StatusReport report;
    FieldReader reader(context, document.get_object());
    visitPart(reader, report, part);
    if (context.failed()) {
        return state::fail("status.decode", peer, context.detail());
    }
    return report;
}

} // namespace sapphirecove::protocol
