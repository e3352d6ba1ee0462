#include "coordination/targetmodel.h"

#include <algorithm>

namespace sapphirecove::coordination {

namespace {

/** Prefix hashes remembered for one target: about 60 KB, and 256 prompts with all eight boundaries. */
constexpr std::size_t PrefixCapacity = 2048;

/** Tokens of the shortest hashed prefix: one block of 1,024 bytes at 4 bytes for each token. */
constexpr std::uint32_t TokensPerBlock = 256;

/** Prefills below this many tokens are dominated by fixed overhead and say little about speed. */
constexpr std::uint32_t MinimumPrefillSample = 256;

/** Answers below this many tokens say little about decode speed. */
constexpr std::uint32_t MinimumDecodeSample = 8;

/** Bound on the factor by which one sample differs from the learned speed. */
constexpr double MaximumSampleFactor = 4;

/** Share of a new outcome in the error rate. */
constexpr double ErrorWeight = 0.1;

/** Resolution of the history of streams; with its length it reaches back at least five seconds. */
constexpr state::Duration HistoryStep = std::chrono::milliseconds(50);
constexpr std::size_t HistoryLength = 128;

bool isPositive(const state::TargetCapacity &capacity)
{
    return capacity.streams > 0 && capacity.prefillTokens > 0 && capacity.prefillTokensPerSecond > 0
        && capacity.decodeTokensPerSecond > 0 && capacity.serviceTime > state::Duration::zero();
}

void learn(double &value, double sample, double weight)
{
    const double bounded = std::clamp(sample, value / MaximumSampleFactor, value * MaximumSampleFactor);
    value += weight * (bounded - value);
}

} // namespace

TargetModel::TargetModel(state::PoolKind kind, const state::TargetCapacity &capacity)
    : m_kind(kind)
    , m_capacity(capacity)
    , m_prefillRate(capacity.prefillTokensPerSecond)
    , m_decodeRate(capacity.decodeTokensPerSecond)
    , m_serviceSeconds(state::toSeconds(capacity.serviceTime))
    , m_prefixes(PrefixCapacity)
{
}

state::Result<std::unique_ptr<TargetModel>> TargetModel::create(state::PoolKind kind,
                                                                const state::TargetCapacity &capacity)
{
    if (!isPositive(capacity)) {
        return state::fail("targetmodel.create", "", "a limit or speed of the capacity is not positive");
    }
    return std::unique_ptr<TargetModel>(new TargetModel(kind, capacity));
}

void TargetModel::setCapacity(const state::TargetCapacity &capacity)
{
    if (!isPositive(capacity)) {
        return;
    }
    if (capacity.prefillTokensPerSecond != m_capacity.prefillTokensPerSecond) {
        m_prefillRate = capacity.prefillTokensPerSecond;
    }
    if (capacity.decodeTokensPerSecond != m_capacity.decodeTokensPerSecond) {
        m_decodeRate = capacity.decodeTokensPerSecond;
    }
    if (capacity.serviceTime != m_capacity.serviceTime) {
        m_serviceSeconds = state::toSeconds(capacity.serviceTime);
    }
    m_capacity = capacity;
}

std::uint32_t TargetModel::cachedTokens(const SlotRequest &ask) const
{
    const std::size_t matched = m_prefixes.match(ask.prefixHashes);
    if (matched == 0) {
        return 0;
    }
    // The boundaries are at 1, 2, 4, ... blocks; 32 doublings exceed every prompt.
    const std::uint64_t tokens = std::uint64_t{ TokensPerBlock } << std::min<std::size_t>(matched - 1, 32);
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(tokens, ask.promptTokens));
}

ServiceEstimate TargetModel::estimate(std::uint32_t prefillTokens, double outputTokens, state::Time now) const
{
    ServiceEstimate estimate;
    if (m_kind == state::PoolKind::Service) {
        estimate.firstToken = state::durationFromSeconds(m_serviceSeconds);
        estimate.end = estimate.firstToken;
        return estimate;
    }
    estimate.prefill = state::durationFromSeconds(prefillTokens / m_prefillRate);
    const state::Duration waiting = std::max(m_prefillBusyUntil - now, state::Duration::zero());
    estimate.firstToken = waiting + estimate.prefill;
    estimate.end = estimate.firstToken + state::durationFromSeconds(outputTokens / m_decodeRate);
    return estimate;
}

bool TargetModel::hasRoom(std::uint32_t prefillTokens, state::Time now) const
{
    if (m_health == Health::Ejected || (m_health == Health::Probing && m_probeOutstanding)) {
        return false;
    }
    if (streams(now) >= m_capacity.streams) {
        return false;
    }
    // A prompt above the limit runs alone; otherwise it could never be granted.
    const std::int64_t outstanding = outstandingPrefillTokens(now);
    return prefillTokens == 0 || outstanding == 0 || outstanding + prefillTokens <= m_capacity.prefillTokens;
}

