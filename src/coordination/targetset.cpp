#include "coordination/targetset.h"

#include <algorithm>

namespace sapphirecove::coordination {

namespace {

/** Speeds needed for a meaningful median. */
constexpr std::size_t MinimumSpeeds = 3;

placement::Distance distanceBetween(int sourceDomain, int sourceRegion, int domain, int region)
{
    if (sourceDomain == domain) {
        return placement::Distance::SameFailureDomain;
    }
    return sourceRegion == region ? placement::Distance::SameRegion : placement::Distance::OtherRegion;
}

std::string stateName(TargetListing listing, const TargetModel &model)
{
    switch (listing) {
    case TargetListing::Leaving:
        return "leaving";
    case TargetListing::Unlisted:
        return "unlisted";
    case TargetListing::Live:
        break;
    }
    return model.health() == TargetModel::Health::Normal ? "live" : "ejected";
}

} // namespace

TargetSet::TargetSet(state::PoolKind kind, const std::map<std::string, std::string> &failureDomains)
    : m_kind(kind)
{
    std::map<std::string, int> regions;
    for (const auto &[domain, region] : failureDomains) {
        const int number = regions.try_emplace(region, static_cast<int>(regions.size())).first->second;
        m_places[domain] = { .domain = static_cast<int>(m_places.size()), .region = number };
    }
}

void TargetSet::set(std::span<const ArbiterTarget> targets, state::Time now)
{
    for (Entry &entry : m_entries) {
        entry.listing = TargetListing::Unlisted;
    }
    for (const ArbiterTarget &target : targets) {
        const auto known = m_index.find(target.id);
        if (known != m_index.end()) {
            update(m_entries[known->second], target);
            continue;
        }
        std::unique_ptr<TargetModel> model = state::handleFailure(
            [&] {
                return TargetModel::create(m_kind, target.capacity);
            },
            [](const state::Failure &) {
                return std::unique_ptr<TargetModel>();
            });
        // The configuration is checked before it is applied, so a target without capacity is never declared.
        if (model) {
            m_index[target.id] = m_entries.size();
            m_entries.push_back({ .model = std::move(model),
                                  .listing = target.listing,
                                  .place = placeOf(target.failureDomain),
                                  .version = target.version,
                                  .target = target });
        }
    }
    std::erase_if(m_entries, [](const Entry &entry) {
        return entry.listing == TargetListing::Unlisted && entry.model->grantedStreams() == 0;
    });
    m_index.clear();
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        m_index[m_entries[i].target.id] = i;
    }
    limitEjected();
    tick(now);
}

void TargetSet::update(Entry &entry, const ArbiterTarget &target)
{
    if (entry.target.version != target.version && entry.version != target.version) {
        entry.version = target.version;
        entry.model->clearCache();
    }
    entry.target = target;
    entry.listing = target.listing;
    entry.place = placeOf(target.failureDomain);
    entry.model->setCapacity(target.capacity);
}

void TargetSet::setVersionWeights(std::span<const VersionWeight> weights)
{
    m_shares.setWeights(weights);
    refresh();
}

TargetModel *TargetSet::model(const state::TargetId &target)
{
    const auto position = m_index.find(target);
    return position == m_index.end() ? nullptr : m_entries[position->second].model.get();
}

const state::TargetId &TargetSet::id(std::size_t target) const
{
    return m_entries[target].target.id;
}

const state::VersionName &TargetSet::version(std::size_t target) const
{
    return m_entries[target].version;
}

bool TargetSet::hasLive() const
{
    return std::ranges::any_of(m_entries, isLive);
}

bool TargetSet::canServe(const SlotRequest &ask) const
{
    // Only grants to unlimited versions earn credit, so without any the limited ones would wait for ever.
    const bool creditGrows = anyUnlimitedLive();
    return std::ranges::any_of(m_entries, [&](const Entry &entry) {
        if (!isLive(entry) || isExcluded(entry, ask)) {
            return false;
        }
        return m_shares.mayGrant(entry.version) || (creditGrows && m_shares.canEarn(entry.version));
    });
}

bool TargetSet::hasRoom(state::Time now) const
{
    return std::ranges::any_of(m_entries, [&](const Entry &entry) {
        return isLive(entry) && entry.model->hasRoom(0, now);
    });
}

