#include "coordination/entry/scheduler.h"

#include "coordination/entry/shorthash.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace sapphirecove::coordination::entry {

namespace {

/** Fraction of the caller's time limit that its request may wait; the rest is left for the response itself. */
constexpr double MaxWaitShare = 0.4;

/** Fraction of the allowed pause between events that a placement may use, as estimates are off by about a tenth. */
constexpr double PauseShare = 0.9;

/** Multiple of the usual time to the first event that is reserved before the latency target. */
constexpr double FirstEventMargin = 1.5;

/** Lower limit of a route's rate in dispatches per second: one in the time that callers of a stream wait. */
constexpr double MinDispatchRate = 0.3;

/**
 * Number of expected waits after which a refused caller may retry: one for the requests that wait now, one for those
 * that arrive meanwhile.
 */
constexpr int RetryAfterWaits = 2;

/** Limits of the Retry-After time for a refused caller. */
constexpr state::Duration MinRetryAfter = std::chrono::milliseconds(200);
constexpr state::Duration MaxRetryAfter = std::chrono::seconds(5);

/**
 * Largest share by which that time exceeds the end of the targets' back-off, and the number of values: callers that are
 * refused together must not return at once.
 */
constexpr double RetryAfterSpread = 0.25;
constexpr std::uint64_t RetryAfterSteps = 16;

/** Upper limit of that time for a request that crashes targets: more than callers wait, few attempts by their software.
 */
constexpr state::Duration MaxBlockedRetryAfter = std::chrono::minutes(2);

/**
 * Time from the first event of a stream after which a crash is no longer put down to it: what crashes a target does so
 * when the answer begins.
 */
constexpr state::Duration AnswerBegun = std::chrono::milliseconds(500);

/** Time from a dispatch after which the same request may run a second time although the first one has not answered. */
constexpr state::Duration SameRequestWait = std::chrono::seconds(2);

/** Time within which discovery tells that a target has restarted; more than the delay of its list and of the store. */
constexpr state::Duration RestartKnown = std::chrono::seconds(6);

/**
 * Time within which interrupted requests of one target count once for its software: a target that stops interrupts all
 * of its requests.
 */
constexpr state::Duration InterruptionWindow = std::chrono::seconds(1);

/** Times below this count as equal: distance to the target and its place in a batch matter more than its software. */
constexpr double FastEnoughMs = 50;

/**
 * Multiple of a route's usual time from which a request that was abandoned says that its target is slow. A caller may
 * leave sooner for any reason.
 */
constexpr double AbandonedSlowRatio = 1.8;

/** Most broken attempts whose targets are watched for a restart. */
constexpr std::size_t MaxBrokenAttempts = 256;

/** Parts of a prompt up to which a request always finds room; ordinary ones have some ten. */
constexpr std::size_t UsualParts = 64;

/** Most parts of the prompts of all requests that wait or run, of 8 bytes each, before longer prompts are refused. */
constexpr std::size_t MaxHeldParts = 2'000'000;

} // namespace

std::string_view nameOf(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::Overloaded:
        return "overloaded";
    case RefusalReason::Expired:
        return "waited_too_long";
    case RefusalReason::NoTarget:
        return "no_target";
    case RefusalReason::OverQuota:
        return "quota";
    case RefusalReason::CrashesTargets:
        return "crashes_targets";
    }
    return "unknown";
}

state::Result<std::unique_ptr<Scheduler>>
Scheduler::create(const state::entry::Bounds &bounds, Location location, std::uint32_t self)
{
    if (bounds.retryWindow <= state::Duration::zero() || bounds.quotaWindow <= state::Duration::zero()) {
        return state::fail("scheduler.create", "", "a window of the bounds is empty");
    }
    return std::unique_ptr<Scheduler>(new Scheduler(bounds, std::move(location), self));
}

