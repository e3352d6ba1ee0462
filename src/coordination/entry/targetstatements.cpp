#include "coordination/entry/targetstatements.h"

#include "coordination/entry/decidermessages.h"
#include "coordination/entry/messageage.h"
#include "coordination/entry/shorthash.h"

#include <algorithm>
#include <cmath>
#include <iterator>
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

/** Time in which the rate doubles when a target is no longer cold, as it must not be the first choice of all at once.
 */
constexpr double ColdDoublingSeconds = 0.5;

/** Time after coldness from which on a target of a service without a bound gets as much as any other. */
constexpr state::Duration ColdRamp = std::chrono::seconds(2);

/**
 * Time for which a host that has just begun to decide, or has heard of requests that another host decided, uses a part
 * of the rates of cold targets only: the other one may go on for some hosts until it hears of the change.
 */
constexpr state::Duration HandOverTime = std::chrono::seconds(1);
constexpr double HandOverShare = 0.25;

/** Rise of the share that a host may use from which on it has begun to decide for others. */
constexpr double HandOverRise = 2;

/** Time for which hosts remember a limit after it was stated last, and its end. */
constexpr state::Duration KeepStated = std::chrono::minutes(10);
constexpr state::Duration KeepEnded = std::chrono::seconds(60);

/** Time for which the counts of a host that stopped reporting are kept. */
constexpr state::Duration KeepPeers = std::chrono::seconds(60);

/** Time for which a target counts as leaving after it said so: longer than any drain. It does not come back. */
constexpr state::Duration KeepLeaving = std::chrono::hours(1);

/**
 * Longest back-off that one response causes. A target that needs more says so again; a wrong value does not take a
 * target away for long.
 */
constexpr state::Duration MaxBackOff = std::chrono::seconds(60);

/**
 * Requests per second at the end of a back-off, the time in which they double, and the time after which the target gets
 * as much as any other. What has waited for the end must not arrive at once.
 */
constexpr double BackOffEndRate = 8;
constexpr double BackOffDoublingSeconds = 0.25;
constexpr state::Duration BackOffRamp = std::chrono::seconds(1);

/** Growth of a peer's back-off from which on it is a new one; less is the varying time that reports take. */
constexpr state::Duration MinNewBackOff = std::chrono::milliseconds(100);

/** Back-offs shorter than this are over before a report could change anything. */
constexpr state::Duration MinUrgentBackOff = std::chrono::milliseconds(100);

/** A limit below this fraction of the known one is reported at once, a smaller change with the next report. */
constexpr double UrgentFraction = 0.9;

/** Most targets whose statements a host remembers; more than a fleet is designed for. */
constexpr std::size_t MaxTargets = 16384;

/** Most statements, and most counts, in one message, which has to fit into a datagram. */
constexpr std::size_t MaxShared = 500;

/** Time after a host's last request to a target for which it keeps their number. */
constexpr state::Duration KeepSends = std::chrono::seconds(60);

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

StatementChanges
TargetStatements::heard(std::uint32_t target, const SelfStatement &statement, state::Time sent, state::Time now)
{
    StatementChanges changes;
    changes.limit = heardRate(target, statement.rate, sent, now);
    changes.leaving = statement.leaving && heardLeaving(target, now);
    changes.backOff = statement.backOff && heardBackOff(target, *statement.backOff, now);
    return changes;
}

