#include "coordination/grouparbiter.h"

#include <algorithm>
#include <unordered_set>

namespace sapphirecove::coordination {

namespace {

/** Requests that do not fit and that one pass skips; bounds the time of a decision. */
constexpr std::size_t MaximumBlockedRequests = 16;

/** Bounds of the retry delay of a denial; at least a second, so that retries do not add to the overload. */
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
    , m_grantIdGenerator(group, options.self, options.incarnation)
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

void GroupArbiter::requestSlot(const state::HostId &from,
                               const SlotRequest &slotRequest,
                               state::Time now,
                               Replies &replies)
{
    resetAfterPause(now);
    m_hosts.insert(from);
    const bool isWaiting = m_queue.find(slotRequest.request) != nullptr || m_shedList.contains(slotRequest.request);
    if (isWaiting || answerIfGranted(from, slotRequest, now, replies)) {
        return;
    }
    if (const std::optional<SlotDenial> denial = immediateDenial(slotRequest, now)) {
        replies.push_back({ .to = from, .message = *denial });
        return;
    }
    enqueue(makeWaitingRequest(from, slotRequest, now), now);
    shed(now, replies);
    schedule(now, replies);
}

bool GroupArbiter::answerIfGranted(const state::HostId &from,
                                   const SlotRequest &slotRequest,
                                   state::Time now,
                                   Replies &replies)
{
    const GrantRecord *record = m_grants.findRequest(slotRequest.request);
    if (record == nullptr) {
        return false;
    }
    if (!record->dispatched && std::ranges::find(slotRequest.excluded, record->target) != slotRequest.excluded.end()) {
        // The host excludes this target because it refused the connection; the release of the grant was lost.
        endGrant(record->id, now);
        return false;
    }
    if (!record->dispatched && record->validUntil > now) {
        replies.push_back({ .to = from, .message = makeGrantMessage(*record, now) });
    }
    return true;
}

std::optional<SlotDenial> GroupArbiter::immediateDenial(const SlotRequest &slotRequest, state::Time now) const
{
    SlotDenial denial{ .request = slotRequest.request, .group = m_group, .reason = DenialReason::DeadlineInfeasible };
    if (!m_targets.canServe(slotRequest)) {
        denial.reason = DenialReason::NoTarget;
        denial.retryAfter = state::durationFromSeconds(MinimumRetrySeconds);
        return denial;
    }
    return isDeadlineInfeasible(slotRequest, now) ? std::optional(denial) : std::nullopt;
}

WaitingRequest
GroupArbiter::makeWaitingRequest(const state::HostId &from, const SlotRequest &slotRequest, state::Time now) const
{
    const double output = m_averages.expectedOutput(slotRequest.maxOutputTokens);
    return { .slotRequest = slotRequest,
             .from = from,
             .queuedAt = now,
             .serviceSeconds = m_targets.averageServiceSeconds(slotRequest, output),
             .latestStart = slotRequest.deadline - m_targets.fastestServiceTime(slotRequest, 0, output) };
}

bool GroupArbiter::isDeadlineInfeasible(const SlotRequest &slotRequest, state::Time start) const
{
    const double output = m_averages.expectedOutput(slotRequest.maxOutputTokens);
    if (start + m_targets.fastestServiceTime(slotRequest, 0, output) <= slotRequest.deadline) {
        return false;
    }
    // The prefix lookup on all targets takes most of the time of a decision, so it runs only if it can change the
    // result.
    return start + m_targets.fastestServiceTime(slotRequest, slotRequest.promptTokens, output) > slotRequest.deadline
        || start + m_targets.fastestServiceTime(slotRequest, m_targets.mostCachedTokens(slotRequest), output)
        > slotRequest.deadline;
}

bool GroupArbiter::willMissDeadline(const WaitingRequest &waiting, state::Time now)
{
    const int streams = m_targets.totalStreams();
    if (streams == 0 || (m_queue.empty() && hasRoom(now))) {
        return false;
    }
    const SlotRequest &slotRequest = waiting.slotRequest;
    const double work = m_queue.workAhead(slotRequest.tier, slotRequest.customer, slotRequest.deadline);
    const double wait = (work + m_averages.seconds()) / streams;
    const state::Time start = now + state::durationFromSeconds(wait);
    return isDeadlineInfeasible(slotRequest, start);
}

void GroupArbiter::enqueue(WaitingRequest waiting, state::Time now)
{
    if (willMissDeadline(waiting, now)) {
        m_shedList.add(waiting.slotRequest.tier, waiting.slotRequest.request, waiting.from);
        return;
    }
    m_queue.push(std::move(waiting));
    while (m_queue.size() > m_options.queueLength) {
        moveToShedList(m_queue.shedCandidate()->slotRequest.request);
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
        } else if (selection.infeasible) {
            // The floor must be raised before the next selection, which could otherwise grant a lower tier.
            moveToShedList(*selection.infeasible);
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
    m_queue.visit([&](const WaitingRequest &waiting) {
        return visit(waiting, now, pass, selection);
    });
    return selection;
}

FairQueue::Visit GroupArbiter::visit(const WaitingRequest &waiting, state::Time now, Pass &pass, Selection &selection)
{
    const SlotRequest &slotRequest = waiting.slotRequest;
    if (slotRequest.tier > pass.lowestGrantable || (slotRequest.tier != pass.tier && pass.tierHeldByReservation)) {
        return FairQueue::Visit::Stop;
    }
    pass.tier = slotRequest.tier;
    const double output = m_averages.expectedOutput(slotRequest.maxOutputTokens);
    const TargetSet::Fit fit = m_targets.select(slotRequest, output, now, pass.reserved, m_candidates);
    const std::optional<std::size_t> chosen = m_placement->choose(m_candidates, slotRequest, now, m_random);
    if (chosen) {
        selection.granted = slotRequest.request;
        selection.target = m_candidates[*chosen].target;
        selection.cachedTokens = m_candidates[*chosen].cachedTokens;
        return FairQueue::Visit::Stop;
    }
    if (fit.missesDeadline && !pass.infeasible) {
        pass.infeasible = slotRequest.request;
    }
    if (!pass.reserved && fit.blockedByPrefill && !fit.missesDeadline) {
        // Without a reservation, smaller prompts would keep taking the capacity that a large prompt waits for.
        pass.reserved = fit.blockedByPrefill;
    }
    pass.tierHeldByReservation = pass.tierHeldByReservation || fit.fitsReserved;
    if (++pass.blocked < MaximumBlockedRequests) {
        return FairQueue::Visit::Continue;
    }
    selection.infeasible = pass.infeasible;
    return FairQueue::Visit::Stop;
}

void GroupArbiter::grant(const Selection &selection, state::Time now, Replies &replies)
{
    const std::optional<WaitingRequest> waiting = m_queue.serve(*selection.granted);
    const SlotRequest &slotRequest = waiting->slotRequest;
    const double output = m_averages.expectedOutput(slotRequest.maxOutputTokens);
    GrantRecord record{ .id = m_grantIdGenerator.next(),
                        .request = slotRequest.request,
                        .host = waiting->from,
                        .target = m_targets.id(selection.target),
                        .version = m_targets.version(selection.target),
                        .validUntil = now + m_options.grantValidity,
                        .expires = now + m_options.grantValidity + m_options.grantMargin,
                        .maxOutputTokens = slotRequest.maxOutputTokens };
    record.work = m_targets.grant(selection.target, slotRequest, selection.cachedTokens, output, now);
    replies.push_back({ .to = waiting->from, .message = makeGrantMessage(record, now) });
    m_grants.add(std::move(record));
}

SlotGrant GroupArbiter::makeGrantMessage(const GrantRecord &record, state::Time now) const
{
    return { .request = record.request,
             .group = m_group,
             .grant = record.id,
             .target = record.target,
             .version = record.version,
             .validFor = record.validUntil - now };
}

void GroupArbiter::moveToShedList(const state::RequestId &request)
{
    const std::optional<WaitingRequest> waiting = m_queue.remove(request);
    m_shedList.add(waiting->slotRequest.tier, waiting->slotRequest.request, waiting->from);
}

void GroupArbiter::moveOverdueToShedList(state::Time now)
{
    while (const WaitingRequest *waiting = m_queue.requestWithEarliestLatestStart()) {
        if (waiting->latestStart >= now) {
            return;
        }
        const SlotRequest &slotRequest = waiting->slotRequest;
        const double output = m_averages.expectedOutput(slotRequest.maxOutputTokens);
        const state::Duration service =
            m_targets.fastestServiceTime(slotRequest, m_targets.mostCachedTokens(slotRequest), output);
        if (now + service > slotRequest.deadline) {
            moveToShedList(slotRequest.request);
            continue;
        }
        // Since the request arrived, its prefix has been cached or the learned speeds have risen.
        WaitingRequest postponed = *m_queue.remove(slotRequest.request);
        postponed.latestStart = postponed.slotRequest.deadline - service;
        m_queue.push(std::move(postponed));
    }
}

void GroupArbiter::denyAllWithoutTarget(Replies &replies)
{
    if (m_targets.hasLive()) {
        return;
    }
    const state::Duration retryAfter = state::durationFromSeconds(MinimumRetrySeconds);
    while (const WaitingRequest *waiting = m_queue.shedCandidate()) {
        deny(waiting->from, waiting->slotRequest.request, DenialReason::NoTarget, retryAfter, replies);
        m_queue.remove(waiting->slotRequest.request);
    }
}

void GroupArbiter::shed(state::Time now, Replies &replies)
{
    for (const state::Tier tier : m_shedList.tiers()) {
        const bool needsFloor = tier < m_options.lowestTier;
        if (needsFloor && !m_options.gate->mayShed(m_options.pool, tier, now)) {
            continue;
        }
        const state::Duration retryAfter = retryDelay();
        while (m_queue.lowestTier().value_or(tier) > tier) {
            moveToShedList(m_queue.shedCandidate()->slotRequest.request);
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

state::Duration GroupArbiter::retryDelay() const
{
    const double wait = (m_queue.totalWork() + m_averages.seconds()) / std::max(1, m_targets.totalStreams());
    return state::durationFromSeconds(std::clamp(wait, MinimumRetrySeconds, MaximumRetrySeconds));
}

void GroupArbiter::withdraw(const state::HostId & /*from*/, const SlotWithdrawal &withdrawal, state::Time now)
{
    resetAfterPause(now);
    m_queue.remove(withdrawal.request);
    m_shedList.remove(withdrawal.request);
}

void GroupArbiter::release(const state::HostId & /*from*/,
                           const SlotRelease &release,
                           state::Time now,
                           Replies &replies)
{
    resetAfterPause(now);
    const GrantRecord *record = m_grants.find(release.grant);
    if (record == nullptr || record->request != release.request) {
        return;
    }
    m_averages.addSample(record->maxOutputTokens, release);
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
    resetAfterPause(now);
    m_hosts.insert(from);
    for (const OutstandingDispatch &dispatch : report.dispatches) {
        adopt(from, dispatch, now);
    }
    if (report.complete) {
        endUnreported(from, report, now);
        m_pendingReports.erase(from);
    }
}

void GroupArbiter::adopt(const state::HostId &from, const OutstandingDispatch &dispatch, state::Time now)
{
    // A request that was dispatched with a grant of another arbiter needs no slot from this one.
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
    resetAfterPause(now);
    std::vector<state::RequestId> lost;
    m_queue.visit([&](const WaitingRequest &waiting) {
        if (waiting.from == host) {
            lost.push_back(waiting.slotRequest.request);
        }
        return FairQueue::Visit::Continue;
    });
    for (const state::RequestId &request : lost) {
        m_queue.remove(request);
    }
    m_shedList.removeHost(host);
    for (const state::GrantId id : m_grants.ofHost(host)) {
        const GrantRecord *record = m_grants.find(id);
        // Engines finish a stream whose caller has disconnected, so its slot stays taken until the expected end.
        if (record->dispatched) {
            m_grants.setExpiry(id, std::max(now + m_options.grantMargin, record->work.end));
        }
    }
    m_hosts.erase(host);
    m_pendingReports.erase(host);
}

void GroupArbiter::beginRebuild(std::span<const state::HostId> expected, state::Time now)
{
    m_pendingReports = std::set<state::HostId>(expected.begin(), expected.end());
    m_hosts.insert(expected.begin(), expected.end());
    m_rebuildDeadline = now + RebuildTimeout;
}

bool GroupArbiter::isRebuilding(state::Time now) const
{
    return now < m_rebuildDeadline && !m_pendingReports.empty();
}

void GroupArbiter::resetAfterPause(state::Time now)
{
    if (m_lastTick && now - *m_lastTick > PauseLimit) {
        m_queue.clear();
        m_shedList.clear();
        m_grants.clear();
        m_targets.clearOutstandingWork();
        m_isFull = false;
        const std::vector<state::HostId> expected(m_hosts.begin(), m_hosts.end());
        beginRebuild(expected, now);
        m_lastTick = now;
    }
}

void GroupArbiter::tick(state::Time now, Replies &replies)
{
    resetAfterPause(now);
    m_lastTick = now;
    while (const std::optional<state::GrantId> expired = m_grants.firstExpired(now)) {
        endGrant(*expired, now);
    }
    m_targets.tick(now);
    m_isFull = false;
    denyAllWithoutTarget(replies);
    moveOverdueToShedList(now);
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
        summary.estimatedWait += m_rebuildDeadline - now;
    }
    return summary;
}

GroupStatus GroupArbiter::status(state::Time now) const
{
    return { .group = m_group, .summary = summary(now), .targets = m_targets.status(now) };
}

} // namespace sapphirecove::coordination
