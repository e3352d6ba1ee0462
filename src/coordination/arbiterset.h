#pragma once

#include "coordination/arbiter.h"
#include "coordination/coordinator.h"
#include "coordination/event.h"
#include "coordination/grouptable.h"
#include "coordination/membership.h"
#include "coordination/statusreport.h"
#include "coordination/versioncontroller.h"
#include "state/configuration.h"

#include <map>
#include <memory>
#include <span>
#include <vector>

namespace sapphirecove::coordination {

/** Arbiters that run on this host, one for each group that it arbitrates. */
class ArbiterSet
{
public:
    /** @p gate must outlive the set. */
    ArbiterSet(const CoordinatorOptions &options, TierGate &gate);

    /** Applies @p configuration and removes the arbiters of groups that no longer exist. */
    void configure(std::shared_ptr<const state::Configuration> configuration, const GroupTable &groups);

    /** Creates the arbiter of a group if there is none. It waits for the reports of the hosts in @p expected. */
    void
    start(const Group &group, const Membership &membership, std::span<const state::HostId> expected, state::Time now);

    /** Removes the arbiter of a group; entry hosts send their slot requests to its next arbiter. */
    void stop(const state::GroupId &group);

    bool contains(const state::GroupId &group) const;

    /** Applies the present states of the targets; linear in the targets of the arbitrated groups. */
    void refreshTargets(const GroupTable &groups, const Membership &membership, state::Time now);

    /** Applies changed traffic shares of versions. */
    void refreshVersions(const GroupTable &groups, const VersionController &versions);

    void requestSlot(const state::HostId &from, const SlotRequest &slotRequest, state::Time now, Replies &replies);
    void withdraw(const state::HostId &from, const SlotWithdrawal &withdrawal, state::Time now);
    void release(const state::HostId &from, const SlotRelease &release, state::Time now, Replies &replies);
    void report(const state::HostId &from, const OutstandingReport &report, state::Time now);
    void loadReported(const state::GroupId &group, const LoadReported &report, state::Time now);
    void cacheChanged(const state::GroupId &group, const CacheChanged &change, state::Time now);
    void hostLost(const state::HostId &host, state::Time now);
    void tick(state::Time now, Replies &replies);

    std::vector<GroupSummary> summaries(state::Time now) const;
    std::vector<GroupStatus> status(state::Time now) const;
    std::vector<state::GroupId> groups() const;

private:
    Arbiter *find(const state::GroupId &group);
    ArbiterOptions makeOptions(const Group &group) const;
    std::vector<ArbiterTarget> targetsOf(const Group &group, const Membership &membership) const;
    std::vector<CustomerWeight> customerWeights() const;

    CoordinatorOptions m_options;
    TierGate &m_gate;
    std::shared_ptr<const state::Configuration> m_configuration;
    std::map<state::GroupId, std::unique_ptr<Arbiter>> m_arbiters;
    std::map<state::GroupId, std::vector<VersionWeight>> m_weights; /**< as last passed to each arbiter */
};

} // namespace sapphirecove::coordination