bool TargetStatements::heardRate(std::uint32_t target,
                                 const RateStatement &statement,
                                 state::Time sent,
                                 state::Time now)
{
    const auto found = m_items.find(target);
    const bool inForce = found != m_items.end() && !found->second.limit.ended;
    const bool mayBeOlder = inForce && sent < found->second.limit.statedAt;
    switch (statement.kind) {
    case RateStatement::Kind::Malformed:
        return false;
    case RateStatement::Kind::None:
        if (!inForce || mayBeOlder) {
            return false;
        }
        found->second.limit.ended = true;
        found->second.limit.statedAt = now;
        found->second.heardAt = now;
        ++found->second.limit.revision;
        return true;
    case RateStatement::Kind::Limit:
        break;
    }
    Item &item = itemOfHeard(target, now);
    // As a float, so that the value does not change on its way through messages.
    const double stated = static_cast<float>(std::min(statement.requestsPerSecond, 1e9));
    TargetLimit &limit = item.limit;
    if (mayBeOlder && stated > limit.requestsPerSecond) {
        return false;
    }
    if (!inForce || stated < limit.requestsPerSecond * UrgentFraction) {
        m_urgent = true;
    }
    if (!item.coldPace && !isEffective(limit, now)) {
        item.pacer = RatePacer(phaseOf(m_self, target), now);
    }
    const bool changed = !inForce || limit.requestsPerSecond != stated;
    limit = { stated, false, limit.revision + (changed ? 1 : 0), now };
    item.heardAt = now;
    return changed;
}

/** Records that @p target is leaving; returns whether that is news. */
bool TargetStatements::heardLeaving(std::uint32_t target, state::Time now)
{
    Item &item = itemOfHeard(target, now);
    const bool isNews = !item.leavingSince;
    if (isNews) {
        item.leavingSince = now;
        m_urgent = true;
    }
    return isNews;
}

/** Records that @p target wants no requests from this host; returns whether that is news. */
bool TargetStatements::heardBackOff(std::uint32_t target, state::Duration backOff, state::Time now)
{
    const state::Time end = now + std::min(backOff, MaxBackOff);
    Item &item = itemOfHeard(target, now);
    const bool isNews = item.backOffEnd <= now && end > now;
    if (isNews && end - now >= MinUrgentBackOff) {
        m_urgent = true;
    }
    if (end > item.backOffEnd) {
        item.backOffEnd = end;
        ++m_backOffsHeard;
    }
    extendBackOff(target, item, end, now);
    return isNews;
}

/** Extends the time for which @p target is backing off from any host to @p end. */
void TargetStatements::extendBackOff(std::uint32_t target, Item &item, state::Time end, state::Time now)
{
    if (end <= item.lastBackOffEnd) {
        return;
    }
    item.lastBackOffEnd = end;
    m_lastBackOffEnd = std::max(m_lastBackOffEnd, end);
    if (!item.coldPace && !isEffective(item.limit, now)) {
        item.pacer = RatePacer(phaseOf(m_self, target), end);
    }
}

void TargetStatements::merge(std::span<const StatementShare> shares, state::Time now)
{
    for (const StatementShare &share : shares) {
        mergeLeaving(share, now);
        if (share.revision > 0) {
            merge(share, now);
        }
    }
}

void TargetStatements::mergeLeaving(const StatementShare &share, state::Time now)
{
    const state::Time since = now - std::chrono::milliseconds(share.leavingAgeMs);
    if (!share.leaving || now - since > KeepLeaving || isLeaving(share.target)
        || (!m_items.contains(share.target) && m_items.size() >= MaxTargets)) {
        return;
    }
    itemOf(share.target, now).leavingSince = since;
    m_learnedLeaving.emplace_back(share.target, since);
}

/**
 * Returns whether the target has told this process something else since @p other was stated last. Revisions begin at 1
 * with each process, so that one that has just started may know what is newer under a lower one.
 */
