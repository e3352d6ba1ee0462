#include "coordination/entry/targetstatements.h"

#include "coordination/entry/messageage.h"
#include "coordination/entry/shorthash.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace sapphirecove::coordination::entry {

namespace {

/**
 * Lowest rate in requests per second at which a target is used, whatever it states: without a request now and then,
 * no response would tell that its limit has changed.
 */
constexpr double MinRate = 0.25;

/** Time in which the rate doubles after the end of a limit, as a target that was in need must not get all at once. */
constexpr double EndDoublingSeconds = 0.5;

/** Time after the end of a limit from which on the target gets as much as any other. */
constexpr state::Duration EndRamp = std::chrono::seconds(4);

/** Time for which hosts remember a limit after it was stated last, and its end. */
constexpr state::Duration KeepStated = std::chrono::minutes(10);
constexpr state::Duration KeepEnded = std::chrono::seconds(60);

/** Time for which the counts of a host that stopped reporting are kept. */
constexpr state::Duration KeepPeers = std::chrono::seconds(60);

/** A limit below this fraction of the known one is reported at once, a smaller change with the next report. */
constexpr double UrgentFraction = 0.9;

/** Most limits that a host remembers; more than the targets that a fleet is designed for. */
constexpr std::size_t MaxLimits = 16384;

/** Most limits, and most counts, in one message, which has to fit into a datagram. */
constexpr std::size_t MaxShared = 500;

/** Time for which reports name a host's requests to a target, so that a lost report does not matter. */
constexpr state::Duration ReportSendsFor = std::chrono::seconds(2);

/** Returns the fraction of a request to @p target with which the process @p self starts. */
double phaseOf(std::uint32_t self, std::uint32_t target)
{
    const std::uint32_t hash = shortHash(std::to_string(self) + '/' + std::to_string(target));
    return static_cast<double>(hash) / (static_cast<double>(std::numeric_limits<std::uint32_t>::max()) + 1);
}

state::Duration keepFor(const TargetLimit &limit)
{
    return limit.ended ? KeepEnded : KeepStated;
}

/** Returns whether @p other replaces @p known. Of two changes that were made at once, the stricter one is in force. */
bool isNewer(const TargetLimit &other, const TargetLimit &known)
{
    if (other.revision != known.revision) {
        return other.revision > known.revision;
    }
    if (other.ended != known.ended) {
        return known.ended;
    }
    return other.requestsPerSecond < known.requestsPerSecond;
}

} // namespace

TargetStatements::TargetStatements(std::uint32_t self)
    : m_self(self)
{
}

bool TargetStatements::responded(std::uint32_t target, const RateStatement &statement, state::Time now)
{
    const auto found = m_items.find(target);
    const bool inForce = found != m_items.end() && !found->second.limit.ended;
    switch (statement.kind) {
    case RateStatement::Kind::Malformed:
        return false;
    case RateStatement::Kind::None:
        if (!inForce) {
            return false;
        }
        found->second.limit.ended = true;
        found->second.limit.statedAt = now;
        ++found->second.limit.revision;
        return true;
    case RateStatement::Kind::Limit:
        break;
    }
    if (found == m_items.end() && m_items.size() >= MaxLimits) {
        return false;
    }
    // As a float, so that the value does not change on its way through messages.
    const double stated = static_cast<float>(std::min(statement.requestsPerSecond, 1e9));
    if (!inForce || stated < found->second.limit.requestsPerSecond * UrgentFraction) {
        m_urgent = true;
    }
    TargetLimit &limit = itemOf(target, now).limit;
    const bool changed = !inForce || limit.requestsPerSecond != stated;
    limit = { stated, false, limit.revision + (changed ? 1 : 0), now };
    return changed;
}

void TargetStatements::merge(std::span<const StatementShare> shares, state::Time now)
{
    for (const StatementShare &share : shares) {
        merge(share, now);
    }
}

void TargetStatements::merge(const StatementShare &share, state::Time now)
{
    const TargetLimit other{
        share.requestsPerSecond, share.ended, share.revision, now - std::chrono::milliseconds(share.ageMs)
    };
    if (other.requestsPerSecond < 0 || now - other.statedAt > keepFor(other)) {
        return;
    }
    const auto found = m_items.find(share.target);
    if (found == m_items.end() && m_items.size() >= MaxLimits) {
        return;
    }
    if (found == m_items.end() || isNewer(other, found->second.limit)) {
        itemOf(share.target, now).limit = other;
        m_learned.push_back(share.target);
        return;
    }
    TargetLimit &known = found->second.limit;
    if (other.revision == known.revision && !known.ended && !other.ended) {
        known.statedAt = std::max(known.statedAt, other.statedAt);
    }
}

void TargetStatements::peerReported(const PeerReport &report, state::Time now)
{
    merge(report.statements, now);
    PeerState &peer = m_peers[report.host];
    // What a peer sent before its first report was sent before this host could be asked.
    const bool known = peer.incarnation == report.incarnation;
    if (!known) {
        peer = { report.incarnation, now, {} };
    }
    peer.reportedAt = now;
    for (const SentShare &share : report.sent) {
        const auto [before, added] = peer.sent.try_emplace({ share.target, share.decider }, share.requests);
        // An entry that appears stands for one request: what was sent long before is no longer reported.
        const std::uint32_t grown = added ? 1 : share.requests - std::min(before->second, share.requests);
        before->second = share.requests;
        const auto found = m_items.find(share.target);
        if (known && share.decider != m_self && found != m_items.end()) {
            found->second.pacer.spend(grown, rateOf(found->second.limit, now));
        }
    }
}

