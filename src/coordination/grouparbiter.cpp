#include "coordination/grouparbiter.h"

#include <algorithm>
#include <unordered_set>

namespace sapphirecove::coordination {

namespace {

/** Asks without room that one pass looks past; it bounds the time of a decision. */
constexpr std::size_t MaximumBlocked = 16;

/** Retry time of a denial: at least a second, so that clients do not add to the overload. */
constexpr double MinimumRetrySeconds = 1;
constexpr double MaximumRetrySeconds = 60;

} // namespace

GroupArbiter::GroupArbiter(const state::GroupId &group,
                           const ArbiterOptions &options,
                           std::unique_ptr<placement::Placement> placement)
    : m_group(group)
    , m_options(options)
    , m_placement(std::move(placement))
    , m_random(options.seed)
    , m_targets(options.kind, options.failureDomains)
    , m_grantIds(group, options.self, options.incarnation)
{
}

void GroupArbiter::setTargets(std::span<const ArbiterTarget> targets, state::Time now)
{
    m_targets.set(targets, now);
    m_isFull = false;
}

void GroupArbiter::setLimits(state::Tier lowestTier, std::size_t queueLength)
{
    m_options.lowestTier = lowestTier;
    m_options.queueLength = queueLength;
}

void GroupArbiter::setCustomers(std::span<const CustomerWeight> weights)
{
    m_queue.setWeights(weights);
}

void GroupArbiter::setVersionWeights(std::span<const VersionWeight> weights)
{
    m_targets.setVersionWeights(weights);
}

void GroupArbiter::ask(const state::HostId &from, const SlotRequest &ask, state::Time now, Replies &replies)
{
    detectPause(now);
    m_hosts.insert(from);
    const bool isWaiting = m_queue.find(ask.request) != nullptr || m_shedList.contains(ask.request);
    if (isWaiting || answerGranted(from, ask, now, replies)) {
        return;
    }
    if (const std::optional<SlotDenial> denial = refusal(ask, now)) {
        replies.push_back({ .to = from, .message = *denial });
        return;
    }
    enqueue(prepare(from, ask, now), now);
    shed(now, replies);
    schedule(now, replies);
}

bool GroupArbiter::answerGranted(const state::HostId &from, const SlotRequest &ask, state::Time now, Replies &replies)
{
    const GrantRecord *record = m_grants.findRequest(ask.request);
    if (record == nullptr) {
        return false;
    }
    if (!record->dispatched && std::ranges::find(ask.excluded, record->target) != ask.excluded.end()) {
        // The host asks again because this target refused the connection; its release was lost.
        endGrant(record->id, now);
        return false;
    }
    if (!record->dispatched && record->validUntil > now) {
        replies.push_back({ .to = from, .message = messageOf(*record, now) });
    }
    return true;
}

std::optional<SlotDenial> GroupArbiter::refusal(const SlotRequest &ask, state::Time now) const
{
    SlotDenial denial{ .request = ask.request, .group = m_group, .reason = DenialReason::DeadlineInfeasible };
    if (!m_targets.canServe(ask)) {
        denial.reason = DenialReason::NoTarget;
        denial.retryAfter = state::durationFromSeconds(MinimumRetrySeconds);
        return denial;
    }
    return isTooLate(ask, now) ? std::optional(denial) : std::nullopt;
}

WaitingAsk GroupArbiter::prepare(const state::HostId &from, const SlotRequest &ask, state::Time now) const
{
    const double output = m_averages.expectedOutput(ask.maxOutputTokens);
    return { .ask = ask,
             .from = from,
             .queuedAt = now,
             .serviceSeconds = m_targets.typicalSeconds(ask, output),
             .latestStart = ask.deadline - m_targets.fastest(ask, 0, output) };
}

bool GroupArbiter::isTooLate(const SlotRequest &ask, state::Time start) const
{
    const double output = m_averages.expectedOutput(ask.maxOutputTokens);
    if (start + m_targets.fastest(ask, 0, output) <= ask.deadline) {
        return false;
    }
    // Looking up the prefixes of all targets takes most of a decision's time, so it is left to the rare close cases.
    return start + m_targets.fastest(ask, ask.promptTokens, output) > ask.deadline
        || start + m_targets.fastest(ask, m_targets.mostCachedTokens(ask), output) > ask.deadline;
}

bool GroupArbiter::willMissDeadline(const WaitingAsk &waiting, state::Time now)
{
    const int streams = m_targets.totalStreams();
    if (streams == 0 || (m_queue.empty() && hasRoom(now))) {
        return false;
    }
    const SlotRequest &ask = waiting.ask;
    const double work = m_queue.workAhead(ask.tier, ask.customer, ask.deadline);
    const double wait = (work + m_averages.seconds()) / streams;
    const state::Time start = now + state::durationFromSeconds(wait);
    return isTooLate(ask, start);
}

void GroupArbiter::enqueue(WaitingAsk waiting, state::Time now)
{
    if (willMissDeadline(waiting, now)) {
        m_shedList.add(waiting.ask.tier, waiting.ask.request, waiting.from);
        return;
    }
    m_queue.push(std::move(waiting));
    while (m_queue.size() > m_options.queueLength) {
        giveUp(m_queue.victim()->ask.request);
    }
}

void GroupArbiter::schedule(state::Time now, Replies &replies)
{
    if (isRebuilding(now)) {
        return;
    }
    while (!m_queue.empty() && hasRoom(now)) {
        const Selection selection = select(now);
        if (selection.granted) {
            grant(selection, now, replies);
        } else if (selection.late) {
            // The floor is raised before the next selection, which could otherwise serve a lower tier.
            giveUp(*selection.late);
            shed(now, replies);
        } else {
            return;
        }
    }
}

bool GroupArbiter::hasRoom(state::Time now)
{
    m_isFull = m_isFull || !m_targets.hasRoom(now);
    return !m_isFull;
}

GroupArbiter::Selection GroupArbiter::select(state::Time now)
{
    Selection selection;
    Pass pass;
    pass.lowestGrantable = m_options.gate->lowestGrantable(m_options.pool, now);
    m_queue.visit([&](const WaitingAsk &waiting) {
        return visit(waiting, now, pass, selection);
    });
    return selection;
}

FairQueue::Visit GroupArbiter::visit(const WaitingAsk &waiting, state::Time now, Pass &pass, Selection &selection)
{
    const SlotRequest &ask = waiting.ask;
    if (ask.tier > pass.lowestGrantable || (ask.tier != pass.tier && pass.tierHeldByReservation)) {
        return FairQueue::Visit::Stop;
    }
    pass.tier = ask.tier;
    const double output = m_averages.expectedOutput(ask.maxOutputTokens);
    const TargetSet::Fit fit = m_targets.select(ask, output, now, pass.reserved, m_candidates);
    const std::optional<std::size_t> chosen = m_placement->choose(m_candidates, ask, now, m_random);
    if (chosen) {
        selection.granted = ask.request;
        selection.target = m_candidates[*chosen].target;
        selection.cachedTokens = m_candidates[*chosen].cachedTokens;
        return FairQueue::Visit::Stop;
    }
    if (fit.late && !pass.late) {
        pass.late = ask.request;
    }
    if (!pass.reserved && fit.awaited && !fit.late) {
        // Without a reservation, smaller prompts would take the room that a large one waits for.
        pass.reserved = fit.awaited;
    }
    pass.tierHeldByReservation = pass.tierHeldByReservation || fit.fitsReserved;
    if (++pass.blocked < MaximumBlocked) {
        return FairQueue::Visit::Continue;
    }
    selection.late = pass.late;
    return FairQueue::Visit::Stop;
}

void GroupArbiter::grant(const Selection &selection, state::Time now, Replies &replies)
{
    const std::optional<WaitingAsk> waiting = m_queue.serve(*selection.granted);
    const SlotRequest &ask = waiting->ask;
    const double output = m_averages.expectedOutput(ask.maxOutputTokens);
    GrantRecord record{ .id = m_grantIds.next(),
                        .request = ask.request,
                        .host = waiting->from,
                        .target = m_targets.id(selection.target),
                        .version = m_targets.version(selection.target),
                        .validUntil = now + m_options.grantValidity,
                        .expires = now + m_options.grantValidity + m_options.grantMargin,
                        .maxOutputTokens = ask.maxOutputTokens };
    record.work = m_targets.grant(selection.target, ask, selection.cachedTokens, output, now);
    replies.push_back({ .to = waiting->from, .message = messageOf(record, now) });
    m_grants.add(std::move(record));
}

SlotGrant GroupArbiter::messageOf(const GrantRecord &record, state::Time now) const
{
    return { .request = record.request,
             .group = m_group,
             .grant = record.id,
             .target = record.target,
             .version = record.version,
             .validFor = record.validUntil - now };
}

void GroupArbiter::giveUp(const state::RequestId &request)
{
    const std::optional<WaitingAsk> waiting = m_queue.remove(request);
    m_shedList.add(waiting->ask.tier, waiting->ask.request, waiting->from);
}

void GroupArbiter::giveUpOverdue(state::Time now)
{
    while (const WaitingAsk *waiting = m_queue.earliestLatestStart()) {
        if (waiting->latestStart >= now) {
            return;
        }
        const SlotRequest &ask = waiting->ask;
        const double output = m_averages.expectedOutput(ask.maxOutputTokens);
        const state::Duration service = m_targets.fastest(ask, m_targets.mostCachedTokens(ask), output);
        if (now + service > ask.deadline) {
            giveUp(ask.request);
            continue;
        }
        // Its prefix is cached by now, or the targets are faster than they were when it arrived.
        WaitingAsk later = *m_queue.remove(ask.request);
        later.latestStart = later.ask.deadline - service;
        m_queue.push(std::move(later));
    }
}

void GroupArbiter::denyAllWithoutTarget(Replies &replies)
{
    if (m_targets.hasLive()) {
        return;
    }
    const state::Duration retryAfter = state::durationFromSeconds(MinimumRetrySeconds);
    while (const WaitingAsk *waiting = m_queue.victim()) {
        deny(waiting->from, waiting->ask.request, DenialReason::NoTarget, retryAfter, replies);
        m_queue.remove(waiting->ask.request);
    }
}

void GroupArbiter::shed(state::Time now, Replies &replies)
{
    for (const state::Tier tier : m_shedList.tiers()) {
        const bool needsFloor = tier < m_options.lowestTier;
        if (needsFloor && !m_options.gate->mayShed(m_options.pool, tier, now)) {
            continue;
        }
        const state::Duration retryAfter = retryTime();
        while (m_queue.lowestTier().value_or(tier) > tier) {
            giveUp(m_queue.victim()->ask.request);
        }
        for (const ShedList::Item &item : m_shedList.take(tier)) {
            deny(item.from, item.request, DenialReason::Overloaded, retryAfter, replies);
        }
    }
}

void GroupArbiter::deny(const state::HostId &to,
                        const state::RequestId &request,
                        DenialReason reason,
                        state::Duration retryAfter,
                        Replies &replies) const
{
    replies.push_back(
        { .to = to,
          .message = SlotDenial{ .request = request, .group = m_group, .reason = reason, .retryAfter = retryAfter } });
}

state::Duration GroupArbiter::retryTime() const
{
    const double wait = (m_queue.totalWork() + m_averages.seconds()) / std::max(1, m_targets.totalStreams());
    return state::durationFromSeconds(std::clamp(wait, MinimumRetrySeconds, MaximumRetrySeconds));
}

void GroupArbiter::withdraw(const state::HostId & /*from*/, const SlotWithdrawal &withdrawal, state::Time now)
{
    detectPause(now);
    m_queue.remove(withdrawal.request);
    m_shedList.remove(withdrawal.request);
}

void GroupArbiter::release(const state::HostId & /*from*/,
                           const SlotRelease &release,
                           state::Time now,
                           Replies &replies)
{
    detectPause(now);
    const GrantRecord *record = m_grants.find(release.grant);
    if (record == nullptr || record->request != release.request) {
        return;
    }
    m_averages.learn(record->maxOutputTokens, release);
    if (TargetModel *model = m_targets.model(record->target)) {
        model->released(record->work, release, now);
    }
    const std::optional<GrantRecord> ended = m_grants.remove(release.grant);
    m_targets.ejectIfFailing(ended->target, now);
    m_isFull = false;
    schedule(now, replies);
}

void GroupArbiter::report(const state::HostId &from, const OutstandingReport &report, state::Time now)
{
    detectPause(now);
    m_hosts.insert(from);
    for (const OutstandingDispatch &dispatch : report.dispatches) {
        adopt(from, dispatch, now);
    }
    if (report.complete) {
        endUnreported(from, report, now);
        m_awaited.erase(from);
    }
}

void GroupArbiter::adopt(const state::HostId &from, const OutstandingDispatch &dispatch, state::Time now)
{
    // A request that was dispatched with the grant of another arbiter needs no slot here.
    m_queue.remove(dispatch.request);
    m_shedList.remove(dispatch.request);
    if (m_grants.find(dispatch.grant) != nullptr) {
        m_grants.setDispatched(dispatch.grant);
        return;
    }
    TargetModel *model = m_targets.model(dispatch.target);
    if (model == nullptr) {
        return;
    }
    m_grants.add({ .id = dispatch.grant,
                   .request = dispatch.request,
                   .host = from,
                   .target = dispatch.target,
                   .expires = GrantTable::Never,
                   .dispatched = true,
                   .maxOutputTokens = dispatch.maxOutputTokens,
                   .work = model->adopted(dispatch, now) });
}

void GroupArbiter::endUnreported(const state::HostId &from, const OutstandingReport &report, state::Time now)
{
    std::unordered_set<state::GrantId> reported;
    for (const OutstandingDispatch &dispatch : report.dispatches) {
        reported.insert(dispatch.grant);
    }
    for (const state::GrantId id : m_grants.ofHost(from)) {
        if (m_grants.find(id)->dispatched && !reported.contains(id)) {
            endGrant(id, now);
        }
    }
}

void GroupArbiter::endGrant(state::GrantId id, state::Time now)
{
    const std::optional<GrantRecord> record = m_grants.remove(id);
    if (!record) {
        return;
    }
    m_isFull = false;
    if (TargetModel *model = m_targets.model(record->target)) {
        model->expired(record->work, now);
    }
}

void GroupArbiter::loadReported(const LoadReported &report, state::Time now)
{
    m_targets.loadReported(report, now);
    m_isFull = false;
}

void GroupArbiter::cacheChanged(const CacheChanged &change, state::Time /*now*/)
{
    m_targets.cacheChanged(change);
}

void GroupArbiter::hostLost(const state::HostId &host, state::Time now)
{
    detectPause(now);
    std::vector<state::RequestId> lost;
    m_queue.visit([&](const WaitingAsk &waiting) {
        if (waiting.from == host) {
            lost.push_back(waiting.ask.request);
        }
        return FairQueue::Visit::Continue;
    });
    for (const state::RequestId &request : lost) {
        m_queue.remove(request);
    }
    m_shedList.removeHost(host);
    for (const state::GrantId id : m_grants.ofHost(host)) {
        const GrantRecord *record = m_grants.find(id);
        // Engines finish a stream whose caller is gone, so its slot stays taken until the expected end.
        if (record->dispatched) {
            m_grants.setExpiry(id, std::max(now + m_options.grantMargin, record->work.end));
        }
    }
    m_hosts.erase(host);
    m_awaited.erase(host);
}

void GroupArbiter::beginRebuild(std::span<const state::HostId> expected, state::Time now)
{
    m_awaited = std::set<state::HostId>(expected.begin(), expected.end());
    m_hosts.insert(expected.begin(), expected.end());
    m_rebuildEnds = now + RebuildTimeout;
}

bool GroupArbiter::isRebuilding(state::Time now) const
{
    return now < m_rebuildEnds && !m_awaited.empty();
}

void GroupArbiter::detectPause(state::Time now)
{
    if (m_lastTick && now - *m_lastTick > PauseLimit) {
        m_queue.clear();
        m_shedList.clear();
        m_grants.clear();
        m_targets.forgetWork();
        m_isFull = false;
        const std::vector<state::HostId> expected(m_hosts.begin(), m_hosts.end());
        beginRebuild(expected, now);
        m_lastTick = now;
    }
}

void GroupArbiter::tick(state::Time now, Replies &replies)
{
    detectPause(now);
    m_lastTick = now;
    while (const std::optional<state::GrantId> expired = m_grants.firstExpired(now)) {
        endGrant(*expired, now);
    }
    m_targets.tick(now);
    m_isFull = false;
    denyAllWithoutTarget(replies);
    giveUpOverdue(now);
    shed(now, replies);
    schedule(now, replies);
}

GroupSummary GroupArbiter::summary(state::Time now) const
{
    GroupSummary summary{ .group = m_group };
    summary.waiting = static_cast<std::uint32_t>(m_queue.size());
    summary.freeStreams = static_cast<std::uint32_t>(std::max(0, m_targets.freeStreams(now)));
    const bool waits = !m_queue.empty() || summary.freeStreams == 0;
    const double wait =
        waits ? (m_queue.totalWork() + m_averages.seconds()) / std::max(1, m_targets.totalStreams()) : 0;
    summary.estimatedWait = state::durationFromSeconds(wait);
    if (isRebuilding(now)) {
        summary.estimatedWait += m_rebuildEnds - now;
    }
    return summary;
}

GroupStatus GroupArbiter::status(state::Time now) const
{
    return { .group = m_group, .summary = summary(now), .targets = m_targets.status(now) };
}

} // namespace sapphirecove::coordination
