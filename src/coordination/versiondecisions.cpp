#include "coordination/versioncontroller.h"

#include <algorithm>
#include <cmath>

// Decisions of the lease holder; versioncontroller.cpp contains what every host does.

namespace sapphirecove::coordination {

namespace {

constexpr int WholeShare = 1000;

/** Returns the step after @p share. */
int shareAfter(int share)
{
    const auto &steps = VersionController::SharesPerMille;
    const auto *const next = std::upper_bound(steps.begin(), steps.end(), share);
    return next == steps.end() ? WholeShare : *next;
}

/** Returns the share whose targets must have loaded the version before @p share begins. */
int loadedBefore(int share)
{
    // The last targets load while the whole traffic may already use the new version.
    return share == WholeShare ? *(VersionController::SharesPerMille.end() - 2) : share;
}

} // namespace

VersionDecisions VersionController::decide(const std::map<state::PoolId, state::Offset> &fencing, state::Time now)
{
    VersionDecisions decisions;
    const auto needed = poolsNeedingLease();
    for (const auto &[pool, number] : fencing) {
        const auto highest = m_highestFencing.find(pool);
        const bool isOutdated = highest != m_highestFencing.end() && number < highest->second;
        const bool isNeeded = std::find(needed.begin(), needed.end(), pool) != needed.end();
        if (!m_caughtUp || !isNeeded || isOutdated || m_orders[pool].isFenced(number)) {
            continue;
        }
        for (auto &change : m_changes) {
            if (change.declared.pool != pool) {
                continue;
            }
            if (const auto step = decideChange(change, now)) {
                propose(change, *step, number, now, decisions);
            }
            if (!hasEnded(change)) {
                break;
            }
        }
        orderTargets(pool, number, now, decisions);
    }
    return decisions;
}

std::optional<state::VersionStep> VersionController::decideChange(const Change &change, state::Time now) const
{
    const auto state = stateOf(change);
    const auto *record = stepOf(change);
    if (state != state::ChangeState::RolledBack) {
        if (const auto reason = reasonToUndo(change, now)) {
            return state::VersionStep{ "", "", "", 0, state::ChangeState::RolledBack, *reason };
        }
    }
    if (record == nullptr) {
        return state::VersionStep{ "", "", "", 0, state::ChangeState::Loading, "declared" };
    }
    const bool isFinished = hasEnded(change);
    if (isFinished && now - record->loggedAt >= RefreshInterval) {
        return record->step;
    }
    return isFinished ? std::nullopt : decideShare(change, now);
}

std::optional<state::VersionStep> VersionController::decideShare(const Change &change, state::Time now) const
{
    const auto &step = stepOf(change)->step;
    const auto &pool = change.declared.pool;
    const int running = targetsRunning(change, now);
    if (step.state == state::ChangeState::Loading) {
        const int first = firstShare(change, now);
        if (running < targetsFor(pool, first, now)) {
            return std::nullopt;
        }
        return state::VersionStep{ "", "", "", first, state::ChangeState::Shifting, "targets loaded" };
    }
    if (change.evidence.stepVerdict().verdict != Verdict::Good) {
        return std::nullopt;
    }
    if (step.sharePerMille < WholeShare) {
        const int next = shareAfter(step.sharePerMille);
        if (running < targetsFor(pool, loadedBefore(next), now)) {
            return std::nullopt;
        }
        return state::VersionStep{ "", "", "", next, state::ChangeState::Shifting, "no fault found" };
    }
    if (!isLoadedEverywhere(change, now) || !change.evidence.allowsCompletion()) {
        return std::nullopt;
    }
    return state::VersionStep{ "", "", "", WholeShare, state::ChangeState::Done, "no fault found" };
}

std::optional<std::string> VersionController::reasonToUndo(const Change &change, state::Time now) const
{
    const auto &declared = change.declared;
    const auto halt = m_halts.find({ declared.pool, declared.to });
    if (halt != m_halts.end()) {
        return "halted by " + halt->second.detectedBy + ": " + halt->second.reason;
    }
    if (hasEnded(change)) {
        return std::nullopt;
    }
    const auto inForce = versionInForce(declared.pool, &change);
    if (inForce != declared.from) {
        return "version " + inForce + " is in force, not " + declared.from;
    }
    if (now >= declared.deadline - restoreTime(change, now)) {
        return std::string("not enough evidence before the deadline");
    }
    return std::nullopt;
}

state::Duration VersionController::restoreTime(const Change &change, state::Time now) const
{
    const auto orders = m_orders.find(change.declared.pool);
    if (orders == m_orders.end() || targetsRunning(change, now) == 0) {
        return EndReserve;
    }
    return orders->second.loadTime() + EndReserve;
}

int VersionController::firstShare(const Change &change, state::Time now) const
{
    const auto elapsed = state::toSeconds(now - stepOf(change)->readAt);
    const auto left = state::toSeconds(change.declared.deadline - restoreTime(change, now) - now);
    const auto expected =
        static_cast<double>(change.evidence.observed()) / std::max(elapsed, 1.0) * left * FirstStepPart;
    const auto enough = [&](int share) {
        return expected * share / WholeShare >= static_cast<double>(VersionEvidence::requestsForStep());
    };
    int first = SharesPerMille.front();
    while (!enough(first) && shareAfter(first) <= MaxFirstShare) {
        first = shareAfter(first);
    }
    return first;
}

int VersionController::preparedShare(const Change &change, state::Time now) const
{
    const auto &step = stepOf(change)->step;
    if (step.state == state::ChangeState::Loading) {
        return firstShare(change, now);
    }
    const bool isGood = change.evidence.stepVerdict().verdict == Verdict::Good;
    return isGood && step.sharePerMille < WholeShare ? loadedBefore(shareAfter(step.sharePerMille))
                                                     : step.sharePerMille;
}

int VersionController::targetsFor(const state::PoolId &pool, int sharePerMille, state::Time now) const
{
    const auto present = static_cast<int>(presentTargets(pool, now).size());
    if (sharePerMille >= WholeShare) {
        return present;
    }
    const int needed = (present * sharePerMille + WholeShare - 1) / WholeShare;
    return std::clamp(needed, 1, std::max(1, present - 1));
}

std::vector<const state::Target *> VersionController::presentTargets(const state::PoolId &pool, state::Time now) const
{
    std::vector<const state::Target *> targets;
    const auto orders = m_orders.find(pool);
    if (!m_configuration || orders == m_orders.end()) {
        return targets;
    }
    for (const auto &[id, target] : m_configuration->targets) {
        const bool isLive = !m_liveTargets || m_liveTargets->contains(id);
        if (target.pool == pool && isLive && orders->second.isPresent(id, now)) {
            targets.push_back(&target);
        }
    }
    return targets;
}

int VersionController::targetsRunning(const Change &change, state::Time now) const
{
    const auto targets = presentTargets(change.declared.pool, now);
    return static_cast<int>(std::count_if(targets.begin(), targets.end(), [&](const state::Target *target) {
        return m_orders.at(change.declared.pool).runs(target->id, change.declared.to);
    }));
}

bool VersionController::isLoadedEverywhere(const Change &change, state::Time now) const
{
    const auto targets = presentTargets(change.declared.pool, now);
    const auto stuck = std::count_if(targets.begin(), targets.end(), [&](const state::Target *target) {
        return m_orders.at(change.declared.pool).isStuck(target->id, change.declared.to, now);
    });
    const auto present = static_cast<int>(targets.size());
    const int running = targetsRunning(change, now);
    return present > 0 && running + stuck >= present && running * 3 >= present * 2;
}

void VersionController::propose(
    Change &change, state::VersionStep step, state::Offset fencing, state::Time now, VersionDecisions &decisions)
{
    const auto &last = change.proposed;
    const bool isSame =
        last && last->state == step.state && last->sharePerMille == step.sharePerMille && last->fencing == fencing;
    if (isSame && now - change.proposedAt < RepeatInterval) {
        return;
    }
    step.changeId = change.declared.id;
    step.pool = change.declared.pool;
    step.version = change.declared.to;
    step.fencing = fencing;
    step.holder = m_host;
    change.proposed = step;
    change.proposedAt = now;
    decisions.steps.push_back(step);
}

void VersionController::orderTargets(const state::PoolId &pool,
                                     state::Offset fencing,
                                     state::Time now,
                                     VersionDecisions &decisions)
{
    const auto *change = activeChange(pool);
    const bool isHaltedChange = change != nullptr && isHalted(pool, change->declared.to);
    if (change != nullptr && !isHaltedChange) {
        if (stepOf(*change) != nullptr && !reasonToUndo(*change, now)) {
            orderLoading(*change, fencing, now, decisions);
        }
        return;
    }
    const auto version = versionInForce(pool, change);
    for (const auto *target : presentTargets(pool, now)) {
        sendOrder(*target, version, fencing, now, decisions);
    }
}

void VersionController::orderLoading(const Change &change,
                                     state::Offset fencing,
                                     state::Time now,
                                     VersionDecisions &decisions)
{
    const auto &declared = change.declared;
    const auto &orders = m_orders.at(declared.pool);
    const auto targets = presentTargets(declared.pool, now);
    std::map<std::string, int> perDomain;
    std::vector<const state::Target *> free;
    int loading = 0;
    int running = 0;
    for (const auto *target : targets) {
        const bool isRunning = orders.runs(target->id, declared.to);
        const bool isLoading = orders.isLoading(target->id, declared.to);
        running += isRunning ? 1 : 0;
        loading += isLoading && !orders.isStuck(target->id, declared.to, now) ? 1 : 0;
        perDomain[target->failureDomain] += isRunning || isLoading ? 1 : 0;
        if (isRunning || isLoading) {
            sendOrder(*target, declared.to, fencing, now, decisions);
        } else {
            free.push_back(target);
        }
    }
    const auto atOnce = std::max(1, static_cast<int>(LoadingPart * static_cast<double>(targets.size())));
    const int needed = targetsFor(declared.pool, preparedShare(change, now), now) - running;
    // Spread over failure domains, so that the trial does not depend on one of them.
    for (; loading < std::min(atOnce, needed) && !free.empty(); ++loading) {
        const auto next = std::min_element(free.begin(), free.end(), [&](const auto *left, const auto *right) {
            return perDomain[left->failureDomain] < perDomain[right->failureDomain];
        });
        sendOrder(**next, declared.to, fencing, now, decisions);
        ++perDomain[(*next)->failureDomain];
        free.erase(next);
    }
    for (const auto *target : free) {
        if (!orders.runs(target->id, declared.from)) {
            sendOrder(*target, declared.from, fencing, now, decisions);
        }
    }
}

void VersionController::sendOrder(const state::Target &target,
                                  const state::VersionName &version,
                                  state::Offset fencing,
                                  state::Time now,
                                  VersionDecisions &decisions)
{
    if (auto order = m_orders[target.pool].order(target, version, fencing, m_nextOrder + 1, now)) {
        ++m_nextOrder;
        decisions.orders.push_back(std::move(*order));
    }
}

} // namespace sapphirecove::coordination