Scheduler::Scheduler(const state::entry::Bounds &bounds, Location location, std::uint32_t self)
    : m_peers(self)
    , m_quotas(bounds)
    , m_retryBudget(bounds)
    , m_statements(self)
    , m_bounds(bounds)
    , m_suspects(self)
    , m_rollouts(bounds, self)
    , m_location(std::move(location))
    , m_regionRules(m_location.regionOfDomain)
    , m_targetChoice(std::make_unique<ExpectedTimeChoice>(m_location.regionOfDomain))
{
}

std::optional<Decision> Scheduler::enqueue(const ScheduledRequest &request, state::Time now)
{
    RouteAverages &averages = m_routes.of(request.route, request.model);
    WaitingRequest waiting;
    waiting.id = request.id;
    waiting.service = request.service;
    waiting.route = request.route;
    waiting.failureDomain = request.failureDomain.empty() ? m_location.failureDomain : request.failureDomain;
    waiting.priority = request.priority;
    waiting.work.model = request.model;
    waiting.work.promptTokens = request.model ? request.promptTokens : 0;
    waiting.expectedOutputTokens = request.expectedOutputTokens;
    waiting.work.events = request.expectedOutputTokens
        ? *request.expectedOutputTokens * averages.eventsPerExpectedToken.value()
        : averages.events.value();
    waiting.pauseLimitMs = state::toMilliseconds(request.pauseTarget) * PauseShare;
    waiting.usualSlotMs = averages.slotMs.value();
    waiting.arrived = request.arrived;
    waiting.latestOnTimeDispatch = request.arrived + request.latencyTarget
        - state::durationFromMilliseconds(FirstEventMargin * averages.firstMs.value());
    // Relative to now, so that a request whose attempt failed may wait again.
    const double remainingMs = state::toMilliseconds(request.deadline - now);
    waiting.expiresAt = now + state::durationFromMilliseconds(remainingMs * MaxWaitShare);
    waiting.excludedTargets = request.excludedTargets;
    waiting.parts = request.parts;
    waiting.host = request.host;
    waiting.backOffs = request.backOffs;
    waiting.permittedRegions = request.permittedRegions;
    averages.service = request.service;
    averages.rank = WaitingQueue::rankOf(waiting, now);
    if (!isServed(request.service, request.permittedRegions)) {
        return refuse(waiting, RefusalReason::NoTarget, now);
    }
    if (isBlocked(waiting.parts, waiting.service, now)) {
        return refuseBlocked(waiting, now);
    }
    if (now + timeToOpen(waiting, now) + expectedWait(waiting, now) > waiting.expiresAt) {
        return refuse(waiting, RefusalReason::Overloaded, now);
    }
    if (!hasRoomFor(waiting.parts.size())) {
        return refuse(waiting, RefusalReason::Overloaded, now);
    }
    // Checked last, so that a request refused for another reason is not charged to the customer.
    if (const auto retryAfter = m_quotas.admit(request.customer, request.cost, now)) {
        Decision refusal = refuse(waiting, RefusalReason::OverQuota, now);
        refusal.retryAfter = *retryAfter;
        return refusal;
    }
    // The charge is not given back: WaitingRequest::customer stays empty, see docs/design/charged-quota.md.
    m_queue.add(std::move(waiting));
    return std::nullopt;
}

/** Returns whether the memory for parts of prompts has room for a request with @p parts of them. */
bool Scheduler::hasRoomFor(std::size_t parts) const
{
    if (parts <= UsualParts) {
        return true;
    }
    std::size_t held = m_queue.parts();
    for (const auto &[id, attempt] : m_running) {
        held += attempt.parts.size();
    }
    return held + parts <= MaxHeldParts;
}

void Scheduler::withdraw(std::uint64_t id, state::Time now)
{
    if (const auto request = m_queue.take(id)) {
        giveBackQuota(*request, now);
    }
}

