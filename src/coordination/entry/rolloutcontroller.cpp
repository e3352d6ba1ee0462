#include "coordination/entry/rolloutcontroller.h"

#include "coordination/entry/shorthash.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace sapphirecove::coordination::entry {

namespace {

using state::entry::RolloutState;

/**
 * Fraction of the deployment's bounds on the traffic of a new version that an unproven version gets. The rest covers
 * reports that are on their way.
 */
constexpr double UsedRolloutShare = 0.5;

/** Good responses of the whole fleet that are required before the share grows. */
constexpr double ResponsesPerStep = 20;

/** Step in which the share of a new version grows. */
struct Step
{
    double share;
    double notBefore; /**< fraction of the order's time: some versions regress only later or under load */
};

constexpr Step Steps[] = { { 0.25, 0.1 }, { 0.5, 0.2 }, { 1.0, 0.3 } };

/** Fraction of an order's time before which it cannot be done, since that state is final. */
constexpr double DoneNotBefore = 0.6;

/** Minimum number of responses of one route for an evaluation. */
constexpr double MinResponses = 5;

/** Difference to the failure share of the other versions that is tolerated in addition to noise. */
constexpr double FailureMargin = 0.05;

/** Standard errors of the failure share that count as noise. */
constexpr double NoiseErrors = 2.5;

/** Multiple of the other versions' latency above which a version counts as slow. */
constexpr double SlowFactor = 1.8;

/**
 * Fraction of an order's time after which a version that is not proven is rolled back. A version is proven once enough
 * good responses have raised its share of the traffic above the deployment's bound for a new version.
 */
constexpr double ProofShare = 0.6;

/** Fraction of an order's time after which it is rolled back if it is not done. */
constexpr double RollbackShare = 0.9;

/** Time without running requests at the other versions before the order is done: several report intervals. */
constexpr state::Duration IdleBeforeDone = std::chrono::milliseconds(600);

VersionCounts countsOf(const VersionShare &share)
{
    return { static_cast<double>(share.dispatched),
             static_cast<double>(share.good),
             static_cast<double>(share.bad),
             share.latencyRatioSum };
}

void add(VersionCounts &counts, const VersionCounts &other)
{
    counts.dispatched += other.dispatched;
    counts.good += other.good;
    counts.bad += other.bad;
    counts.latencyRatioSum += other.latencyRatioSum;
}

VersionShare shareOf(std::uint32_t service, std::uint32_t version, std::uint32_t route, const VersionCounts &counts)
{
    return { service,
             version,
             route,
             static_cast<std::uint32_t>(counts.dispatched),
             static_cast<std::uint32_t>(counts.good),
             static_cast<std::uint32_t>(counts.bad),
             static_cast<float>(counts.latencyRatioSum) };
}

double failureShare(const VersionCounts &counts)
{
    const double responses = counts.good + counts.bad;
    return responses > 0 ? counts.bad / responses : 0;
}

double latencyRatio(const VersionCounts &counts)
{
    return counts.good > 0 ? counts.latencyRatioSum / counts.good : 1;
}

} // namespace

RolloutController::RolloutController(const state::entry::Bounds &bounds)
    : m_bounds(bounds)
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
    rollout.share = m_bounds.rolloutShare * UsedRolloutShare;
    m_rollouts[order.service] = std::move(rollout);
}

void RolloutController::published(const state::entry::RolloutStatus &status)
{
    const auto found = m_rollouts.find(status.service);
    const bool matches = found != m_rollouts.end() && found->second.order.targetVersion == status.targetVersion;
    if (matches && status.state != RolloutState::Running) {
        found->second.state = status.state;
    }
}

bool RolloutController::mayUse(std::string_view service, std::string_view version, std::size_t hosts) const
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
    if (!isTarget) {
        return rollout.share < 1;
    }
    double target = 0;
    double all = 0;
    for (const auto &[route, counts] : rollout.routes) {
        target += counts.target.dispatched;
        all += counts.target.dispatched + counts.others.dispatched;
    }
    const double slack =
        m_bounds.rolloutSlack * UsedRolloutShare / static_cast<double>(std::max<std::size_t>(1, hosts));
    return rollout.share >= 1 || target + 1 <= rollout.share * all + slack;
}

void RolloutController::dispatched(std::string_view service, std::string_view version, std::string_view route)
{
    if (Rollout *rollout = running(service)) {
        RouteCounts &counts = rollout->routes[std::string(route)];
        (version == rollout->order.targetVersion ? counts.target : counts.others).dispatched += 1;
    }
}

void RolloutController::answered(
    std::string_view service, std::string_view version, std::string_view route, bool good, double latencyRatio)
{
    Rollout *rollout = running(service);
    if (rollout == nullptr) {
        return;
    }
    RouteCounts &counts = rollout->routes[std::string(route)];
    VersionCounts &versionCounts = version == rollout->order.targetVersion ? counts.target : counts.others;
    if (good) {
        versionCounts.good += 1;
        versionCounts.latencyRatioSum += latencyRatio;
    } else {
        versionCounts.bad += 1;
    }
}

