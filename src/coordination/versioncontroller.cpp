#include "coordination/versioncontroller.h"

#include <algorithm>

namespace sapphirecove::coordination {

namespace {

const char *nameOf(state::ChangeState state)
{
    switch (state) {
    case state::ChangeState::Loading:
        return "loading";
    case state::ChangeState::Shifting:
        return "shifting";
    case state::ChangeState::Done:
        return "done";
    case state::ChangeState::RolledBack:
        break;
    }
    return "undone";
}

std::string describe(const state::VersionStep &step)
{
    return std::string(nameOf(step.state)) + " at " + std::to_string(step.sharePerMille) + " per mille";
}

state::PoolId poolOf(const state::GroupId &group)
{
    return group.substr(0, group.find('@'));
}

bool isFinal(state::ChangeState state)
{
    return state == state::ChangeState::Done || state == state::ChangeState::RolledBack;
}

/** Returns whether @p next goes on from @p last; a late repeat of an earlier step does not. */
bool isProgress(const state::VersionStep &last, const state::VersionStep &next)
{
    if (next.state != last.state) {
        return next.state > last.state;
    }
    return next.sharePerMille >= last.sharePerMille;
}

} // namespace

VersionController::VersionController(const state::HostId &host, state::Incarnation incarnation)
    : m_host(host)
    , m_nextOrder(incarnation)
{
}

VersionController VersionController::create(const state::HostId &host, state::Incarnation incarnation)
{
    return { host, incarnation };
}

std::string VersionController::leaseName(const state::PoolId &pool)
{
    return "versions/" + pool;
}

void VersionController::configure(std::shared_ptr<const state::Configuration> configuration)
{
    m_configuration = std::move(configuration);
    std::vector<Change> changes;
    for (const auto &declared : m_configuration->changes) {
        const auto known = std::find_if(m_changes.begin(), m_changes.end(), [&](const Change &change) {
            return change.declared.id == declared.id && change.declared.to == declared.to;
        });
        changes.push_back(known == m_changes.end() ? Change{} : *known);
        changes.back().declared = declared;
    }
    m_changes = std::move(changes);
    std::map<state::PoolId, std::set<state::TargetId>> targets;
    for (const auto &[id, target] : m_configuration->targets) {
        targets[target.pool].insert(id);
    }
    for (auto &[pool, orders] : m_orders) {
        orders.retain(targets[pool]);
    }
    m_baselines.retain(m_configuration->targets);
    std::erase_if(m_halts, [&](const auto &item) {
        return !isNamed(item.first.first, item.first.second);
    });
}

void VersionController::updateLiveTargets(std::set<state::TargetId> targets)
{
    m_liveTargets = std::move(targets);
}

bool VersionController::isNamed(const state::PoolId &pool, const state::VersionName &version) const
{
    if (!m_configuration || !m_configuration->pools.contains(pool)) {
        return false;
    }
    if (m_configuration->pools.at(pool).version == version) {
        return true;
    }
    return std::any_of(m_changes.begin(), m_changes.end(), [&](const Change &change) {
        return change.declared.pool == pool && (change.declared.from == version || change.declared.to == version);
    });
}

std::optional<AuditEntry> VersionController::apply(const state::StoredRecord &stored, state::Time now)
{
    const auto *step = std::get_if<state::VersionStep>(&stored.record);
    if (step == nullptr || stored.offset < m_position) {
        return std::nullopt;
    }
    m_position = stored.offset + 1;
    auto &highest = m_highestFencing[step->pool];
    if (step->fencing < highest) {
        return std::nullopt;
    }
    highest = step->fencing;
    const auto found = m_steps.find({ step->changeId, step->version });
    if (found != m_steps.end() && !isProgress(found->second.step, *step)) {
        return std::nullopt;
    }
    const bool isRepeated = found != m_steps.end() && found->second.step.state == step->state
        && found->second.step.sharePerMille == step->sharePerMille;
    if (isRepeated) {
        found->second.loggedAt = stored.time;
        return std::nullopt;
    }
    const auto base = found == m_steps.end() ? "" : describe(found->second.step);
    store(stored, now);
    return AuditEntry{ stored.time, step->holder, "version", step->changeId, base, describe(*step), step->reason };
}

void VersionController::store(const state::StoredRecord &stored, state::Time now)
{
    const auto &step = std::get<state::VersionStep>(stored.record);
    m_steps[{ step.changeId, step.version }] = { step, stored.time, now, stored.offset };
    if (m_steps.size() > MaxSteps) {
        m_steps.erase(std::min_element(m_steps.begin(), m_steps.end(), [](const auto &left, const auto &right) {
            return left.second.offset < right.second.offset;
        }));
    }
    for (auto &change : m_changes) {
        if (change.declared.id == step.changeId && change.declared.to == step.version) {
            change.evidence.startStep();
        }
    }
}

void VersionController::readTo(state::Offset next, bool atEnd)
{
    m_position = std::max(m_position, next);
    m_caughtUp = m_caughtUp || atEnd;
}

state::Offset VersionController::readPosition() const
{
    return m_position;
}

const VersionController::StepRecord *VersionController::stepOf(const Change &change) const
{
    const auto found = m_steps.find({ change.declared.id, change.declared.to });
    return found == m_steps.end() ? nullptr : &found->second;
}

state::ChangeState VersionController::stateOf(const Change &change) const
{
    const auto *record = stepOf(change);
    return record == nullptr ? state::ChangeState::Loading : record->step.state;
}

bool VersionController::hasEnded(const Change &change) const
{
    return isFinal(stateOf(change));
}

std::size_t VersionController::activeIndex(const state::PoolId &pool) const
{
    const auto found = std::find_if(m_changes.begin(), m_changes.end(), [&](const Change &change) {
        return change.declared.pool == pool && !hasEnded(change);
    });
    return static_cast<std::size_t>(found - m_changes.begin());
}

const VersionController::Change *VersionController::activeChange(const state::PoolId &pool) const
{
    const auto index = activeIndex(pool);
    return index < m_changes.size() ? &m_changes[index] : nullptr;
}

VersionController::Change *VersionController::activeChange(const state::PoolId &pool)
{
    const auto index = activeIndex(pool);
    return index < m_changes.size() ? &m_changes[index] : nullptr;
}

state::VersionName VersionController::versionInForce(const state::PoolId &pool, const Change *before) const
{
    if (!m_configuration || !m_configuration->pools.contains(pool)) {
        return {};
    }
    auto version = m_configuration->pools.at(pool).version;
    for (const auto &change : m_changes) {
        if (&change == before) {
            break;
        }
        if (change.declared.pool == pool && stateOf(change) == state::ChangeState::Done) {
            version = change.declared.to;
        }
    }
    return version;
}

void VersionController::reported(const LoadReported &report, state::Time now)
{
    if (!m_configuration) {
        return;
    }
    const auto target = m_configuration->targets.find(report.target);
    if (target != m_configuration->targets.end()) {
        m_orders[target->second.pool].reported(report, now);
    }
}

void VersionController::answered(const OrderAnswered &answer, state::Time now)
{
    for (auto &[pool, orders] : m_orders) {
        orders.answered(answer, now);
    }
}

std::optional<AuditEntry>
VersionController::observe(const SlotRelease &release, std::string_view route, state::Time now)
{
    const auto pool = poolOf(release.group);
    auto *change = activeChange(pool);
    const auto from = versionInForce(pool, change);
    const auto latencies = logLatencies(release);
    const bool isOld = release.version == from;
    const bool isNew = change != nullptr && !isOld && release.version == change->declared.to;
    if (change != nullptr && (isOld || isNew)) {
        const auto relative = m_baselines.relative(release.target, from, latencies);
        change->evidence.add({ release, route, latencies, relative }, isNew, now);
    }
    if (isOld) {
        m_baselines.add(release.target, from, latencies);
    }
    if (!isNew || stateOf(*change) != state::ChangeState::Shifting) {
        return std::nullopt;
    }
    const auto verdict = change->evidence.stepVerdict();
    if (verdict.verdict != Verdict::Bad || !halt(pool, release.version, verdict.reason)) {
        return std::nullopt;
    }
    const auto base = describe(stepOf(*change)->step);
    return AuditEntry{ now, m_host, "version", change->declared.id, base, "halted", verdict.reason };
}

bool VersionController::halt(const state::PoolId &pool, const state::VersionName &version, std::string_view reason)
{
    return halted({ pool, version, std::string(reason), m_host });
}

bool VersionController::halted(const VersionHalt &halt)
{
    return isNamed(halt.pool, halt.version) && m_halts.try_emplace({ halt.pool, halt.version }, halt).second;
}

std::vector<VersionHalt> VersionController::halts() const
{
    std::vector<VersionHalt> result;
    for (const auto &[key, halt] : m_halts) {
        result.push_back(halt);
    }
    return result;
}

bool VersionController::isHalted(const state::PoolId &pool, const state::VersionName &version) const
{
    return m_halts.contains({ pool, version });
}

VersionShares VersionController::shares(const state::PoolId &pool) const
{
    const auto *change = activeChange(pool);
    VersionShares shares;
    shares.from = versionInForce(pool, change);
    shares.fromAllowed = !isHalted(pool, shares.from);
    const auto *record = change == nullptr ? nullptr : stepOf(*change);
    if (record == nullptr) {
        return shares;
    }
    shares.to = change->declared.to;
    shares.toAllowed = record->step.state == state::ChangeState::Shifting && !isHalted(pool, shares.to);
    shares.sharePerMille = shares.toAllowed ? record->step.sharePerMille : 0;
    return shares;
}

std::vector<state::PoolId> VersionController::poolsNeedingLease() const
{
    std::set<state::PoolId> pools;
    for (const auto &change : m_changes) {
        pools.insert(change.declared.pool);
    }
    for (const auto &[key, record] : m_steps) {
        const bool isDeclared = m_configuration && m_configuration->pools.contains(record.step.pool);
        if (isDeclared && !isFinal(record.step.state)) {
            pools.insert(record.step.pool);
        }
    }
    return { pools.begin(), pools.end() };
}

std::vector<VersionChangeStatus> VersionController::status() const
{
    std::vector<VersionChangeStatus> rows;
    for (const auto &change : m_changes) {
        const auto &declared = change.declared;
        VersionChangeStatus row{ declared.id, declared.pool, declared.from, declared.to, declared.deadline };
        if (const auto *record = stepOf(change)) {
            row.state = record->step.state;
            row.sharePerMille = record->step.sharePerMille;
            row.reason = record->step.reason;
        }
        const auto halt = m_halts.find({ declared.pool, declared.to });
        if (halt != m_halts.end() && row.state != state::ChangeState::RolledBack) {
            row.sharePerMille = 0;
            row.reason = "halted by " + halt->second.detectedBy + ": " + halt->second.reason;
        }
        rows.push_back(row);
    }
    return rows;
}

} // namespace sapphirecove::coordination