std::vector<Decision> Scheduler::decide(state::Time now)
{
    std::vector<Decision> decisions;
    for (const auto &expired : m_queue.takeExpired(now)) {
        decisions.push_back(refuseWaiting(expired, RefusalReason::Expired, now));
    }
    if (m_blockingsApplied != m_suspects.blockings()) {
        m_blockingsApplied = m_suspects.blockings();
        const auto isNowBlocked = [&](const WaitingRequest &request) {
            return isBlocked(request.parts, request.service, now);
        };
        for (const auto &blocked : m_queue.takeIf(isNowBlocked)) {
            giveBackQuota(blocked, now);
            decisions.push_back(refuseBlocked(blocked, now));
        }
    }
    if (m_evacuationsApplied != m_evacuations.begun()) {
        m_evacuationsApplied = m_evacuations.begun();
        const auto hasNoTarget = [&](const WaitingRequest &request) {
            return !isServed(request.service, request.permittedRegions);
        };
        for (const auto &request : m_queue.takeIf(hasNoTarget)) {
            decisions.push_back(refuseWaiting(request, RefusalReason::NoTarget, now));
        }
    }
    // Back-offs only grow longer by new statements, so that no other time needs the check.
    if (m_backOffsApplied != m_statements.backOffsHeard()) {
        m_backOffsApplied = m_statements.backOffsHeard();
        const auto opensTooLate = [&](const WaitingRequest &request) {
            return now + timeToOpen(request, now) > request.expiresAt;
        };
        for (const auto &request : m_queue.takeIf(opensTooLate)) {
            decisions.push_back(refuseWaiting(request, RefusalReason::Overloaded, now));
        }
    }
    for (const std::string_view service : m_queue.services()) {
        decideService(service, now, decisions);
    }
    return decisions;
}

void Scheduler::decideService(std::string_view service, state::Time now, std::vector<Decision> &decisions)
{
    const std::vector<TargetLoad *> usable = usableTargets(service, now);
    bool progressed = true;
    while (progressed) {
        progressed = false;
        for (const WaitingRequest *request : m_queue.candidates(service, now)) {
            const auto fitting = fittingTargets(*request, usable, now);
            TargetLoad *target = m_targetChoice->choose(fitting, request->work, request->failureDomain);
            if (target == nullptr) {
                continue;
            }
            decisions.push_back(dispatch(*request, *target, now));
            progressed = true;
            break;
        }
    }
}

std::vector<TargetLoad *> Scheduler::usableTargets(std::string_view service, state::Time now) const
{
    std::vector<TargetLoad *> usable;
    for (TargetLoad *target : m_targets.ofService(service)) {
        if (isUsable(*target, now)) {
            usable.push_back(target);
        }
    }
    return usable;
}

/** Returns whether @p service has a target in one of @p regions and outside the evacuated failure domains. */
bool Scheduler::isServed(std::string_view service, const PermittedRegions &regions) const
{
    const auto &targets = m_targets.ofService(service);
    return std::any_of(targets.begin(), targets.end(), [&](const TargetLoad *target) {
        const std::string &domain = target->entry().failureDomain;
        return m_regionRules.allows(regions, domain) && !m_evacuations.isEvacuated(domain);
    });
}

/**
 * Returns whether @p target may be used at all: discovery, its own statement, its health, evacuations and rollouts
 * permit it.
 */
bool Scheduler::isUsable(const TargetLoad &target, state::Time now) const
{
    const auto &entry = target.entry();
    const bool stays = m_targets.accepts(target) && !m_statements.isLeaving(target.hash())
        && !m_evacuations.isEvacuated(entry.failureDomain);
    return stays && m_rollouts.mayUse(entry.service, entry.softwareVersion, m_deciders) && target.usable(now);
}

/**
 * Returns whether the streams at @p target stay on time if @p request starts there. On a slow engine, the prefill of a
 * long prompt delays all other streams; short prompts are fine.
 */
bool Scheduler::meetsPauseLimit(const TargetLoad &target, const WaitingRequest &request)
{
    return request.pauseLimitMs <= 0 || target.expectedPauseMs(request.work) <= request.pauseLimitMs;
}