bool TargetStatements::isOutlived(const TargetLimit &other, const Item &item)
{
    const TargetLimit &known = item.limit;
    const bool differs = other.ended != known.ended || other.requestsPerSecond != known.requestsPerSecond;
    return differs && other.revision >= known.revision && item.heardAt && other.statedAt < *item.heardAt;
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
    if (found == m_items.end() && m_items.size() >= MaxTargets) {
        return;
    }
    if (found != m_items.end() && isOutlived(other, found->second)) {
        found->second.limit.revision = other.revision + 1;
        m_urgent = true;
        return;
    }
    if (found == m_items.end() || isNewer(other, found->second.limit)) {
        Item &item = itemOf(share.target, now);
        if (!item.coldPace && !isEffective(item.limit, now)) {
            item.pacer = RatePacer(phaseOf(m_self, share.target), now);
        }
        item.limit = other;
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
        peer = { report.incarnation, now, {}, {} };
    }
    // What a host has decided for itself alone is little; another host that decides for others may go on for a while.
    const std::uint32_t reporter = processHash(report.host, report.incarnation);
    const auto endsBefore = std::exchange(peer.backOffEnds, {});
    for (const BackOffShare &share : report.backOffs) {
        if (m_items.contains(share.target) || m_items.size() < MaxTargets) {
            const state::Duration remaining =
                std::min<state::Duration>(std::chrono::milliseconds(share.remainingMs), MaxBackOff);
            const auto before = endsBefore.find(share.target);
            const bool isNews = before == endsBefore.end() || before->second + MinNewBackOff < now + remaining;
            m_backOffsHeard += isNews ? 1 : 0;
            peer.backOffEnds[share.target] = now + remaining;
            extendBackOff(share.target, itemOf(share.target, now), now + remaining, now);
        }
    }
    peer.reportedAt = now;
    for (const SentShare &share : report.sent) {
        const auto [before, added] = peer.sent.try_emplace({ share.target, share.decider }, share.requests);
        // An entry that appears stands for one request: what was sent long before is no longer reported.
        // A host that has sent nothing for long begins to count anew.
        const std::uint32_t counted = share.requests < before->second ? 0 : before->second;
        const std::uint32_t grown = added ? 1 : share.requests - counted;
        before->second = share.requests;
        const auto found = m_items.find(share.target);
        if (known && share.decider != m_self && found != m_items.end()) {
            if (const auto rate = rateNow(found->second, now)) {
                // Where a host does not decide, only the requests of others use the rate.
                if (found->second.coldPace && m_share <= 0) {
                    found->second.pacer.refill(*rate, now, ColdPace::BurstSeconds);
                } else if (found->second.coldPace && grown > 0 && share.decider != reporter) {
                    m_inChargeSince = now;
                }
                found->second.pacer.spend(grown, *rate);
            }
        }
    }
}

void TargetStatements::setColdPace(std::uint32_t target,
                                   const std::optional<ColdPace> &pace,
                                   state::Time coldUntil,
                                   state::Time now)
{
    const auto found = m_items.find(target);
    if (found == m_items.end() && (!pace || m_items.size() >= MaxTargets)) {
        return;
    }
    const bool isFirst = pace && std::none_of(m_items.begin(), m_items.end(), [](const auto &entry) {
                             return entry.second.coldPace.has_value();
                         });
    if (isFirst) {
        m_inChargeSince = now; // A process that has just started may take over from another one.
    }
    Item &item = itemOf(target, now);
    item.coldPace = pace;
    item.coldUntil = coldUntil;
}

void TargetStatements::dropColdPaces(const std::function<bool(std::uint32_t)> &isGone)
{
    for (auto &[target, item] : m_items) {
        if (item.coldPace && isGone(target)) {
            item.coldPace.reset();
        }
    }
}

void TargetStatements::setShare(double share, state::Time now)
{
    if (share > HandOverRise * m_share) {
        m_inChargeSince = now;
    }
    if (share > 0 && m_share <= 0) {
        for (auto &[target, item] : m_items) {
            item.pacer.skip(now);
            item.pacer.dropSaved(phaseOf(m_self, target));
        }
    }
    m_share = share;
}

bool TargetStatements::isLeaving(std::uint32_t target) const
{
    const auto found = m_items.find(target);
    return found != m_items.end() && found->second.leavingSince;
}

std::optional<state::Time>
TargetStatements::closedUntil(std::uint32_t target, std::string_view host, state::Time now) const
{
    const auto found = m_items.find(target);
    if (found == m_items.end()) {
        return std::nullopt;
    }
    if (found->second.leavingSince) {
        return state::Time::max();
    }
    state::Time end = found->second.backOffEnd;
    if (!host.empty()) {
        const auto peer = m_peers.find(host);
        if (peer == m_peers.end() || !peer->second.backOffEnds.contains(target)) {
            return std::nullopt;
        }
        end = peer->second.backOffEnds.at(target);
    }
    return end > now ? std::optional(end) : std::nullopt;
}

