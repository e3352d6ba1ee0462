#include "coordination/logtasks.h"

namespace sapphirecove::coordination {

namespace {

constexpr std::string_view CheckpointDuty = "configuration/checkpoint";

ClaimTableOptions claimOptions(const CoordinatorOptions &options)
{
    ClaimTableOptions result;
    result.host = options.host;
    result.incarnation = options.incarnation;
    result.retention = options.claimRetention;
    return result;
}

AuditEntry leaseEntry(const LeaseOutcome &outcome, state::Time time)
{
    AuditEntry entry;
    entry.time = time;
    entry.actor = outcome.holder;
    entry.kind = "lease";
    entry.subject = outcome.name;
    entry.outcome = "acquired";
    entry.detail = "fencing number " + std::to_string(outcome.fencing);
    return entry;
}

} // namespace

LogTasks::LogTasks(const CoordinatorOptions &options, const DocumentChecker &checker)
    : m_options(options)
    , m_configuration(ConfigurationFollower::create(checker))
    , m_claims(ClaimTable::create(claimOptions(options)))
    , m_leases(LeaseTable::create(options.host, options.incarnation))
    , m_versions(VersionController::create(options.host, options.incarnation))
{
}

bool LogTasks::recordsRead(const RecordsRead &read, state::Time now)
{
    apply(read, now);
    return configurationChanged();
}

bool LogTasks::offered(const ConfigurationOffer &offer, state::Time now)
{
    record(m_configuration.offered(offer, now));
    return configurationChanged();
}

void LogTasks::unavailable(const LogUnavailable &event, state::Time now)
{
    if (event.stream == state::Stream::Claims) {
        m_claims.appendFailed(now);
    }
}

void LogTasks::tick(const Membership &membership, state::Time now, Actions &actions)
{
    std::vector<state::LogRecord> batch = m_claims.takeBatch(now);
    if (!batch.empty()) {
        actions.emplace_back(AppendRecords{ state::Stream::Claims, std::move(batch) });
    }
    m_configuration.updatePeers(membership.highestPeerGeneration(now), membership.isSettled(now), now);
    appendCheckpoint(membership, now, actions);
    if (!membership.isDraining()) {
        appendLeases(membership, now, actions);
    }
    decideVersions(now, actions);
}

void LogTasks::drain(state::Time now, Actions &actions)
{
    if (!m_configuration.configuration()) {
        return;
    }
    for (const auto &[pool, settings] : m_configuration.configuration()->pools) {
        const std::string name = VersionController::leaseName(pool);
        if (m_leases.mayAct(name, now)) {
            actions.emplace_back(AppendRecords{ state::Stream::Leases, { m_leases.release(name, now) } });
        }
    }
}

bool LogTasks::holdsLease(const state::PoolId &pool, state::Time now) const
{
    return m_leases.mayAct(VersionController::leaseName(pool), now);
}

std::optional<state::HostId> LogTasks::leaseHolder(const state::PoolId &pool, state::Time now) const
{
    const auto lease = m_leases.holder(VersionController::leaseName(pool), now);
    return lease ? std::optional(lease->holder) : std::nullopt;
}

ConfigurationFollower &LogTasks::configuration()
{
    return m_configuration;
}

const ConfigurationFollower &LogTasks::configuration() const
{
    return m_configuration;
}

ClaimTable &LogTasks::claims()
{
    return m_claims;
}

const ClaimTable &LogTasks::claims() const
{
    return m_claims;
}

VersionController &LogTasks::versions()
{
    return m_versions;
}

const VersionController &LogTasks::versions() const
{
    return m_versions;
}

AuditTrail &LogTasks::audit()
{
    return m_audit;
}

const AuditTrail &LogTasks::audit() const
{
    return m_audit;
}

void LogTasks::apply(const RecordsRead &read, state::Time now)
{
    switch (read.stream) {
    case state::Stream::Configuration:
        applyConfiguration(read, now);
        return;
    case state::Stream::Claims:
        m_claims.readFrom(read.first);
        for (const state::StoredRecord &stored : read.records) {
            m_claims.apply(stored);
        }
        m_claims.readTo(read.next, read.atEnd);
        return;
    case state::Stream::Leases:
        applyLeases(read, now);
        return;
    case state::Stream::Versions:
        for (const state::StoredRecord &stored : read.records) {
            if (auto entry = m_versions.apply(stored, now)) {
                m_audit.add(std::move(*entry));
            }
        }
        m_versions.readTo(read.next, read.atEnd);
        return;
    }
}

void LogTasks::applyConfiguration(const RecordsRead &read, state::Time now)
{
    m_configuration.readFrom(read.first);
    for (const state::StoredRecord &stored : read.records) {
        record(m_configuration.apply(stored, now));
    }
    m_configuration.readTo(read.next, read.atEnd, now);
}

void LogTasks::applyLeases(const RecordsRead &read, state::Time now)
{
    m_leases.readFrom(read.first, now);
    for (const state::StoredRecord &stored : read.records) {
        const auto outcome = m_leases.apply(stored, now);
        if (outcome && outcome->valid && outcome->acquired) {
            m_audit.add(leaseEntry(*outcome, stored.time));
        }
    }
    m_leases.readTo(read.next, read.atEnd);
}

void LogTasks::record(const std::vector<ConfigurationOutcome> &outcomes)
{
    for (const ConfigurationOutcome &outcome : outcomes) {
        m_audit.add(outcome.audit);
    }
}

bool LogTasks::configurationChanged()
{
    if (m_configuration.generation() == m_appliedGeneration) {
        return false;
    }
    m_appliedGeneration = m_configuration.generation();
    m_versions.configure(m_configuration.configuration());
    return true;
}

void LogTasks::appendCheckpoint(const Membership &membership, state::Time now, Actions &actions)
{
    if (!m_configuration.needsCheckpoint(now, m_options.claimRetention)) {
        return;
    }
    if (membership.selectHost(CheckpointDuty, now) == m_options.host) {
        actions.emplace_back(AppendRecords{ state::Stream::Configuration, { m_configuration.checkpoint(now) } });
    }
}

void LogTasks::appendLeases(const Membership &membership, state::Time now, Actions &actions)
{
    for (const state::PoolId &pool : m_versions.poolsNeedingLease()) {
        const std::string name = VersionController::leaseName(pool);
        const bool selected = membership.selectHost(name, now) == m_options.host;
        if (m_leases.needsRenewal(name, now) || m_leases.shouldAcquire(name, selected, now)) {
            actions.emplace_back(AppendRecords{ state::Stream::Leases, { m_leases.take(name, now) } });
        }
    }
}

void LogTasks::decideVersions(state::Time now, Actions &actions)
{
    std::map<state::PoolId, state::Offset> fencing;
    for (const state::PoolId &pool : m_versions.poolsNeedingLease()) {
        if (const auto number = m_leases.fencing(VersionController::leaseName(pool), now)) {
            fencing[pool] = *number;
        }
    }
    if (fencing.empty()) {
        return;
    }
    VersionDecisions decisions = m_versions.decide(fencing, now);
    for (SendOrder &order : decisions.orders) {
        actions.emplace_back(std::move(order));
    }
    if (!decisions.steps.empty()) {
        std::vector<state::LogRecord> records(decisions.steps.begin(), decisions.steps.end());
        actions.emplace_back(AppendRecords{ state::Stream::Versions, std::move(records) });
    }
}

} // namespace sapphirecove::coordination