/**
 * Returns the targets with a free slot in the regions of @p request that it has not tried yet, that meet its pause
 * limit and that accept a request now. Those that have asked other hosts for a pause are only returned if there are no
 * others.
 */
std::vector<TargetLoad *>
Scheduler::fittingTargets(const WaitingRequest &request, std::span<TargetLoad *const> usable, state::Time now)
{
    std::vector<TargetLoad *> fitting;
    std::vector<TargetLoad *> backingOff;
    if (mustWaitForSameRequest(request, now)) {
        return fitting;
    }
    for (TargetLoad *target : usable) {
        const auto &excluded = request.excludedTargets;
        const bool tried = std::find(excluded.begin(), excluded.end(), target->entry().id) != excluded.end();
        // Checked again since each dispatch changes it: an ejected target takes one trial request, a new version its
        // share.
        const bool open =
            target->usable(now) && m_rollouts.mayUse(request.service, target->entry().softwareVersion, m_deciders);
        const bool allowed = m_regionRules.allows(request.permittedRegions, target->entry().failureDomain);
        if (open && allowed && target->hasRoom() && !tried && meetsPauseLimit(*target, request)
            && mayHold(*target, request, now) && !closedUntil(*target, request, now)
            && m_statements.mayDispatch(target->hash(), now)) {
            (m_statements.isBackingOff(target->hash(), now) ? backingOff : fitting).push_back(target);
        }
    }
    // A version on trial gets its requests although the others may be faster, as nothing else shows what it is worth.
    const auto isOnTrial = [&](const TargetLoad *target) {
        return m_rollouts.prefers(request.service, target->entry().softwareVersion);
    };
    if (std::any_of(fitting.begin(), fitting.end(), isOnTrial)) {
        std::erase_if(fitting, std::not_fn(isOnTrial));
    }
    return fitting.empty() ? backingOff : fitting;
}

/** Returns until when @p target takes no requests from the host of @p request; nothing if it takes them now. */
std::optional<state::Time>
Scheduler::closedUntil(const TargetLoad &target, const WaitingRequest &request, state::Time now) const
{
    auto until = m_statements.closedUntil(target.hash(), request.host, now);
    for (const BackOff &backOff : request.backOffs) {
        if (backOff.target == target.hash() && backOff.until > now) {
            until = std::max(until.value_or(backOff.until), backOff.until);
        }
    }
    return until;
}

/**
 * Returns the time until one of the targets that @p request may use takes requests from its host; zero if one does, or
 * if that is not known.
 */
state::Duration Scheduler::timeToOpen(const WaitingRequest &request, state::Time now) const
{
    if (!m_statements.anyBackOff(now) && request.backOffs.empty()) {
        return state::Duration::zero();
    }
    std::optional<state::Time> first;
    const auto &excluded = request.excludedTargets;
    for (const TargetLoad *target : m_targets.ofService(request.service)) {
        if (!isUsable(*target, now) || !m_regionRules.allows(request.permittedRegions, target->entry().failureDomain)) {
            continue;
        }
        if (std::find(excluded.begin(), excluded.end(), target->entry().id) != excluded.end()) {
            continue;
        }
        const auto until = closedUntil(*target, request, now);
        if (!until) {
            return state::Duration::zero();
        }
        first = std::min(first.value_or(*until), *until);
    }
    return first && *first != state::Time::max() ? *first - now : state::Duration::zero();
}

state::Duration Scheduler::timeToOpen(std::string_view service, state::Time now) const
{
    WaitingRequest request;
    request.service = service;
    return timeToOpen(request, now);
}

/** Returns whether a request with @p parts may be sent to no target of @p service now. */
bool Scheduler::isBlocked(std::span<const std::uint64_t> parts, std::string_view service, state::Time now) const
{
    if (parts.empty() || m_suspects.blockedCount() == 0 || m_suspects.trialIsDue(parts, now)) {
        return false;
    }
    const auto targets = m_targets.ofService(service);
    return std::all_of(targets.begin(), targets.end(), [&](const TargetLoad *target) {
        return m_suspects.isBlocked(parts, target->build());
    });
}