std::int64_t TargetModel::outstandingPrefillTokens(state::Time now) const
{
    if (m_prefillBusyUntil <= now) {
        return 0;
    }
    return static_cast<std::int64_t>(state::toSeconds(m_prefillBusyUntil - now) * m_prefillRate);
}

int TargetModel::streams(state::Time now) const
{
    const bool reported = m_otherStreams > 0 && now - m_reportReceivedAt < ReportLifetime;
    return m_streams + (reported ? m_otherStreams : 0);
}

int TargetModel::grantedStreams() const
{
    return m_streams;
}

int TargetModel::streamLimit() const
{
    return m_health == Health::Ejected ? 0 : m_capacity.streams;
}

PlannedWork
TargetModel::granted(const SlotRequest &ask, std::uint32_t cachedTokens, double outputTokens, state::Time now)
{
    const std::uint32_t prefillTokens = ask.promptTokens - std::min(cachedTokens, ask.promptTokens);
    PlannedWork work = begin(prefillTokens, outputTokens, now);
    work.firstToken = work.prefillDone - now;
    if (m_kind == state::PoolKind::Model) {
        m_prefixes.use(ask.prefixHashes);
    }
    if (m_health == Health::Probing) {
        work.probe = true;
        m_probeOutstanding = true;
    }
    return work;
}

PlannedWork TargetModel::adopted(const OutstandingDispatch &dispatch, state::Time now)
{
    return begin(dispatch.firstTokenSeen ? 0 : dispatch.promptTokens, dispatch.maxOutputTokens, now);
}

PlannedWork TargetModel::begin(std::uint32_t prefillTokens, double outputTokens, state::Time now)
{
    const ServiceEstimate expected = estimate(prefillTokens, outputTokens, now);
    PlannedWork work;
    work.prefillTokens = m_kind == state::PoolKind::Model ? prefillTokens : 0;
    work.prefillDone = now + expected.firstToken;
    work.end = now + expected.end;
    if (work.prefillTokens > 0) {
        m_prefillBusyUntil = work.prefillDone;
    }
    changeStreams(1, now);
    return work;
}

void TargetModel::released(const PlannedWork &work, const SlotRelease &release, state::Time now)
{
    end(work, now);
    if (release.outcome == GrantOutcome::Complete) {
        learnSpeed(work, release);
    }
    learnHealth(work, release, now);
}

void TargetModel::expired(const PlannedWork &work, state::Time now)
{
    end(work, now);
}

void TargetModel::end(const PlannedWork &work, state::Time now)
{
    changeStreams(-1, now);
    removePrefill(work, now);
    if (work.probe) {
        m_probeOutstanding = false;
    }
}

void TargetModel::forgetWork()
{
    m_streams = 0;
    m_otherStreams = 0;
    m_prefillBusyUntil = {};
    m_history.clear();
    // Streams from before this call are unknown, so reports about that time cannot be corrected.
    m_historyTruncated = true;
    m_probeOutstanding = false;
}

void TargetModel::loadReported(state::Time measuredAt, std::uint32_t running, std::uint32_t waiting, state::Time now)
{
    if (measuredAt <= m_reportMeasuredAt || measuredAt > now) {
        return;
    }
    const std::optional<int> granted = streamsAt(measuredAt);
    if (!granted) {
        return;
    }
    m_reportMeasuredAt = measuredAt;
    m_reportReceivedAt = now;
    const std::int64_t reported = std::int64_t{ running } + waiting;
    m_otherStreams = static_cast<int>(std::clamp<std::int64_t>(reported - *granted, 0, m_capacity.streams));
}

void TargetModel::cacheChanged(std::span<const std::uint64_t> added, std::span<const std::uint64_t> removed, bool gap)
{
    // Lost events may have removed anything, but dropping all predictions would cost more prefill than a wrong guess.
    static_cast<void>(gap);
    for (const std::uint64_t hash : removed) {
        m_prefixes.remove(hash);
    }
    for (const std::uint64_t hash : added) {
        m_prefixes.add(hash);
    }
}

void TargetModel::clearCache()
{
    m_prefixes.clear();
}

bool TargetModel::isFailing() const
{
    return m_consecutiveFailures >= FailureLimit
        || (m_outcomeSamples >= MinimumSamples && m_errorRate > ErrorRateLimit);
}

std::optional<double> TargetModel::relativeSpeed() const
{
    if (m_speedSamples < MinimumSamples) {
        return std::nullopt;
    }
    if (m_kind == state::PoolKind::Service) {
        return state::toSeconds(m_capacity.serviceTime) / m_serviceSeconds;
    }
    return m_decodeRate / m_capacity.decodeTokensPerSecond;
}