void RolloutController::evaluateRollout(Rollout &rollout,
                                        std::span<const PeerReport *const> peers,
                                        std::uint32_t othersRunning,
                                        state::Time now,
                                        std::vector<state::entry::RolloutStatus> &changes)
{
    const auto counts = countsOfFleet(rollout, peers);
    const double elapsed = state::toSeconds(now - rollout.began) / std::max(0.001, rollout.order.durationSeconds);
    const bool proven = rollout.share > m_bounds.rolloutShare;
    const double shareBefore = rollout.share;
    std::string_view reason;
    if (std::any_of(counts.begin(), counts.end(), regressed)) {
        rollout.state = RolloutState::RolledBack;
        reason = "regressed";
    } else if (elapsed >= RollbackShare || (elapsed >= ProofShare && !proven)) {
        rollout.state = RolloutState::RolledBack;
        reason = proven ? "not_done_in_time" : "not_proven_in_time";
    } else {
        growShare(rollout, counts, elapsed);
        if (rollout.share < 1 || othersRunning > 0 || elapsed < DoneNotBefore) {
            rollout.othersIdleSince.reset();
        } else if (!rollout.othersIdleSince) {
            rollout.othersIdleSince = now;
        } else if (now - *rollout.othersIdleSince >= IdleBeforeDone) {
            rollout.state = RolloutState::Done;
            reason = "others_idle";
        }
    }
    if (rollout.state != RolloutState::Running) {
        changes.push_back({ rollout.order.service, rollout.order.targetVersion, rollout.state });
    }
    if (rollout.state != RolloutState::Running || rollout.share != shareBefore) {
        const RouteCounts &sum = counts.back(); // The last entry is the sum over all routes.
        m_progress.push_back({ rollout.order.service,
                               rollout.order.targetVersion,
                               rollout.share,
                               state::toSeconds(now - rollout.began),
                               sum.target.dispatched,
                               sum.target.dispatched + sum.others.dispatched,
                               sum.target,
                               sum.others,
                               reason });
    }
}

/** Returns the counts of each route, summed over this host and its peers. */
std::vector<RolloutController::RouteCounts> RolloutController::countsOfFleet(const Rollout &rollout,
                                                                             std::span<const PeerReport *const> peers)
{
    const std::uint32_t service = shortHash(rollout.order.service);
    const std::uint32_t version = shortHash(rollout.order.targetVersion);
    std::map<std::uint32_t, RouteCounts> byRoute;
    for (const auto &[route, counts] : rollout.routes) {
        byRoute[shortHash(route)] = counts;
    }
    for (const PeerReport *peer : peers) {
        for (const auto &share : peer->versions) {
            if (share.service != service) {
                continue;
            }
            RouteCounts &counts = byRoute[share.route];
            add(share.version == version ? counts.target : counts.others, countsOf(share));
        }
    }
    std::vector<RouteCounts> result;
    RouteCounts sum;
    for (const auto &[route, counts] : byRoute) {
        result.push_back(counts);
        add(sum.target, counts.target);
        add(sum.others, counts.others);
    }
    result.push_back(sum);
    return result;
}

bool RolloutController::regressed(const RouteCounts &counts)
{
    const double responses = counts.target.good + counts.target.bad;
    if (responses < MinResponses) {
        return false;
    }
    const double usual = failureShare(counts.others);
    const double noise = std::sqrt(std::max(usual, FailureMargin) / responses);
    const bool failing = failureShare(counts.target) > usual + FailureMargin + NoiseErrors * noise;
    const bool slow = counts.target.good >= MinResponses && counts.others.good >= MinResponses
        && latencyRatio(counts.target) > SlowFactor * latencyRatio(counts.others);
    return failing || slow;
}

void RolloutController::growShare(Rollout &rollout, const std::vector<RouteCounts> &counts, double elapsed)
{
    const double good = counts.back().target.good; // The last entry is the sum over all routes.
    if (rollout.share >= 1 || good - rollout.goodAtStep < ResponsesPerStep) {
        return;
    }
    const auto next = std::find_if(std::begin(Steps), std::end(Steps), [&](const Step &step) {
        return step.share > rollout.share;
    });
    if (next != std::end(Steps) && elapsed >= next->notBefore) {
        rollout.share = next->share;
        rollout.goodAtStep = good;
    }
}

std::vector<state::entry::RolloutStatus> RolloutController::states() const
{
    std::vector<state::entry::RolloutStatus> states;
    for (const auto &[service, rollout] : m_rollouts) {
        states.push_back({ service, rollout.order.targetVersion, rollout.state });
    }
    return states;
}

std::vector<VersionShare> RolloutController::shares() const
{
    std::vector<VersionShare> shares;
    for (const auto &[service, rollout] : m_rollouts) {
        if (rollout.state != RolloutState::Running) {
            continue;
        }
        const std::uint32_t serviceHash = shortHash(service);
        for (const auto &[route, counts] : rollout.routes) {
            const std::uint32_t routeHash = shortHash(route);
            shares.push_back(shareOf(serviceHash, shortHash(rollout.order.targetVersion), routeHash, counts.target));
            shares.push_back(shareOf(serviceHash, 0, routeHash, counts.others));
        }
    }
    return shares;
}

RolloutController::Rollout *RolloutController::running(std::string_view service)
{
    const auto found = m_rollouts.find(service);
    return found != m_rollouts.end() && found->second.state == RolloutState::Running ? &found->second : nullptr;
}

} // namespace sapphirecove::coordination::entry