/**
 * Returns whether @p request has crashed a target, and the same request runs at another one that has not answered yet.
 * Crashes at the same moment count as one, so that several of them at once would delay the block.
 */
bool Scheduler::mustWaitForSameRequest(const WaitingRequest &request, state::Time now) const
{
    if (request.parts.empty() || !isRequestSuspect(request.parts.front())
        || !m_suspects.isAccused(request.parts.front())) {
        return false;
    }
    return std::any_of(m_running.begin(), m_running.end(), [&](const auto &entry) {
        const Attempt &attempt = entry.second;
        const bool hasBegun = attempt.firstEventAt && now - *attempt.firstEventAt >= AnswerBegun;
        return !attempt.parts.empty() && attempt.parts.front() == request.parts.front() && !hasBegun
            && now - attempt.dispatched < SameRequestWait;
    });
}

/** Returns whether @p target may get @p request: none of its parts is blocked there, or a trial is due. */
bool Scheduler::mayHold(const TargetLoad &target, const WaitingRequest &request, state::Time now) const
{
    return !m_suspects.isBlocked(request.parts, target.build()) || m_suspects.trialIsDue(request.parts, now);
}

Decision Scheduler::refuseBlocked(const WaitingRequest &request, state::Time now)
{
    Decision refusal = refuse(request, RefusalReason::CrashesTargets, now);
    refusal.retryAfter = blockedRetryAfter(request.parts, now);
    return refusal;
}

state::Duration Scheduler::blockedRetryAfter(std::span<const std::uint64_t> parts, state::Time now) const
{
    return std::clamp(m_suspects.timeToTrial(parts, now), MinRetryAfter, MaxBlockedRetryAfter);
}

Decision Scheduler::dispatch(const WaitingRequest &request, TargetLoad &target, state::Time now)
{
    Decision decision;
    decision.request = request.id;
    decision.target = target.entry();
    decision.targetHash = target.hash();
    decision.targetRunning = target.running();
    decision.targetLimit = m_statements.rate(target.hash(), now);
    decision.expectedFirstMs = target.expectedFirstMs(request.work);

    if (m_suspects.isBlocked(request.parts, target.build())) {
        decision.isTrial = true;
        m_suspects.trialStarted(request.parts, now);
    }

    Attempt attempt;
    attempt.targetHash = target.hash();
    attempt.build = target.build();
    attempt.parts = request.parts;
    attempt.isRepeat = !request.excludedTargets.empty();
    attempt.route = request.route;
    attempt.work = request.work;
    attempt.expectedOutputTokens = request.expectedOutputTokens;
    attempt.dispatched = now;
    target.dispatched(request.work);
    m_statements.dispatched(target.hash(), now);
    m_routes.of(request.route, request.work.model).dispatched.add(1, now);
    m_rollouts.dispatched(request.service, target.entry().softwareVersion, request.route);
    attempt.aheadTokens = target.pendingPromptTokens();
    const std::uint64_t id = request.id;
    m_running[id] = std::move(attempt);
    m_queue.remove(id);
    return decision;
}

void Scheduler::firstEvent(std::uint64_t id, state::Time now)
{
    const auto found = m_running.find(id);
    if (found == m_running.end() || found->second.firstEventAt) {
        return;
    }
    Attempt &attempt = found->second;
    attempt.firstEventAt = now;
    const state::Duration elapsed = now - attempt.dispatched;
    m_routes.of(attempt.route, attempt.work.model).firstMs.add(state::toMilliseconds(elapsed));
    if (TargetLoad *target = m_targets.findByHash(attempt.targetHash)) {
        target->firstEvent(attempt.work, attempt.aheadTokens, elapsed);
    }
}

