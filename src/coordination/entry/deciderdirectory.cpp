#include "coordination/entry/deciderdirectory.h"

#include "coordination/entry/shorthash.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace sapphirecove::coordination::entry {

namespace {

/** Number of candidates in each region; the second one takes over when the first one fails. */
constexpr std::size_t CandidatesPerRegion = 2;

/** Number of replaced candidates of a region that still get reports, in case they recover. */
constexpr std::size_t MaxReplacedRecipients = 2;

/** Maximum age of the latest answered report of a live candidate: two report intervals and a short pause. */
constexpr state::Duration LiveFor = std::chrono::milliseconds(900);

/** Time without an answer after which the next host becomes a candidate: two report intervals. */
constexpr state::Duration DeadAfter = std::chrono::milliseconds(650);

/** Exponent of the capacity in the ranking. With it, hosts with a quarter of the capacity are rarely candidates. */
constexpr double CapacityExponent = 3;

/**
 * Returns the score of a host for the ranking: an exponential variable with the host's weight as its mean, drawn from
 * the hash of its name.
 */
double scoreOf(const KnownHost &host)
{
    constexpr double range = static_cast<double>(std::numeric_limits<std::uint32_t>::max()) + 2;
    const double uniform = (shortHash(host.name) + 1.0) / range;
    return -std::pow(std::max(host.capacity, 1e-3), CapacityExponent) / std::log(uniform);
}

} // namespace

DeciderDirectory::DeciderDirectory(std::string self, std::string region)
    : m_self(std::move(self))
    , m_region(std::move(region))
{
}

void DeciderDirectory::learn(KnownHost host)
{
    const auto [found, added] = m_hosts.try_emplace(host.name);
    Item &item = found->second;
    if (added) {
        m_ranking.push_back(&item);
    }
    item.score = scoreOf(host);
    item.host = std::move(host);
    std::sort(m_ranking.begin(), m_ranking.end(), [](const Item *a, const Item *b) {
        return a->score != b->score ? a->score > b->score : a->host.name < b->host.name;
    });
}

void DeciderDirectory::reportAnswered(const ReportReply &reply, state::Time reportSentAt)
{
    const auto found = m_hosts.find(reply.host);
    if (found == m_hosts.end() || reportSentAt < found->second.reportSentAt) {
        return;
    }
    found->second.reply = reply;
    found->second.reportSentAt = reportSentAt;
    found->second.unansweredSince.reset();
}

void DeciderDirectory::reportSent(std::string_view host, state::Time now)
{
    const auto found = m_hosts.find(host);
    if (found != m_hosts.end() && !found->second.unansweredSince) {
        found->second.unansweredSince = now;
    }
}

void DeciderDirectory::suspect(std::string_view host, state::Time now)
{
    const auto found = m_hosts.find(host);
    if (found != m_hosts.end()) {
        found->second.suspectedAt = now;
    }
}

void DeciderDirectory::setSelf(bool canDecide, bool qualified, state::Duration targetsAge)
{
    m_selfCanDecide = canDecide;
    m_selfQualified = qualified;
    m_selfTargetsAge = targetsAge;
}

void DeciderDirectory::setTargetsAgeLimits(TargetsAgeLimits limits, bool acceptsOlder)
{
    m_targetsAgeLimits = limits;
    m_acceptsOlderTargets = acceptsOlder;
}

std::vector<const KnownHost *> DeciderDirectory::reportRecipients(state::Time now) const
{
    struct Counts
    {
        std::size_t candidates = 0;
        std::size_t replaced = 0;
    };
    std::map<std::string_view, Counts> regions;
    std::vector<const KnownHost *> result;
    for (const Item *item : m_ranking) {
        Counts &counts = regions[item->host.region];
        if (counts.candidates >= CandidatesPerRegion) {
            continue;
        }
        if (replaced(*item, now)) {
            if (++counts.replaced <= MaxReplacedRecipients) {
                result.push_back(&item->host);
            }
            continue;
        }
        ++counts.candidates;
        if (item->host.name != m_self) {
            result.push_back(&item->host);
        }
    }
    return result;
}

