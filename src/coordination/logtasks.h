#pragma once

#include "coordination/action.h"
#include "coordination/audittrail.h"
#include "coordination/claimtable.h"
#include "coordination/configurationfollower.h"
#include "coordination/coordinator.h"
#include "coordination/event.h"
#include "coordination/leasetable.h"
#include "coordination/membership.h"
#include "coordination/versioncontroller.h"

#include <map>
#include <optional>
#include <string>

namespace sapphirecove::coordination {

/** Everything that a host reads from the log and appends to it. */
class LogTasks
{
public:
    /** @p checker must outlive the object. */
    LogTasks(const CoordinatorOptions &options, const DocumentChecker &checker);

    /** Takes records of any stream; returns true if the configuration in force changed. */
    bool recordsRead(const RecordsRead &read, state::Time now);

    /** Takes a peer's configuration; returns true if the configuration in force changed. */
    bool offered(const ConfigurationOffer &offer, state::Time now);

    /** Slows down appends of claims after the log did not answer. */
    void unavailable(const LogUnavailable &event, state::Time now);

    /** Appends what is due: claims, checkpoints, leases, version steps; sends orders as lease holder. */
    void tick(const Membership &membership, state::Time now, Actions &actions);

    /** Gives up the leases of this host. */
    void drain(state::Time now, Actions &actions);

    /** Returns whether this host may act on the lease of a pool's versions. */
    bool holdsLease(const state::PoolId &pool, state::Time now) const;

    /** Returns the host that holds the lease of a pool's versions, if any. */
    std::optional<state::HostId> leaseHolder(const state::PoolId &pool, state::Time now) const;

    ConfigurationFollower &configuration();
    const ConfigurationFollower &configuration() const;
    ClaimTable &claims();
    const ClaimTable &claims() const;
    VersionController &versions();
    const VersionController &versions() const;
    AuditTrail &audit();
    const AuditTrail &audit() const;

private:
    void apply(const RecordsRead &read, state::Time now);
    void applyConfiguration(const RecordsRead &read, state::Time now);
    void applyLeases(const RecordsRead &read, state::Time now);
    void record(const std::vector<ConfigurationOutcome> &outcomes);
    bool configurationChanged();
    void appendCheckpoint(const Membership &membership, state::Time now, Actions &actions);
    void appendLeases(const Membership &membership, state::Time now, Actions &actions);
    void decideVersions(state::Time now, Actions &actions);

    CoordinatorOptions m_options;
    ConfigurationFollower m_configuration;
    ClaimTable m_claims;
    LeaseTable m_leases;
    VersionController m_versions;
    AuditTrail m_audit;
    state::Generation m_appliedGeneration = 0;
};

} // namespace sapphirecove::coordination