void Scheduler::finished(std::uint64_t id, AttemptOutcome outcome, std::uint32_t events, state::Time now)
{
    const auto found = m_running.find(id);
    if (found == m_running.end()) {
        return;
    }
    const Attempt attempt = std::move(found->second);
    m_running.erase(found);
    if (outcome == AttemptOutcome::Crashed) {
        recordCrash(attempt, now);
    } else if (outcome == AttemptOutcome::Served && !attempt.acquitted) {
        m_suspects.answered(attempt.build, attempt.parts, now);
    }
    TargetLoad *target = m_targets.findByHash(attempt.targetHash);
    if (outcome == AttemptOutcome::Broken && target != nullptr && !target->entry().draining) {
        m_broken.push_back({ attempt, target->entry(), now });
        if (m_broken.size() > MaxBrokenAttempts) {
            m_broken.pop_front();
        }
    }
    if (target != nullptr) {
        target->finished(attempt.work, attempt.firstEventAt.has_value(), outcome, now);
        if (outcome == AttemptOutcome::Misdirected) {
            m_targets.misdirected(target->entry().id);
        }
    }
    countForRollout(attempt, target, outcome, now);
    RouteAverages &averages = m_routes.of(attempt.route, attempt.work.model);
    if (outcome != AttemptOutcome::Served) {
        return;
    }
    averages.slotMs.add(state::toMilliseconds(now - attempt.dispatched));
    if (!attempt.work.model) {
        averages.firstMs.add(state::toMilliseconds(now - attempt.dispatched));
        if (target != nullptr) {
            target->answered(now - attempt.dispatched);
        }
        return;
    }
    averages.events.add(events);
    if (attempt.expectedOutputTokens && *attempt.expectedOutputTokens > 0) {
        averages.eventsPerExpectedToken.add(events / *attempt.expectedOutputTokens);
    }
    if (target != nullptr && attempt.firstEventAt) {
        target->streamed(events, now - *attempt.firstEventAt);
    }
}

/** Records the crash of a target at @p attempt, unless its answer had begun before. */
void Scheduler::recordCrash(const Attempt &attempt, state::Time now)
{
    const bool hadBegun = attempt.firstEventAt && now - *attempt.firstEventAt >= AnswerBegun;
    if (attempt.parts.empty() || hadBegun) {
        return;
    }
    acquitRunning(now);
    m_suspects.crashed({ attempt.targetHash, attempt.build, attempt.parts, attempt.dispatched }, now);
}

/** Records crashes of targets that were back before they could refuse a connection: another one has their address. */
void Scheduler::recordRestarts(state::Time now)
{
    std::erase_if(m_broken, [&](const BrokenAttempt &broken) {
        const auto targets = m_targets.ofService(broken.target.service);
        const bool restarted = std::any_of(targets.begin(), targets.end(), [&](const TargetLoad *target) {
            const auto &entry = target->entry();
            return entry.address == broken.target.address && entry.port == broken.target.port
                && target->hash() != broken.attempt.targetHash;
        });
        if (restarted) {
            recordCrash(broken.attempt, broken.at);
        }
        return restarted || now - broken.at > RestartKnown;
    });
}

/** Acquits the parts of running requests whose answer has begun without a crash. */
void Scheduler::acquitRunning(state::Time now)
{
    for (auto &[id, attempt] : m_running) {
        if (!attempt.acquitted && attempt.firstEventAt && now - *attempt.firstEventAt >= AnswerBegun) {
            attempt.acquitted = true;
            m_suspects.answered(attempt.build, attempt.parts, *attempt.firstEventAt + AnswerBegun);
        }
    }
}