std::optional<std::string_view> DeciderDirectory::decider(state::Time now) const
{
    const Item *second = nullptr;
    const Item *outdated = nullptr;
    for (const Item *item : m_ranking) {
        const bool self = item->host.name == m_self;
        const bool decides = self ? m_selfCanDecide : live(*item, now) && item->reply->canDecide;
        if (!decides) {
            continue;
        }
        const bool usable = targetsAge(*item, now) <= m_targetsAgeLimits.placement;
        if (usable && (self ? m_selfQualified : item->reply->qualified)) {
            return item->host.name;
        }
        const Item *&best = usable ? second : outdated;
        if (best == nullptr && (!self || isCandidate(now))) {
            best = item;
        }
    }
    // A host that the store serves can get a newer list itself.
    const Item *chosen = second == nullptr && m_acceptsOlderTargets ? outdated : second;
    return chosen == nullptr ? std::nullopt : std::optional<std::string_view>(chosen->host.name);
}

bool DeciderDirectory::isCandidate(state::Time now) const
{
    std::size_t before = 0;
    for (const Item *item : m_ranking) {
        if (item->host.name == m_self) {
            return true;
        }
        if (item->host.region == m_region && !replaced(*item, now) && ++before >= CandidatesPerRegion) {
            return false;
        }
    }
    return true;
}

const ReportReply *DeciderDirectory::latestReplyOf(std::string_view host) const
{
    const auto found = m_hosts.find(host);
    return found == m_hosts.end() || !found->second.reply ? nullptr : &*found->second.reply;
}

const KnownHost *DeciderDirectory::configurationSource(std::uint64_t version, state::Time now) const
{
    const Item *best = nullptr;
    for (const Item *item : m_ranking) {
        if (!live(*item, now) || item->reply->configuration < version) {
            continue;
        }
        if (item->host.region == m_region) {
            return &item->host;
        }
        best = best == nullptr ? item : best;
    }
    return best == nullptr ? nullptr : &best->host;
}

std::size_t DeciderDirectory::respondingHosts(state::Time now) const
{
    return static_cast<std::size_t>(std::count_if(m_ranking.begin(), m_ranking.end(), [&](const Item *item) {
        return live(*item, now);
    }));
}

const KnownHost *DeciderDirectory::find(std::string_view host) const
{
    const auto found = m_hosts.find(host);
    return found == m_hosts.end() ? nullptr : &found->second.host;
}

/** Returns the age of the list of targets of a host, from its last reply if it is another one. */
state::Duration DeciderDirectory::targetsAge(const Item &item, state::Time now) const
{
    if (item.host.name == m_self) {
        return m_selfTargetsAge;
    }
    return item.reply ? item.reply->targetsAge + (now - item.reportSentAt) : state::Duration::zero();
}

bool DeciderDirectory::live(const Item &item, state::Time now) const
{
    return item.host.name != m_self && item.reply && now - item.reportSentAt < LiveFor
        && item.reportSentAt > item.suspectedAt;
}

bool DeciderDirectory::dead(const Item &item, state::Time now) const
{
    return item.host.name != m_self && item.unansweredSince && now - *item.unansweredSince > DeadAfter;
}

/**
 * Returns whether the next host becomes a candidate in place of this one: it does not answer, or the metadata store
 * does not serve it, so that it learns of no target that leaves.
 */
bool DeciderDirectory::replaced(const Item &item, state::Time now) const
{
    const bool answers = item.host.name != m_self && item.reply && now - item.reportSentAt < LiveFor;
    return dead(item, now) || (answers && item.reply->targetsAge > m_targetsAgeLimits.qualified);
}

} // namespace sapphirecove::coordination::entry