bool TargetStatements::isBackingOff(std::uint32_t target, state::Time now) const
{
    const auto found = m_items.find(target);
    return found != m_items.end() && now < found->second.lastBackOffEnd;
}

bool TargetStatements::mayDispatch(std::uint32_t target, state::Time now)
{
    const auto found = m_items.find(target);
    const auto rate = found == m_items.end() ? std::nullopt : rateNow(found->second, now);
    if (!rate) {
        return true;
    }
    Item &item = found->second;
    if (!item.coldPace) {
        item.pacer.refill(*rate * m_share, now);
        return item.pacer.ready();
    }
    const double share = now - m_inChargeSince < HandOverTime ? m_share * HandOverShare : m_share;
    item.pacer.refill(*rate * share, now, ColdPace::BurstSeconds);
    return found->second.pacer.ready();
}

void TargetStatements::dispatched(std::uint32_t target, state::Time now)
{
    const auto found = m_items.find(target);
    const auto rate = found == m_items.end() ? std::nullopt : rateNow(found->second, now);
    if (rate) {
        found->second.pacer.spend(1, *rate);
    }
}

void TargetStatements::sent(std::uint32_t target, std::uint32_t decider, bool paced, state::Time now)
{
    if (paced || m_items.contains(target)) {
        Sends &sends = m_sent[{ target, decider }];
        ++sends.requests;
        sends.last = now;
    }
}

std::optional<double> TargetStatements::rate(std::uint32_t target, state::Time now) const
{
    const auto found = m_items.find(target);
    return found == m_items.end() ? std::nullopt : rateNow(found->second, now);
}

std::uint32_t TargetStatements::digest() const
{
    std::uint32_t digest = 0;
    for (const auto &[target, item] : m_items) {
        if (item.leavingSince) {
            digest ^= shortHash(std::to_string(target) + "/leaving");
        }
        const TargetLimit &limit = item.limit;
        if (limit.revision == 0) {
            continue;
        }
        digest ^= shortHash(std::to_string(target) + '/' + std::to_string(limit.revision) + (limit.ended ? "/-" : "/+")
                            + std::to_string(limit.requestsPerSecond));
    }
    return digest;
}