/** Counts the outcome of an attempt for the rollout of its service, if it says anything about the target's version. */
void Scheduler::countForRollout(const Attempt &attempt,
                                const TargetLoad *target,
                                AttemptOutcome outcome,
                                state::Time now)
{
    if (target == nullptr || !tellsOfVersion(attempt, outcome, now)) {
        return;
    }
    const auto &entry = target->entry();
    const double usualMs = std::max(FastEnoughMs, m_routes.of(attempt.route, attempt.work.model).slotMs.value());
    const double latencyRatio = std::max(FastEnoughMs, state::toMilliseconds(now - attempt.dispatched)) / usualMs;
    if (outcome != AttemptOutcome::Abandoned) {
        const bool good = outcome == AttemptOutcome::Served;
        m_rollouts.answered(entry.service, entry.softwareVersion, attempt.route, good, latencyRatio);
    } else if (latencyRatio >= AbandonedSlowRatio) {
        m_rollouts.abandoned(entry.service, entry.softwareVersion, attempt.route, latencyRatio);
    }
}

/**
 * Returns whether @p outcome is due to the software of the target, as far as this can be told. A request that has
 * failed before is likely to fail at any target, and a target that stops interrupts requests that have no part in it.
 */
bool Scheduler::tellsOfVersion(const Attempt &attempt, AttemptOutcome outcome, state::Time now)
{
    const bool wasRun = outcome != AttemptOutcome::NotExecuted && outcome != AttemptOutcome::Misdirected
        && outcome != AttemptOutcome::Unreachable;
    const bool hasFailedBefore =
        attempt.isRepeat || (!attempt.parts.empty() && m_failedRequests.contains(attempt.parts.front(), now));
    const bool failed = wasRun && outcome != AttemptOutcome::Served && outcome != AttemptOutcome::Abandoned;
    if (failed && !attempt.parts.empty()) {
        m_failedRequests.add(attempt.parts.front(), now);
    }
    const bool interrupted = outcome == AttemptOutcome::Broken || outcome == AttemptOutcome::Crashed;
    if (!wasRun || hasFailedBefore || !interrupted) {
        return wasRun && !hasFailedBefore;
    }
    std::erase_if(m_interruptions, [now](const auto &item) {
        return now - item.second > InterruptionWindow;
    });
    return m_interruptions.try_emplace(attempt.targetHash, now).second;
}

std::vector<state::entry::RolloutStatus> Scheduler::evaluateRollouts(bool decides, state::Time now)
{
    m_rollouts.learn(m_peers.peers(), now);
    if (!decides) {
        return {};
    }
    const auto othersLoad = [this](std::string_view service, std::string_view version) {
        OthersLoad load;
        load.usualTime = state::durationFromMilliseconds(m_routes.longestSlotMs(service));
        for (const TargetLoad *target : m_targets.ofService(service)) {
            load.running += target->entry().softwareVersion == version ? 0 : target->running();
        }
        return load;
    };
    return m_rollouts.evaluate(othersLoad, now);
}

void Scheduler::configureColdTargets(const state::entry::RoutingTable &table, state::Time now)
{
    m_coldRules.configure(table, m_bounds);
    for (const TargetLoad *target : m_targets.all()) {
        applyColdPace(*target, now);
    }
}

void Scheduler::listed(const state::entry::TargetEntry &entry, state::Time now)
{
    if (TargetLoad *target = m_targets.find(entry.id)) {
        target->listed(m_coldRules.coldTimeOf(entry.service), now);
        applyColdPace(*target, now);
    }
}

void Scheduler::applyColdPace(const TargetLoad &target, state::Time now)
{
    m_statements.setColdPace(target.hash(), m_coldRules.paceOf(target.entry().service), target.coldUntil(), now);
}

void Scheduler::targetsChanged(state::Time now)
{
    m_peers.recount(m_targets);
    m_statements.dropColdPaces([this](std::uint32_t target) {
        return m_targets.findByHash(target) == nullptr;
    });
    for (const TargetLoad *target : m_targets.all()) {
        applyColdPace(*target, now);
    }
}

void Scheduler::expireTargets(state::Time now)
{
    if (m_targets.expire(now)) {
        targetsChanged(now);
    }
    m_statements.expire(now);
    recordRestarts(now);
    m_suspects.expire(now);
}

