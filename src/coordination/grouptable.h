#pragma once

#include "state/configuration.h"
#include "state/identifiers.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace sapphirecove::coordination {

/** Targets of one pool in one region that share an arbiter. */
struct Group
{
    state::GroupId id;
    state::PoolId pool;
    std::string region;
    std::vector<state::TargetId> targets;
};

/** Partition of all targets into groups; the same configuration gives the same groups on every host. */
class GroupTable
{
public:
    /** Rebuilds the groups from @p configuration. */
    void configure(const state::Configuration &configuration);

    /** Returns the groups of a pool, empty if there is none. */
    std::span<const Group> groupsOf(const state::PoolId &pool) const;

    /** Returns the group, or nullptr if the configuration has no such group. */
    const Group *find(const state::GroupId &id) const;

    /** Returns the group of a target, or nullptr if the configuration has no such target. */
    const Group *groupOfTarget(const state::TargetId &id) const;

    /** Returns all groups by pool. */
    const std::map<state::PoolId, std::vector<Group>> &all() const;

private:
    std::map<state::PoolId, std::vector<Group>> m_groups;
    std::map<state::GroupId, std::pair<state::PoolId, std::size_t>> m_positions;
    std::map<state::TargetId, state::GroupId> m_groupOfTarget;
};

} // namespace sapphirecove::coordination