std::vector<StatementShare> TargetStatements::shares(state::Time now)
{
    std::vector<StatementShare> result;
    auto entry = m_items.lower_bound(m_nextShared);
    for (std::size_t visited = 0; visited < m_items.size() && result.size() < MaxShared; ++visited, ++entry) {
        entry = entry == m_items.end() ? m_items.begin() : entry;
        const Item &item = entry->second;
        if (item.limit.revision > 0 || item.leavingSince) {
            result.push_back({ entry->first,
                               static_cast<float>(item.limit.requestsPerSecond),
                               item.limit.revision,
                               item.limit.ended,
                               ageMs(item.limit.statedAt, now),
                               item.leavingSince.has_value(),
                               ageMs(item.leavingSince.value_or(now), now) });
        }
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

std::vector<BackOffShare> TargetStatements::backOffShares(state::Time now) const
{
    std::vector<BackOffShare> result;
    if (!anyBackOff(now)) {
        return result;
    }
    for (const auto &[target, item] : m_items) {
        if (item.backOffEnd > now && result.size() < MaxShared) {
            result.push_back({ target, ageMs(now, item.backOffEnd) });
        }
    }
    return result;
}

/** Drops old statements of @p item; returns whether one is left. */
bool TargetStatements::dropOld(Item &item, state::Time now)
{
    if (item.leavingSince && now - *item.leavingSince > KeepLeaving) {
        item.leavingSince.reset();
    }
    if (item.limit.revision > 0 && now - item.limit.statedAt > keepFor(item.limit)) {
        item.limit = {};
    }
    return item.coldPace || item.leavingSince || item.limit.revision > 0 || now < item.lastBackOffEnd + BackOffRamp;
}

void TargetStatements::expire(state::Time now)
{
    for (auto entry = m_items.begin(); entry != m_items.end();) {
        entry = dropOld(entry->second, now) ? std::next(entry) : m_items.erase(entry);
    }
    const auto isForgotten = [this](const auto &entry) {
        return !m_items.contains(entry.first.first);
    };
    std::erase_if(m_sent, [&](const auto &entry) {
        return isForgotten(entry) && now - entry.second.last > KeepSends;
    });
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

std::vector<std::pair<std::uint32_t, state::Time>> TargetStatements::takeLearnedLeaving()
{
    return std::exchange(m_learnedLeaving, {});
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

std::size_t TargetStatements::leavingCount() const
{
    return static_cast<std::size_t>(std::count_if(m_items.begin(), m_items.end(), [](const auto &entry) {
        return entry.second.leavingSince.has_value();
    }));
}

std::size_t TargetStatements::coldCount(state::Time now) const
{
    return static_cast<std::size_t>(std::count_if(m_items.begin(), m_items.end(), [now](const auto &entry) {
        return entry.second.coldPace && now < entry.second.coldUntil;
    }));
}

std::size_t TargetStatements::backingOffCount(state::Time now) const
{
    return static_cast<std::size_t>(std::count_if(m_items.begin(), m_items.end(), [now](const auto &entry) {
        return now < entry.second.lastBackOffEnd;
    }));
}

/** Returns the item of a target that this host has heard itself; if there are too many, another one is dropped. */
TargetStatements::Item &TargetStatements::itemOfHeard(std::uint32_t target, state::Time now)
{
    if (!m_items.contains(target) && m_items.size() >= MaxTargets) {
        const auto latest = [](const Item &item) {
            return std::max({ item.limit.statedAt, item.leavingSince.value_or(state::Time()), item.lastBackOffEnd });
        };
        m_items.erase(std::min_element(m_items.begin(), m_items.end(), [&](const auto &a, const auto &b) {
            return latest(a.second) < latest(b.second);
        }));
    }
    return itemOf(target, now);
}

/** Returns the item of @p target; a new one starts with the phase of this process. */
TargetStatements::Item &TargetStatements::itemOf(std::uint32_t target, state::Time now)
{
    const auto found = m_items.find(target);
    if (found != m_items.end()) {
        return found->second;
    }
    return m_items.emplace(target, Item{ {}, {}, RatePacer(phaseOf(m_self, target), now), {}, {}, {}, {}, {} })
        .first->second;
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

/** Returns the requests per second that @p item leaves to all hosts at @p now; nothing if it sets no limit. */
std::optional<double> TargetStatements::rateNow(const Item &item, state::Time now)
{
    double rate = std::numeric_limits<double>::infinity();
    if (isEffective(item.limit, now)) {
        rate = rateOf(item.limit, now);
    }
    const state::Duration sinceEnd = now - item.lastBackOffEnd;
    const bool backedOff = item.lastBackOffEnd != state::Time();
    if (backedOff && sinceEnd >= state::Duration::zero() && sinceEnd < BackOffRamp) {
        rate = std::min(rate, BackOffEndRate * std::exp2(state::toSeconds(sinceEnd) / BackOffDoublingSeconds));
    }
    if (item.coldPace) {
        rate = std::min(rate, coldRate(*item.coldPace, item.coldUntil, now));
    }
    return std::isfinite(rate) ? std::optional(rate) : std::nullopt;
}

/** Returns the requests per second that @p pace permits at @p now; infinity for no limit. */
double TargetStatements::coldRate(const ColdPace &pace, state::Time coldUntil, state::Time now)
{
    const double warm = pace.warm.value_or(std::numeric_limits<double>::infinity());
    const state::Duration sinceCold = now - coldUntil;
    if (sinceCold >= ColdRamp) {
        return warm;
    }
    const double doublings = state::toSeconds(std::max(sinceCold, state::Duration::zero())) / ColdDoublingSeconds;
    return std::min(warm, pace.cold * std::exp2(doublings));
}

bool TargetStatements::isEffective(const TargetLimit &limit, state::Time now)
{
    return !limit.ended || now - limit.statedAt < EndRamp;
}

} // namespace sapphirecove::coordination::entry