void TargetModel::eject(state::Time now)
{
    m_health = Health::Ejected;
    m_ejectedAt = now;
    m_probeOutstanding = false;
    m_prefixes.clear();
    // Otherwise the learned speed of a slow target would keep the probe away from it.
    m_prefillRate = m_capacity.prefillTokensPerSecond;
    m_decodeRate = m_capacity.decodeTokensPerSecond;
    m_serviceSeconds = state::toSeconds(m_capacity.serviceTime);
    m_speedSamples = 0;
}

void TargetModel::readmit()
{
    m_health = Health::Normal;
    m_consecutiveFailures = 0;
    m_errorRate = 0;
    m_outcomeSamples = 0;
    m_speedSamples = 0;
}

void TargetModel::tick(state::Time now)
{
    if (m_health == Health::Ejected && now - m_ejectedAt >= ProbeDelay) {
        m_health = Health::Probing;
    }
}

TargetModel::Health TargetModel::health() const
{
    return m_health;
}

state::Time TargetModel::ejectedAt() const
{
    return m_ejectedAt;
}

double TargetModel::prefillTokensPerSecond() const
{
    return m_prefillRate;
}

double TargetModel::decodeTokensPerSecond() const
{
    return m_decodeRate;
}

double TargetModel::serviceSeconds() const
{
    return m_serviceSeconds;
}

void TargetModel::learnSpeed(const PlannedWork &work, const SlotRelease &release)
{
    // A probe follows a time without samples, so its result replaces what was learned before the fault.
    const double weight = work.probe ? 1.0 : SpeedWeight;
    if (m_kind == state::PoolKind::Service) {
        if (release.total > state::Duration::zero()) {
            learn(m_serviceSeconds, state::toSeconds(release.total), weight);
            ++m_speedSamples;
        }
        return;
    }
    learnPrefill(work, release, weight);
    const state::Duration decode = release.total - release.timeToFirstToken;
    if (release.outputTokens >= MinimumDecodeSample && decode > state::Duration::zero()) {
        learn(m_decodeRate, (release.outputTokens - 1) / state::toSeconds(decode), weight);
        ++m_speedSamples;
    }
}

void TargetModel::learnPrefill(const PlannedWork &work, const SlotRelease &release, double weight)
{
    const std::uint32_t prefilled = release.promptTokens - std::min(release.cachedTokens, release.promptTokens);
    if (prefilled < MinimumPrefillSample || release.timeToFirstToken <= state::Duration::zero()
        || work.firstToken <= state::Duration::zero()) {
        return;
    }
    // The time includes prefill that was granted earlier, so the sample is the ratio of expected and measured time.
    const double correction = (static_cast<double>(prefilled) - work.prefillTokens) / m_prefillRate;
    const double expected = std::max(state::toSeconds(work.firstToken) + correction, prefilled / m_prefillRate);
    learn(m_prefillRate, m_prefillRate * expected / state::toSeconds(release.timeToFirstToken), weight);
}

void TargetModel::learnHealth(const PlannedWork &work, const SlotRelease &release, state::Time now)
{
    const bool neutral = release.outcome == GrantOutcome::Unused || release.outcome == GrantOutcome::Cancelled;
    if (neutral || m_health == Health::Ejected || (m_health == Health::Probing && !work.probe)) {
        return;
    }
    const bool failed = release.outcome != GrantOutcome::Complete;
    if (m_health == Health::Probing) {
        if (failed) {
            eject(now);
        } else {
            readmit();
        }
        return;
    }
    m_consecutiveFailures = failed ? m_consecutiveFailures + 1 : 0;
    m_errorRate += ErrorWeight * ((failed ? 1.0 : 0.0) - m_errorRate);
    ++m_outcomeSamples;
}

void TargetModel::changeStreams(int change, state::Time now)
{
    m_streams = std::max(0, m_streams + change);
    if (!m_history.empty() && now - m_history.back().time < HistoryStep) {
        m_history.back().streams = m_streams;
        return;
    }
    m_history.push_back({ .time = now, .streams = m_streams });
    if (m_history.size() > HistoryLength) {
        m_history.pop_front();
        m_historyTruncated = true;
    }
}

void TargetModel::removePrefill(const PlannedWork &work, state::Time now)
{
    if (work.prefillTokens == 0 || work.prefillDone <= now) {
        return;
    }
    const state::Duration own = state::durationFromSeconds(work.prefillTokens / m_prefillRate);
    m_prefillBusyUntil -= std::min(own, work.prefillDone - now);
}

std::optional<int> TargetModel::streamsAt(state::Time time) const
{
    const auto after = std::ranges::upper_bound(m_history, time, {}, &HistoryEntry::time);
    if (after != m_history.begin()) {
        return std::prev(after)->streams;
    }
    return m_historyTruncated ? std::nullopt : std::optional(0);
}

} // namespace sapphirecove::coordination