void Scheduler::fillReport(PeerReport &report, state::Time now)
{
    report.quotas = m_quotas.shares(now);
    report.quotaReturns = m_quotas.returns();
    m_rollouts.fillReport(report, now);
    report.statementsDigest = m_statements.digest();
    report.sent = m_statements.sentShares(now);
    report.backOffs = m_statements.backOffShares(now);
    report.suspectsDigest = m_suspects.digest();
    report.evacuationsDigest = m_evacuations.digest();
}

/**
 * Returns the expected wait of @p request: the number of requests that go before it, divided by the rate at which this
 * host can dispatch requests of its rank. That rate is the higher one of the recent rate of dispatches of up to this
 * rank, and the rate that the slots left free by higher ranks allow. Without waiting requests, the former only shows
 * how few requests there were.
 */
state::Duration Scheduler::expectedWait(const WaitingRequest &request, state::Time now)
{
    const std::size_t ahead = m_queue.ahead(request, now);
    if (ahead == 0) {
        return state::Duration::zero();
    }
    const double rank = WaitingQueue::rankOf(request, now);
    const double slotMsLeft = slotsLeft(request, now) * 1000 - m_routes.slotMsAbove(request.service, rank, now);
    const double availableRate = slotMsLeft / std::max(1.0, request.usualSlotMs);
    const double recentRate = m_routes.dispatchRateUpTo(request.service, rank, now);
    return state::durationFromSeconds(static_cast<double>(ahead)
                                      / std::max({ MinDispatchRate, availableRate, recentRate }));
}

/** Returns the slots of the usable targets that requests like @p request can keep busy within the targets' limits. */
double Scheduler::slotsLeft(const WaitingRequest &request, state::Time now) const
{
    double slots = 0;
    double closedSlots = 0;
    for (const TargetLoad *target : usableTargets(request.service, now)) {
        if (!m_regionRules.allows(request.permittedRegions, target->entry().failureDomain)) {
            continue;
        }
        // The rate of a warm target bounds how many short requests start there, not how many slots they may hold.
        const TargetLimit *limit = m_statements.find(target->hash());
        const bool isBound = (limit != nullptr && limit->revision > 0) || now < target->coldUntil();
        const auto rate = isBound ? m_statements.rate(target->hash(), now) : std::nullopt;
        const double all = target->entry().slots;
        const double usable = rate ? std::min(all, *rate * request.usualSlotMs / 1000) : all;
        (closedUntil(*target, request, now) ? closedSlots : slots) += usable;
    }
    return slots > 0 ? slots : closedSlots; // If all are closed, timeToOpen() counts the time until then.
}

/** Refuses @p request, which has waited and was not sent to any target. */
Decision Scheduler::refuseWaiting(const WaitingRequest &request, RefusalReason reason, state::Time now)
{
    giveBackQuota(request, now);
    return refuse(request, reason, now);
}

/** Gives back what was charged for @p request, which waited and will not be sent to any target. */
void Scheduler::giveBackQuota(const WaitingRequest &request, state::Time now)
{
    if (!request.customer.empty()) {
        m_quotas.giveBack(request.customer, request.cost, request.charged, now);
    }
}

/** Refuses @p request. Its retryAfter is an estimate of when the requests that wait before it are gone. */
Decision Scheduler::refuse(const WaitingRequest &request, RefusalReason reason, state::Time now)
{
    Decision decision;
    decision.request = request.id;
    decision.refusal = reason;
    const state::Duration toOpen = timeToOpen(request, now);
    const auto spread = static_cast<double>(request.id % RetryAfterSteps) / RetryAfterSteps * RetryAfterSpread;
    const state::Duration wait = expectedWait(request, now) * RetryAfterWaits + toOpen;
    decision.retryAfter = std::clamp(wait, MinRetryAfter, MaxRetryAfter);
    if (toOpen > state::Duration::zero()) {
        decision.retryAfter = state::scaled(decision.retryAfter, 1 + spread);
    }
    return decision;
}

} // namespace sapphirecove::coordination::entry