TargetSet::Fit TargetSet::select(const SlotRequest &ask,
                                 double outputTokens,
                                 state::Time now,
                                 std::optional<std::size_t> reserved,
                                 std::vector<placement::Candidate> &candidates) const
{
    candidates.clear();
    Fit fit;
    Rank highest = Rank::LastResort;
    std::int64_t leastPrefill = 0;
    const Place source = placeOf(ask.sourceFailureDomain);
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        const Entry &entry = m_entries[i];
        if (!isLive(entry) || !entry.model->hasRoom(0, now) || isExcluded(entry, ask)
            || !m_shares.mayGrant(entry.version)) {
            continue;
        }
        const std::uint32_t cached = entry.model->cachedTokens(ask);
        if (!entry.model->hasRoom(ask.promptTokens - std::min(cached, ask.promptTokens), now)) {
            const std::int64_t prefill = entry.model->outstandingPrefillTokens(now);
            if (!fit.awaited || prefill < leastPrefill) {
                fit.awaited = i;
                leastPrefill = prefill;
            }
            continue;
        }
        if (reserved == i) {
            fit.fitsReserved = true;
            continue;
        }
        const placement::Candidate found = candidate(i, ask, source, cached, outputTokens, now);
        if (now + found.timeToEnd > ask.deadline) {
            fit.late = true;
            continue;
        }
        const Rank rank = rankOf(entry, ask);
        if (rank > highest) {
            candidates.clear();
            highest = rank;
        }
        if (rank == highest) {
            candidates.push_back(found);
        }
    }
    return fit;
}

placement::Candidate TargetSet::candidate(std::size_t index,
                                          const SlotRequest &ask,
                                          const Place &source,
                                          std::uint32_t cachedTokens,
                                          double outputTokens,
                                          state::Time now) const
{
    const Entry &entry = m_entries[index];
    const std::uint32_t prefill = ask.promptTokens - std::min(cachedTokens, ask.promptTokens);
    const ServiceEstimate estimate = entry.model->estimate(prefill, outputTokens, now);
    return { .target = index,
             .distance = distanceBetween(source.domain, source.region, entry.place.domain, entry.place.region),
             .streams = entry.model->streams(now),
             .streamLimit = std::max(1, entry.model->streamLimit()),
             .cachedTokens = cachedTokens,
             .timeToFirstToken = estimate.firstToken,
             .timeToEnd = estimate.end,
             .prefillTime = estimate.prefill };
}

PlannedWork TargetSet::grant(
    std::size_t target, const SlotRequest &ask, std::uint32_t cachedTokens, double outputTokens, state::Time now)
{
    m_shares.granted(m_entries[target].version);
    return m_entries[target].model->granted(ask, cachedTokens, outputTokens, now);
}

state::Duration TargetSet::fastest(const SlotRequest &ask, std::uint32_t cachedTokens, double outputTokens) const
{
    if (m_kind == state::PoolKind::Service) {
        return state::durationFromSeconds(m_fastestService);
    }
    if (m_fastestPrefill <= 0 || m_fastestDecode <= 0) {
        return state::Duration::zero();
    }
    const std::uint32_t prefill = ask.promptTokens - std::min(cachedTokens, ask.promptTokens);
    return state::durationFromSeconds(prefill / m_fastestPrefill + outputTokens / m_fastestDecode);
}

double TargetSet::typicalSeconds(const SlotRequest &ask, double outputTokens) const
{
    if (m_kind == state::PoolKind::Service) {
        return m_averageService;
    }
    if (m_averagePrefill <= 0 || m_averageDecode <= 0) {
        return 0;
    }
    return ask.promptTokens / m_averagePrefill + outputTokens / m_averageDecode;
}

std::uint32_t TargetSet::mostCachedTokens(const SlotRequest &ask) const
{
    std::uint32_t most = 0;
    for (const Entry &entry : m_entries) {
        if (isLive(entry)) {
            most = std::max(most, entry.model->cachedTokens(ask));
        }
    }
    return most;
}

int TargetSet::totalStreams() const
{
    return m_totalStreams;
}

int TargetSet::freeStreams(state::Time now) const
{
    int free = 0;
    for (const Entry &entry : m_entries) {
        if (isLive(entry) && entry.model->hasRoom(0, now)) {
            free += entry.model->streamLimit() - entry.model->streams(now);
        }
    }
    return free;
}

void TargetSet::loadReported(const LoadReported &report, state::Time now)
{
    const auto position = m_index.find(report.target);
    if (position == m_index.end()) {
        return;
    }
    Entry &entry = m_entries[position->second];
    entry.model->loadReported(report.measuredAt, report.running, report.waiting, now);
    if (!report.version.empty() && report.version != entry.version) {
        entry.version = report.version;
        entry.model->clearCache();
    }
}

void TargetSet::cacheChanged(const CacheChanged &change)
{
    if (TargetModel *changed = model(change.target)) {
        changed->cacheChanged(change.added, change.removed, change.gap);
    }
}

void TargetSet::ejectIfFailing(const state::TargetId &target, state::Time now)
{
    const auto position = m_index.find(target);
    if (position != m_index.end()) {
        ejectIfFailing(m_entries[position->second], now);
    }
}

void TargetSet::ejectIfFailing(Entry &entry, state::Time now)
{
    const bool failing = entry.model->health() == TargetModel::Health::Normal && entry.model->isFailing();
    if (failing && isLive(entry) && mayEject()) {
        entry.model->eject(now);
        ++m_ejected;
    }
}

