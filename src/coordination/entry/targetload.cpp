#include "coordination/entry/targetload.h"

#include "coordination/entry/crashsuspects.h"
#include "coordination/entry/shorthash.h"

#include <algorithm>
#include <utility>

namespace sapphirecove::coordination::entry {

namespace {

/**
 * Initial prefill time in milliseconds per token: a large model on current accelerators prefills 50 to 100 tokens per
 * ms.
 */
constexpr double PriorMsPerPromptToken = 0.015;

/** Initial pause between two events in milliseconds, for the same class of engines. */
constexpr double PriorMsPerEvent = 25;

/** Initial time of a plain response in milliseconds. */
constexpr double PriorPlainMs = 20;

/** Time to the first event of an empty prompt in milliseconds: scheduling, one decoding step and the network. */
constexpr double BaseFirstMs = 20;

/** Weight of one sample: the last ten samples make up most of an average. */
constexpr double SampleWeight = 0.15;

/**
 * Maximum number of prompt tokens that an engine prefills between two events of a stream: chunked prefill adds one
 * chunk, of 2,048 tokens with common engines, to each step, and an event takes about five steps.
 */
constexpr double MaxTokensBetweenEvents = 10240;

/** Minimum prompt tokens of a sample of the prefill speed; shorter prompts reflect the step time instead. */
constexpr double MinPrefillSample = 1000;

/** Minimum events of a sample of the pause between events; shorter streams say too little about it. */
constexpr std::uint32_t MinEventSample = 4;

/** Consecutive failures after which a target is ejected: a single one can be the fault of a connection. */
constexpr int EjectAfter = 3;

/** Duration of the first ejection; doubles with each further failed trial. */
constexpr state::Duration EjectBase = std::chrono::milliseconds(500);

/** Maximum duration of an ejection: a target that recovers is used again within this time. */
constexpr state::Duration EjectMax = std::chrono::seconds(4);

} // namespace

TargetLoad::TargetLoad(state::entry::TargetEntry entry)
    : m_entry(std::move(entry))
    , m_hash(shortHash(m_entry.id + '@' + std::to_string(m_entry.startedUnixMs)))
    , m_build(buildHash(m_entry.service, m_entry.softwareVersion))
    , m_msPerPromptToken(PriorMsPerPromptToken, SampleWeight)
    , m_msPerEvent(PriorMsPerEvent, SampleWeight)
    , m_plainMs(PriorPlainMs, SampleWeight)
    , m_failures(0, SampleWeight)
{
}

void TargetLoad::update(state::entry::TargetEntry entry)
{
    m_entry = std::move(entry);
    m_build = buildHash(m_entry.service, m_entry.softwareVersion);
}

void TargetLoad::listed(state::Duration coldTime, state::Time now)
{
    const state::Time first = m_firstListed.value_or(now);
    m_firstListed = first;
    m_coldUntil = m_entry.coldFor ? now + *m_entry.coldFor : first + coldTime;
}

void TargetLoad::dispatched(const Work &work)
{
    ++m_ownRunning;
    m_ownPromptTokens += work.promptTokens;
}

void TargetLoad::firstEvent(const Work &work, double aheadTokens, state::Duration afterDispatch)
{
    m_ownPromptTokens = std::max(0.0, m_ownPromptTokens - work.promptTokens);
    const double prefillMs = std::max(0.0, state::toMilliseconds(afterDispatch) - BaseFirstMs);
    if (aheadTokens >= MinPrefillSample) {
        m_msPerPromptToken.add(prefillMs / aheadTokens);
    }
}

void TargetLoad::finished(const Work &work, bool prefilled, AttemptOutcome outcome, state::Time now)
{
    m_ownRunning -= m_ownRunning > 0 ? 1 : 0;
    if (!prefilled) {
        m_ownPromptTokens = std::max(0.0, m_ownPromptTokens - work.promptTokens);
    }
    if (outcome == AttemptOutcome::Abandoned || outcome == AttemptOutcome::NotExecuted
        || outcome == AttemptOutcome::Misdirected) {
        return;
    }
    if (outcome == AttemptOutcome::Served) {
        m_consecutiveFailures = 0;
        m_ejectedUntil = state::Time();
        m_failures.add(0);
        return;
    }
    m_failures.add(1);
    ++m_consecutiveFailures;
    // A target that answers with errors is alive: placement avoids it, but it is never ejected, since a fault of the
    // requests or of the whole service would eject all targets.
    const bool dead = outcome != AttemptOutcome::ServerError;
    const bool surely = outcome == AttemptOutcome::Unreachable || outcome == AttemptOutcome::Crashed;
    if (dead && (m_consecutiveFailures >= EjectAfter || surely)) {
        eject(now);
    }
}

void TargetLoad::eject(state::Time now)
{
    const int doublings = std::clamp(m_consecutiveFailures - 1, 0, 3);
    m_ejectedUntil = now + std::min(EjectMax, EjectBase * (1 << doublings));
}

void TargetLoad::streamed(std::uint32_t events, state::Duration duration)
{
    if (events >= MinEventSample) {
        m_msPerEvent.add(state::toMilliseconds(duration) / (events - 1));
    }
}

void TargetLoad::answered(state::Duration duration)
{
    m_plainMs.add(state::toMilliseconds(duration));
}

void TargetLoad::addRemote(int running, double promptTokens)
{
    m_remoteRunning += running;
    m_remotePromptTokens += promptTokens;
}

void TargetLoad::clearRemote()
{
    m_remoteRunning = 0;
    m_remotePromptTokens = 0;
}

std::uint32_t TargetLoad::running() const
{
    return m_ownRunning + static_cast<std::uint32_t>(std::max(0, m_remoteRunning));
}

double TargetLoad::pendingPromptTokens() const
{
    return m_ownPromptTokens + std::max(0.0, m_remotePromptTokens);
}

bool TargetLoad::hasRoom() const
{
    return running() < m_entry.slots;
}

bool TargetLoad::usable(state::Time now) const
{
    if (m_ejectedUntil == state::Time()) {
        return true;
    }
    // After an ejection, the target gets one trial request at a time until one was served.
    return now >= m_ejectedUntil && m_ownRunning == 0;
}

double TargetLoad::expectedFirstMs(const Work &work) const
{
    if (!work.model) {
        const double ahead = static_cast<double>(running()) / m_entry.slots;
        return m_plainMs.value() * (1 + ahead);
    }
    return BaseFirstMs + (pendingPromptTokens() + work.promptTokens) * m_msPerPromptToken.value();
}

double TargetLoad::expectedPauseMs(const Work &work) const
{
    if (!work.model || running() == 0) {
        return 0;
    }
    const double prefilledBetweenEvents = std::min(MaxTokensBetweenEvents, pendingPromptTokens() + work.promptTokens);
    return prefilledBetweenEvents * m_msPerPromptToken.value() + m_msPerEvent.value();
}

double TargetLoad::expectedStreamMs(const Work &work) const
{
    return work.model ? work.events * m_msPerEvent.value() : 0;
}

} // namespace sapphirecove::coordination::entry