void TargetStatements::setShare(double share, state::Time now)
{
    if (share > 0 && m_share <= 0) {
        for (auto &[target, item] : m_items) {
            item.pacer.skip(now);
        }
    }
    m_share = share;
}

bool TargetStatements::mayDispatch(std::uint32_t target, state::Time now)
{
    const auto found = m_items.find(target);
    if (found == m_items.end() || !isEffective(found->second.limit, now)) {
        return true;
    }
    found->second.pacer.refill(rateOf(found->second.limit, now) * m_share, now);
    return found->second.pacer.ready();
}

void TargetStatements::dispatched(std::uint32_t target, state::Time now)
{
    const auto found = m_items.find(target);
    if (found != m_items.end()) {
        found->second.pacer.spend(1, rateOf(found->second.limit, now));
    }
}

void TargetStatements::sent(std::uint32_t target, std::uint32_t decider, state::Time now)
{
    if (m_items.contains(target)) {
        Sends &sends = m_sent[{ target, decider }];
        ++sends.requests;
        sends.last = now;
    }
}

std::optional<double> TargetStatements::rate(std::uint32_t target, state::Time now) const
{
    const TargetLimit *limit = find(target);
    return limit != nullptr && isEffective(*limit, now) ? std::optional(rateOf(*limit, now)) : std::nullopt;
}

std::uint32_t TargetStatements::digest() const
{
    std::uint32_t digest = 0;
    for (const auto &[target, item] : m_items) {
        const TargetLimit &limit = item.limit;
        digest ^= shortHash(std::to_string(target) + '/' + std::to_string(limit.revision) + (limit.ended ? "/-" : "/+")
                            + std::to_string(limit.requestsPerSecond));
    }
    return digest;
}

std::vector<StatementShare> TargetStatements::shares(state::Time now)
{
    std::vector<StatementShare> result;
    auto entry = m_items.lower_bound(m_nextShared);
    while (result.size() < std::min(m_items.size(), MaxShared)) {
        entry = entry == m_items.end() ? m_items.begin() : entry;
        const TargetLimit &limit = entry->second.limit;
        result.push_back({ entry->first,
                           static_cast<float>(limit.requestsPerSecond),
                           limit.revision,
                           limit.ended,
                           ageMs(limit.statedAt, now) });
        ++entry;
    }
    m_nextShared = entry == m_items.end() ? 0 : entry->first;
    return result;
}

std::vector<SentShare> TargetStatements::sentShares(state::Time now) const
{
    std::vector<SentShare> result;
    for (const auto &[key, sends] : m_sent) {
        if (now - sends.last < ReportSendsFor && result.size() < MaxShared) {
            result.push_back({ key.first, key.second, sends.requests });
        }
    }
    return result;
}

void TargetStatements::expire(state::Time now)
{
    std::erase_if(m_items, [now](const auto &entry) {
        return now - entry.second.limit.statedAt > keepFor(entry.second.limit);
    });
    const auto isForgotten = [this](const auto &entry) {
        return !m_items.contains(entry.first.first);
    };
    std::erase_if(m_sent, isForgotten);
    std::erase_if(m_peers, [now](const auto &entry) {
        return now - entry.second.reportedAt > KeepPeers;
    });
    for (auto &[host, peer] : m_peers) {
        std::erase_if(peer.sent, isForgotten);
    }
}

std::vector<std::uint32_t> TargetStatements::takeLearned()
{
    return std::exchange(m_learned, {});
}

bool TargetStatements::takeUrgent()
{
    return std::exchange(m_urgent, false);
}

const TargetLimit *TargetStatements::find(std::uint32_t target) const
{
    const auto found = m_items.find(target);
    return found == m_items.end() ? nullptr : &found->second.limit;
}

std::size_t TargetStatements::inForce() const
{
    return static_cast<std::size_t>(std::count_if(m_items.begin(), m_items.end(), [](const auto &entry) {
        return !entry.second.limit.ended;
    }));
}

/** Returns the item of @p target; a new one starts with the phase of this process. */
TargetStatements::Item &TargetStatements::itemOf(std::uint32_t target, state::Time now)
{
    const auto found = m_items.find(target);
    if (found != m_items.end()) {
        return found->second;
    }
    return m_items.emplace(target, Item{ {}, RatePacer(phaseOf(m_self, target), now) }).first->second;
}

/** Returns the requests per second that @p limit leaves to all hosts at @p now. */
double TargetStatements::rateOf(const TargetLimit &limit, state::Time now)
{
    const double stated = std::max(MinRate, limit.requestsPerSecond);
    if (!limit.ended) {
        return stated;
    }
    const double doublings = state::toSeconds(std::min(now - limit.statedAt, EndRamp)) / EndDoublingSeconds;
    return stated * std::exp2(std::max(0.0, doublings));
}

bool TargetStatements::isEffective(const TargetLimit &limit, state::Time now)
{
    return !limit.ended || now - limit.statedAt < EndRamp;
}

} // namespace sapphirecove::coordination::entry