void TargetSet::ejectSlow(state::Time now)
{
    std::vector<double> speeds;
    for (const Entry &entry : m_entries) {
        const std::optional<double> speed = entry.model->relativeSpeed();
        if (isLive(entry) && speed) {
            speeds.push_back(*speed);
        }
    }
    if (speeds.size() < MinimumSpeeds) {
        return;
    }
    const auto middle = speeds.begin() + static_cast<std::ptrdiff_t>(speeds.size() / 2);
    std::ranges::nth_element(speeds, middle);
    for (Entry &entry : m_entries) {
        const bool slow = entry.model->relativeSpeed().value_or(*middle) < SlowShare * *middle;
        if (slow && isLive(entry) && entry.model->health() == TargetModel::Health::Normal && mayEject()) {
            entry.model->eject(now);
            ++m_ejected;
        }
    }
}

void TargetSet::tick(state::Time now)
{
    for (Entry &entry : m_entries) {
        entry.model->tick(now);
    }
    refresh();
    for (Entry &entry : m_entries) {
        ejectIfFailing(entry, now);
    }
    if (now - m_lastSlowCheck >= SlowCheckInterval) {
        m_lastSlowCheck = now;
        ejectSlow(now);
    }
}

void TargetSet::forgetWork()
{
    for (Entry &entry : m_entries) {
        entry.model->forgetWork();
    }
}

std::vector<TargetStatus> TargetSet::status(state::Time now) const
{
    std::vector<TargetStatus> result;
    result.reserve(m_entries.size());
    for (const Entry &entry : m_entries) {
        result.push_back({ .id = entry.target.id,
                           .version = entry.version,
                           .state = stateName(entry.listing, *entry.model),
                           .streams = entry.model->grantedStreams(),
                           .prefillTokens = entry.model->outstandingPrefillTokens(now),
                           .prefillTokensPerSecond = entry.model->prefillTokensPerSecond(),
                           .decodeTokensPerSecond = entry.model->decodeTokensPerSecond() });
    }
    return result;
}

bool TargetSet::isLive(const Entry &entry)
{
    return entry.listing == TargetListing::Live;
}

bool TargetSet::isExcluded(const Entry &entry, const SlotRequest &ask) const
{
    return !ask.excluded.empty() && std::ranges::find(ask.excluded, entry.target.id) != ask.excluded.end();
}

TargetSet::Rank TargetSet::rankOf(const Entry &entry, const SlotRequest &ask) const
{
    if (entry.model->health() == TargetModel::Health::Probing) {
        return ask.tier == 0 ? Rank::LastResort : Rank::Preferred;
    }
    return m_shares.isDue(entry.version) ? Rank::Preferred : Rank::Normal;
}

bool TargetSet::anyUnlimitedLive() const
{
    return std::ranges::any_of(m_entries, [&](const Entry &entry) {
        return isLive(entry) && m_shares.isUnlimited(entry.version);
    });
}

TargetSet::Place TargetSet::placeOf(const std::string &domain) const
{
    const auto position = m_places.find(domain);
    return position == m_places.end() ? Place{} : position->second;
}

bool TargetSet::mayEject() const
{
    return (m_ejected + 1) * EjectionDivisor <= m_live;
}

void TargetSet::limitEjected()
{
    refresh();
    // The group may have shrunk below the size that allowed its ejected targets.
    while (m_ejected * EjectionDivisor > m_live) {
        Entry *oldest = nullptr;
        for (Entry &entry : m_entries) {
            const bool ejected = isLive(entry) && entry.model->health() != TargetModel::Health::Normal;
            if (ejected && (oldest == nullptr || entry.model->ejectedAt() < oldest->model->ejectedAt())) {
                oldest = &entry;
            }
        }
        oldest->model->readmit();
        --m_ejected;
    }
}

void TargetSet::refresh()
{
    m_totalStreams = 0;
    m_live = 0;
    m_ejected = 0;
    m_fastestPrefill = 0;
    m_fastestDecode = 0;
    m_fastestService = 0;
    m_averagePrefill = 0;
    m_averageDecode = 0;
    m_averageService = 0;
    for (const Entry &entry : m_entries) {
        if (!isLive(entry)) {
            continue;
        }
        const TargetModel &model = *entry.model;
        ++m_live;
        m_ejected += model.health() == TargetModel::Health::Normal ? 0 : 1;
        m_totalStreams += model.health() == TargetModel::Health::Normal ? model.streamLimit() : 0;
        m_fastestPrefill = std::max(m_fastestPrefill, model.prefillTokensPerSecond());
        m_fastestDecode = std::max(m_fastestDecode, model.decodeTokensPerSecond());
        const double service = model.serviceSeconds();
        m_fastestService = m_live == 1 ? service : std::min(m_fastestService, service);
        const double count = static_cast<double>(m_live);
        m_averagePrefill += (model.prefillTokensPerSecond() - m_averagePrefill) / count;
        m_averageDecode += (model.decodeTokensPerSecond() - m_averageDecode) / count;
        m_averageService += (service - m_averageService) / count;
    }
}

} // namespace sapphirecove::coordination
