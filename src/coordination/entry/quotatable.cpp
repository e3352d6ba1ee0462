#include "coordination/entry/quotatable.h"

#include "coordination/entry/shorthash.h"

#include <algorithm>
#include <utility>

namespace sapphirecove::coordination::entry {

namespace {

/**
 * Fraction of the deployment's overage and slack that hosts use. The rest covers what several hosts admit between two
 * reports, and usage that was not yet stored when all hosts failed.
 */
constexpr double UsedOverage = 0.4;

/**
 * Fraction of the quota from which on a customer's usage is stored. For customers without stored usage, this fraction
 * is assumed.
 */
constexpr double SignificantShare = 0.35;

/** Fraction of a quota that may be used before the usage is stored again; less than the overage that is left unused. */
constexpr double SignificantGrowth = 0.05;

/** Interval at which the usage is stored while little is used; a small part of the window. */
constexpr state::Duration StoreInterval = std::chrono::milliseconds(1000);

/** Time before the end of the window from which on nothing is given back, so that peers still count the charge. */
constexpr state::Duration ReturnMargin = std::chrono::milliseconds(1500);

/** Limits of the Retry-After time for a customer over its quota. */
constexpr state::Duration MinRetryAfter = std::chrono::milliseconds(200);
constexpr state::Duration MaxRetryAfter = std::chrono::seconds(5);

} // namespace

QuotaTable::QuotaTable(const state::entry::Bounds &bounds)
    : m_window(bounds.quotaWindow)
    , m_overage(bounds.quotaOverage * UsedOverage)
    , m_slack(bounds.quotaSlack * UsedOverage)
{
}

void QuotaTable::configure(const state::entry::RoutingTable &table, bool usageKnown, state::Time now)
{
    std::map<std::string, Account, std::less<>> next;
    for (const auto &customer : table.customers()) {
        const auto known = m_accounts.find(customer.name);
        Account account = known != m_accounts.end() ? known->second : Account(m_window);
        account.rate = customer.ratePerSecond;
        account.burst = customer.burst;
        if (known == m_accounts.end() && !usageKnown && account.rate > 0) {
            initializeUse(customer.name, account, now);
        }
        next.emplace(customer.name, std::move(account));
    }
    m_accounts = std::move(next);
    m_byHash.clear();
    for (auto &[name, account] : m_accounts) {
        m_byHash[shortHash(name)] = &account;
    }
}

void QuotaTable::setReachableShare(double share)
{
    m_share = share;
}

void QuotaTable::peerReported(const PeerReport &report, state::Time now)
{
    const bool known = m_peers.contains(report.host);
    PeerUse &use = m_peers[report.host];
    if (use.incarnation != report.incarnation) {
        use.admitted.clear();
        use.givenBack.clear();
        use.incarnation = report.incarnation;
        use.knownSince = now;
    }
    const bool coversWindow = std::chrono::milliseconds(report.uptimeMs) > m_window;
    for (const auto &share : report.quotas) {
        const auto found = m_byHash.find(share.customer);
        const auto before = use.admitted.find(share.customer);
        // What a peer admitted before its first report to this host may lie before the window: only later growth
        // counts.
        const bool allInWindow = known || !coversWindow;
        const double grown = before != use.admitted.end() ? share.admitted - before->second
            : allInWindow                                 ? share.admitted
                                                          : 0;
        use.admitted[share.customer] = share.admitted;
        if (found == m_byHash.end()) {
            continue;
        }
        Account &account = *found->second;
        if (account.useEstimated && coversWindow) {
            account.useEstimated = false;
            // Usage that the restored values lack counts as recent, since a burst may have been going on.
            const double missing = share.usedInWindow - account.used.sum(now);
            account.used.add(std::max(0.0, missing), now);
        } else if (grown > 0) {
            account.used.add(grown, now);
            account.sinceStored += grown;
        }
    }
    peerGaveBack(report, use, now);
}

/** Takes off what the peer has given back since its last report, if this host has counted the charges. */
void QuotaTable::peerGaveBack(const PeerReport &report, PeerUse &use, state::Time now)
{
    const bool countedCharges = now - use.knownSince > m_window;
    for (const auto &share : report.quotaReturns) {
        double &before = use.givenBack[share.customer];
        const double grown = share.givenBack - before;
        before = share.givenBack;
        const auto found = m_byHash.find(share.customer);
        if (countedCharges && grown > 0 && found != m_byHash.end()) {
            found->second->used.takeBack(grown);
        }
    }
}

void QuotaTable::raiseUseTo(const std::vector<QuotaShare> &use, state::Time now)
{
    for (const auto &share : use) {
        const auto found = m_byHash.find(share.customer);
        if (found == m_byHash.end()) {
            continue;
        }
        Account &account = *found->second;
        account.useEstimated = false;
        const double missing = share.usedInWindow - account.used.sum(now);
        account.used.add(std::max(0.0, missing), now);
    }
}

std::optional<state::Duration> QuotaTable::admit(const std::string &customer, double cost, state::Time now)
{
    const auto found = m_accounts.find(customer);
    if (found == m_accounts.end() || found->second.rate <= 0) {
        return std::nullopt;
    }
    Account &account = found->second;
    const double limit = allowed(account);
    // A request larger than the whole quota is admitted if nothing else was.
    const double room = std::max(0.0, limit - cost);
    if (account.used.sum(now) > room) {
        const state::Duration wait = account.used.timeAtOrBelow(room, now) - now;
        return std::clamp<state::Duration>(wait, MinRetryAfter, MaxRetryAfter);
    }
    account.used.add(cost, now);
    account.sinceStored += cost;
    account.admittedHere += cost;
    return std::nullopt;
}

bool QuotaTable::isLimited(std::string_view customer) const
{
    const auto found = m_accounts.find(customer);
    return found != m_accounts.end() && found->second.rate > 0;
}

void QuotaTable::giveBack(std::string_view customer, double cost, state::Time charged, state::Time now)
{
    const auto found = m_accounts.find(customer);
    if (found == m_accounts.end() || now - charged > m_window - ReturnMargin) {
        return;
    }
    Account &account = found->second;
    account.used.takeBack(cost);
    account.givenBackHere += cost;
    m_givenBack += cost;
}

void QuotaTable::restore(std::vector<QuotaUse> restored)
{
    m_restored = std::move(restored);
}

std::optional<std::vector<QuotaUse>> QuotaTable::useToStore(state::Time now)
{
    auto use = significantUse(now);
    const bool due = now - m_storedAt >= StoreInterval || hasSignificantGrowth();
    if (!due || use == m_stored) {
        return std::nullopt;
    }
    m_stored = use;
    m_storedAt = now;
    for (auto &[name, account] : m_accounts) {
        account.sinceStored = 0;
    }
    return use;
}

/** Returns whether a customer has used a significant part of its quota since the usage was last stored. */
bool QuotaTable::hasSignificantGrowth() const
{
    return std::any_of(m_accounts.begin(), m_accounts.end(), [this](const auto &entry) {
        const Account &account = entry.second;
        return account.rate > 0 && account.sinceStored > SignificantGrowth * allowed(account);
    });
}

std::vector<QuotaUse> QuotaTable::significantUse(state::Time now)
{
    std::vector<QuotaUse> result;
    for (auto &[name, account] : m_accounts) {
        if (account.rate <= 0 || account.used.sum(now) < SignificantShare * allowed(account)) {
            continue;
        }
        QuotaUse use{ name, {} };
        const state::Duration slice = m_window / QuotaUse::SliceCount;
        state::Time begin = now - m_window;
        for (double &amount : use.slices) {
            amount = account.used.sumBetween(begin, begin + slice);
            begin += slice;
        }
        result.push_back(std::move(use));
    }
    return result;
}

std::vector<QuotaShare> QuotaTable::shares(state::Time now)
{
    std::vector<QuotaShare> shares;
    for (auto &[name, account] : m_accounts) {
        const double used = account.used.sum(now);
        if (account.admittedHere > 0 || used > 0) {
            shares.push_back({ shortHash(name), account.admittedHere, static_cast<float>(used) });
        }
    }
    return shares;
}

std::vector<QuotaReturn> QuotaTable::returns() const
{
    std::vector<QuotaReturn> returns;
    for (const auto &[name, account] : m_accounts) {
        if (account.givenBackHere > 0) {
            returns.push_back({ shortHash(name), account.givenBackHere });
        }
    }
    return returns;
}

/** Initializes the window with the stored usage as if it had been stored just now; the record may be a little older. */
void QuotaTable::initializeUse(const std::string &customer, Account &account, state::Time now) const
{
    account.useEstimated = true;
    const auto known = std::find_if(m_restored.begin(), m_restored.end(), [&](const QuotaUse &use) {
        return use.customer == customer;
    });
    if (known == m_restored.end()) {
        account.used.add(SignificantShare * allowed(account), now);
        return;
    }
    // Each slice counts as used at its end, since the times within the slice are unknown.
    const state::Duration slice = m_window / QuotaUse::SliceCount;
    state::Time end = now - m_window;
    for (const double amount : known->slices) {
        end += slice;
        account.used.add(amount, end);
    }
}

double QuotaTable::allowed(const Account &account) const
{
    const double quota = account.rate * state::toSeconds(m_window) + account.burst;
    return m_share * (quota * (1 + m_overage) + m_slack);
}

} // namespace sapphirecove::coordination::entry
