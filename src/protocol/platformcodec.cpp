#include "protocol/platformcodec.h"

#include "protocol/fieldreader.h"

#include <map>

namespace sapphirecove::protocol {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusConflict = 409;

enum class CacheEventKind {
    Added,
    Removed,
};

struct CacheEvent
{
    state::Offset offset = 0;
    CacheEventKind kind = CacheEventKind::Added;
    std::vector<std::uint64_t> hashes;
};

struct CacheEvents
{
    state::Offset first = 0;
    state::Offset next = 0;
    std::vector<CacheEvent> events;
};

/** Body of an engine's response to an order. */
struct OrderResponse
{
    bool accepted = false;
};

} // namespace

template <>
inline constexpr std::array EnumNames<CacheEventKind>{
    EnumName{ CacheEventKind::Added, "added" },
    EnumName{ CacheEventKind::Removed, "removed" },
};

template <typename Visitor>
void visitFields(Visitor &visit, MaybeConst<state::ListedHost> auto &host)
{
    visit("id", host.id);
    visit("address", host.address);
    visit("peer_port", host.peerPort, PortBounds);
    visit("region", host.region);
    visit("failure_domain", host.failureDomain);
    visit("state", host.state);
}

template <typename Visitor>
void visitFields(Visitor &visit, MaybeConst<state::ListedTarget> auto &target)
{
    visit("id", target.id);
    visit("state", target.state);
}

template <typename Visitor>
void visitFields(Visitor &visit, MaybeConst<state::HostList> auto &list)
{
    visit("hosts", list.hosts);
    visit("targets", list.targets);
}

template <typename Visitor>
void visitFields(Visitor &visit, MaybeConst<coordination::LoadReported> auto &report)
{
    visit("measured_at_us", report.measuredAt);
    visit("running", report.running);
    visit("waiting", report.waiting);
    visit("version", report.version);
    visit("loading", report.loadingVersion);
}

template <typename Visitor>
void visitFields(Visitor &visit, MaybeConst<CacheEvent> auto &event)
{
    visit("offset", event.offset);
    visit("kind", event.kind);
    visit("hashes", event.hashes);
}

template <typename Visitor>
void visitFields(Visitor &visit, MaybeConst<CacheEvents> auto &events)
{
    visit("first", events.first);
    visit("next", events.next);
    visit("events", events.events);
}

template <typename Visitor>
void visitFields(Visitor &visit, MaybeConst<OrderResponse> auto &response)
{
    visit("accepted", response.accepted);
}

namespace {

/** Parses a JSON document into a struct whose fields visitFields() lists. */
template <typename Struct>
state::Result<Struct> decodeDocument(std::string_view body, std::string_view step, std::string_view peer)
{
    BOOST_LEAF_AUTO(document, parseJson(body, step, peer));
    ReadContext context;
    Struct result;
    FieldReader::read(context, document, result);
    if (context.failed()) {
        return state::fail(step, peer, context.detail());
    }
    return result;
}

/** Returns whether offsets between @p from and the end of @p events are missing. */
bool hasGap(const CacheEvents &events, state::Offset from)
{
    state::Offset expected = from;
    for (const CacheEvent &event : events.events) {
        if (event.offset > expected) {
            return true;
        }
        expected = event.offset + 1;
    }
    return events.first > from || events.next < from || events.next > expected;
}

} // namespace

state::Result<state::HostList> decodeHostList(std::string_view body, std::string_view peer)
{
    return decodeDocument<state::HostList>(body, "host_list.decode", peer);
}

state::Result<coordination::LoadReported>
decodeLoadReport(std::string_view body, const state::TargetId &target, std::string_view peer)
{
    BOOST_LEAF_AUTO(report, decodeDocument<coordination::LoadReported>(body, "load.decode", peer));
    report.target = target;
    return report;
}

state::Result<CacheEventsResponse>
decodeCacheEvents(std::string_view body, const state::TargetId &target, state::Offset from, std::string_view peer)
{
    BOOST_LEAF_AUTO(events, decodeDocument<CacheEvents>(body, "cache_events.decode", peer));
    std::map<std::uint64_t, CacheEventKind> lastKindByHash;
    for (const CacheEvent &event : events.events) {
        for (const std::uint64_t hash : event.hashes) {
            lastKindByHash[hash] = event.kind;
        }
    }
    CacheEventsResponse response;
    response.first = events.first;
    response.next = events.next;
    response.change.target = target;
    response.change.gap = hasGap(events, from);
    for (const auto &[hash, kind] : lastKindByHash) {
        auto &hashes = kind == CacheEventKind::Added ? response.change.added : response.change.removed;
        hashes.push_back(hash);
    }
    return response;
}

std::string encodeOrderBody(const coordination::SendOrder &order)
{
    json::object body;
    FieldWriter writer(body);
    writer("order", std::string("load_version"));
    writer("version", order.version);
    writer("fencing", order.fencing);
    writer("id", order.order);
    return json::serialize(body);
}

state::Result<coordination::OrderAnswered>
decodeOrderResponse(int status, std::string_view body, const coordination::SendOrder &order, std::string_view peer)
{
    coordination::OrderAnswered answer;
    answer.order = order.order;
    answer.target = order.target;
    answer.delivered = true;
    if (status == StatusConflict) {
        answer.detail = "fencing number refused";
        return answer;
    }
    if (status != StatusOk) {
        return state::fail("order.decode", peer, "unexpected status " + std::to_string(status));
    }
    BOOST_LEAF_AUTO(response, decodeDocument<OrderResponse>(body, "order.decode", peer));
    answer.accepted = response.accepted;
    return answer;
}

} // namespace sapphirecove::protocol
