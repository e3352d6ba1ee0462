#include "coordination/entry/rolloutcontroller.h"

#include "coordination/entry/shorthash.h"

#include <algorithm>
#include <cmath>

namespace sapphirecove::coordination::entry {

namespace {

using state::entry::RolloutState;

/**
 * Fraction of the deployment's bound on the requests of a bad version that is used. The rest covers what is on its way
 * between hosts, and requests that are counted here and do not arrive.
 */
constexpr double UsedBound = 0.9;

/** Fractions of the slack and of the share in that bound that a version on trial gets. */
constexpr double TrialSlack = 0.3;
constexpr double TrialShare = 0.4;

/** Most requests of a trial beyond the slack: more would say nothing new, and are needed for the switch. */
constexpr double MaxTrialRequests = 25;

/** Fraction of an order's time over which the trial's requests are spread, as some versions turn bad only later. */
constexpr double TrialSpread = 0.85;

/** Good responses of the whole fleet that prove a version. */
constexpr double ProofResponses = 10;

/** Fraction of the requests to a version that has to be answered well: one that sheds or is left proves nothing. */
constexpr double ProofShare = 0.5;

/** Fraction of an order's time after which a version that is not proven is rolled back. */
constexpr double ProofTime = 0.65;

/** Time before the deadline at which an order that is not done is rolled back, so that the operator reads it in time.
 */
constexpr state::Duration OutcomeReserve = std::chrono::milliseconds(300);

/** Usual times of a request after which those at the other versions have ended, and time beyond that. */
constexpr double SwitchUsualTimes = 3;
constexpr state::Duration SwitchReserve = std::chrono::milliseconds(500);

/** Time without running requests at the other versions before the order is done: more than a report interval. */
constexpr state::Duration IdleBeforeDone = std::chrono::milliseconds(350);

/**
 * Multiples of the present rate of requests that must fit into the bound until the deadline: before the switch, after
 * which the bound still holds for each request, and before the order is done, after which nothing holds them back.
 */
constexpr double SwitchRateMargin = 1.15;
constexpr double DoneRateMargin = 2;

/**
 * Time after which the counts of a process that has announced an order must have arrived: several reports, and the time
 * for which a host that is paused counts as live.
 */
constexpr state::Duration CountsArrive = std::chrono::seconds(3);

double toSecondsLeft(const state::entry::RolloutOrder &order, state::Time began, state::Time now)
{
    return order.durationSeconds - state::toSeconds(now - began);
}

} // namespace

RolloutController::RolloutController(const state::entry::Bounds &bounds, std::uint32_t self)
    : m_bounds(bounds)
    , m_self(self)
{
}

void RolloutController::ordered(const state::entry::RolloutOrder &order, state::Time now, bool mayBeOld)
{
    const auto known = m_rollouts.find(order.service);
    if (known != m_rollouts.end() && known->second.order.targetVersion == order.targetVersion) {
        return;
    }
    Rollout rollout;
    if (known != m_rollouts.end()) {
        rollout.superseded = known->second.superseded;
        if (mayBeOld && rollout.superseded.contains(order.targetVersion)) {
            return;
        }
        rollout.superseded.insert(known->second.order.targetVersion);
        rollout.superseded.erase(order.targetVersion);
    }
    rollout.order = order;
    rollout.began = now;
    rollout.evidence = RolloutEvidence(m_self);
    m_rollouts[order.service] = std::move(rollout);
}

void RolloutController::published(const state::entry::RolloutStatus &status, state::Time now)
{
    const auto found = m_rollouts.find(status.service);
    if (found == m_rollouts.end() || found->second.order.targetVersion != status.targetVersion) {
        return;
    }
    Rollout &rollout = found->second;
    if (status.state != RolloutState::Running) {
        rollout.state = status.state;
        return;
    }
    rollout.isAnnounced = true;
    if (!rollout.isInformed && !rollout.uninformedSince) {
        rollout.uninformedSince = now;
    }
}

void RolloutController::announced(const state::entry::RolloutStatus &status, bool stored)
{
    Rollout *rollout = running(status.service);
    if (rollout != nullptr && rollout->order.targetVersion == status.targetVersion) {
        rollout->isAnnounced = stored;
        rollout->isInformed = true;
    }
}

void RolloutController::storeAgain()
{
    for (auto &[service, rollout] : m_rollouts) {
        rollout.isAnnounced = false;
    }
}

bool RolloutController::isAnnounced(std::string_view service) const
{
    const auto found = m_rollouts.find(service);
    return found != m_rollouts.end() && found->second.isAnnounced;
}

bool RolloutController::mayUse(std::string_view service, std::string_view version, std::size_t deciders) const
{
    const auto found = m_rollouts.find(service);
    if (found == m_rollouts.end()) {
        return true;
    }
    const Rollout &rollout = found->second;
    const bool isTarget = version == rollout.order.targetVersion;
    if (rollout.state != RolloutState::Running) {
        return isTarget == (rollout.state == RolloutState::Done);
    }
    if (!isTarget && rollout.phase == RolloutPhase::Trial) {
        return true;
    }
    // Hosts that decide each for itself cannot share a bound.
    const RouteCounts counts = rollout.evidence.sum();
    const bool open = rollout.isInformed && deciders <= 1 && counts.target.dispatched + 1 <= allowance(rollout, counts);
    return isTarget ? open : !open;
}

/** Returns how many requests the new version may have got by now. */
double RolloutController::allowance(const Rollout &rollout, const RouteCounts &counts) const
{
    const double share = m_bounds.rolloutShare * (counts.target.dispatched + counts.others.dispatched);
    if (rollout.phase == RolloutPhase::Switch) {
        return UsedBound * (share + m_bounds.rolloutSlack);
    }
    const double spread = std::min(1.0, rollout.elapsed / TrialSpread);
    return spread * (TrialSlack * m_bounds.rolloutSlack + std::min(TrialShare * share, MaxTrialRequests));
}

bool RolloutController::prefers(std::string_view service, std::string_view version) const
{
    const auto found = m_rollouts.find(service);
    return found != m_rollouts.end() && found->second.state == RolloutState::Running
        && found->second.order.targetVersion == version;
}

void RolloutController::dispatched(std::string_view service, std::string_view version, std::string_view route)
{
    if (VersionCounts *counts = countsOf(service, version, route)) {
        counts->dispatched += 1;
    }
}

void RolloutController::answered(
    std::string_view service, std::string_view version, std::string_view route, bool good, double latencyRatio)
{
    VersionCounts *counts = countsOf(service, version, route);
    if (counts == nullptr) {
        return;
    }
    if (good) {
        counts->good += 1;
        counts->addLatency(latencyRatio);
    } else {
        counts->bad += 1;
    }
}

void RolloutController::abandoned(std::string_view service,
                                  std::string_view version,
                                  std::string_view route,
                                  double latencyRatio)
{
    if (VersionCounts *counts = countsOf(service, version, route)) {
        counts->addLatency(latencyRatio);
    }
}

/** Returns where this process counts what concerns @p version; nullptr if no order runs. */
VersionCounts *RolloutController::countsOf(std::string_view service, std::string_view version, std::string_view route)
{
    Rollout *rollout = running(service);
    if (rollout == nullptr) {
        return nullptr;
    }
    RouteCounts &counts = rollout->evidence.own(route);
    return version == rollout->order.targetVersion ? &counts.target : &counts.others;
}

void RolloutController::learn(const std::map<std::string, Peer, std::less<>> &peers, state::Time now)
{
    for (auto &[name, rollout] : m_rollouts) {
        if (rollout.state != RolloutState::Running) {
            continue;
        }
        const std::uint32_t service = shortHash(name);
        const std::uint32_t version = shortHash(rollout.order.targetVersion);
        for (const auto &[host, peer] : peers) {
            for (const RolloutShare &share : peer.report.rollouts) {
                if (share.service == service && share.version == version) {
                    const auto age = std::chrono::milliseconds(share.ageMs);
                    rollout.began = std::min(rollout.began, peer.lastReportAt - age);
                    rollout.isInformed = true;
                    rollout.uninformedSince.reset();
                    rollout.evidence.learn(peer.report.versions, service, version);
                }
            }
        }
        rollout.evidence.compare(now);
        rollout.elapsed = state::toSeconds(now - rollout.began) / std::max(0.001, rollout.order.durationSeconds);
    }
}

std::vector<state::entry::RolloutStatus> RolloutController::evaluate(const OthersLoadOf &othersLoad, state::Time now)
{
    std::vector<state::entry::RolloutStatus> changes;
    for (auto &[service, rollout] : m_rollouts) {
        if (rollout.state != RolloutState::Running) {
            continue;
        }
        judge(rollout, othersLoad(service, rollout.order.targetVersion), now);
        if (rollout.state != RolloutState::Running) {
            changes.push_back({ service, rollout.order.targetVersion, rollout.state });
        }
    }
    return changes;
}

void RolloutController::judge(Rollout &rollout, const OthersLoad &others, state::Time now)
{
    if (rollout.phase == RolloutPhase::Trial || others.running > 0) {
        rollout.othersIdleSince.reset();
    } else if (!rollout.othersIdleSince) {
        rollout.othersIdleSince = now;
    }
    const bool othersIdle = rollout.othersIdleSince && now - *rollout.othersIdleSince >= IdleBeforeDone;
    const bool isLate = toSecondsLeft(rollout.order, rollout.began, now) <= state::toSeconds(OutcomeReserve);
    const std::string_view reason = rollbackReason(rollout);
    if (!reason.empty() || isUninformed(rollout, now)) {
        rollout.state = RolloutState::RolledBack;
        recordProgress(rollout, reason.empty() ? "counts_lost" : reason, now);
    } else if (othersIdle && isProven(rollout)
               && fitsUntilDeadline(rollout, isLate ? SwitchRateMargin : DoneRateMargin, 1, now)) {
        rollout.state = RolloutState::Done;
        recordProgress(rollout, "others_idle", now);
    } else if (isLate) {
        rollout.state = RolloutState::RolledBack;
        recordProgress(rollout, "not_done_in_time", now);
    } else if (rollout.phase == RolloutPhase::Trial && isSwitchDue(rollout, others, now)) {
        rollout.phase = RolloutPhase::Switch;
        recordProgress(rollout, "proven", now);
    }
}

/**
 * Returns whether the new version is to get all requests now: it is proven, the bound allows it, and just as much time
 * is left as the requests at the other versions need to end.
 */
bool RolloutController::isSwitchDue(const Rollout &rollout, const OthersLoad &others, state::Time now) const
{
    const state::Duration least = OutcomeReserve + IdleBeforeDone + others.usualTime;
    const state::Duration most = least + SwitchReserve + state::scaled(others.usualTime, SwitchUsualTimes - 1);
    const double secondsLeft = toSecondsLeft(rollout.order, rollout.began, now);
    return secondsLeft >= state::toSeconds(least) && secondsLeft <= state::toSeconds(most) && isProven(rollout)
        && fitsUntilDeadline(rollout, SwitchRateMargin, UsedBound, now);
}

/** Returns whether another process has announced the order, and its counts did not arrive. */
bool RolloutController::isUninformed(const Rollout &rollout, state::Time now)
{
    return rollout.uninformedSince && now - *rollout.uninformedSince >= CountsArrive;
}

/** Returns why the new version must not go on; empty if it may. */
std::string_view RolloutController::rollbackReason(const Rollout &rollout)
{
    if (const auto fault = rollout.evidence.fault()) {
        return *fault == VersionFault::Failures ? "failures" : "slowness";
    }
    const bool isLate = rollout.phase == RolloutPhase::Trial && rollout.elapsed >= ProofTime;
    return isLate && rollout.evidence.sum().target.good < ProofResponses ? "not_proven_in_time" : "";
}

/** Returns whether the new version has answered enough requests well. */
bool RolloutController::isProven(const Rollout &rollout)
{
    const VersionCounts target = rollout.evidence.sum().target;
    return rollout.isInformed && !rollout.evidence.isDoubtful()
        && target.good >= std::max(ProofResponses, ProofShare * target.dispatched);
}

/**
 * Returns whether the new version could get all requests from now to the deadline within the fraction @p used of the
 * bound, at @p rateMargin times the present rate. Then it does not matter when it turns bad.
 */
bool RolloutController::fitsUntilDeadline(const Rollout &rollout, double rateMargin, double used, state::Time now) const
{
    const RouteCounts counts = rollout.evidence.sum();
    const double sent = counts.target.dispatched + counts.others.dispatched;
    const double age = std::max(0.001, state::toSeconds(now - rollout.began));
    const double rate = std::max(rollout.evidence.requestRate(), sent / age) * rateMargin;
    const double toCome = rate * std::max(0.0, toSecondsLeft(rollout.order, rollout.began, now));
    const double bound = used * (m_bounds.rolloutShare * (sent + toCome) + m_bounds.rolloutSlack);
    return counts.target.dispatched + toCome <= bound;
}

void RolloutController::recordProgress(const Rollout &rollout, std::string_view reason, state::Time now)
{
    const RouteCounts counts = rollout.evidence.sum();
    m_progress.push_back({ rollout.order.service,
                           rollout.order.targetVersion,
                           rollout.phase,
                           state::toSeconds(now - rollout.began),
                           allowance(rollout, counts),
                           counts,
                           reason,
                           rollout.evidence.faultyRoute() });
}

std::vector<state::entry::RolloutStatus> RolloutController::states() const
{
    std::vector<state::entry::RolloutStatus> states;
    for (const auto &[service, rollout] : m_rollouts) {
        states.push_back({ service, rollout.order.targetVersion, rollout.state });
    }
    return states;
}

bool RolloutController::anyOverdue(state::Time now) const
{
    return std::any_of(m_rollouts.begin(), m_rollouts.end(), [now](const auto &item) {
        const Rollout &rollout = item.second;
        return rollout.state == RolloutState::Running && toSecondsLeft(rollout.order, rollout.began, now) < 0;
    });
}

void RolloutController::fillReport(PeerReport &report, state::Time now) const
{
    for (const auto &[name, rollout] : m_rollouts) {
        if (rollout.state != RolloutState::Running || !rollout.isInformed) {
            continue;
        }
        const std::uint32_t service = shortHash(name);
        const std::uint32_t version = shortHash(rollout.order.targetVersion);
        const auto ageMs = std::max(0.0, state::toMilliseconds(now - rollout.began));
        report.rollouts.push_back({ service, version, static_cast<std::uint32_t>(ageMs) });
        const auto shares = rollout.evidence.shares(service, version);
        report.versions.insert(report.versions.end(), shares.begin(), shares.end());
    }
}

RolloutController::Rollout *RolloutController::running(std::string_view service)
{
    const auto found = m_rollouts.find(service);
    return found != m_rollouts.end() && found->second.state == RolloutState::Running ? &found->second : nullptr;
}

} // namespace sapphirecove::coordination::entry
