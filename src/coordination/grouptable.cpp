#include "coordination/grouptable.h"

#include <xxhash.h>

namespace sapphirecove::coordination {

namespace {

// Number of targets for which an arbiter decides within its time budget; a larger pool of a region is split.
constexpr std::size_t TargetsPerGroup = 64;

using TargetsByRegion = std::map<std::string, std::vector<state::TargetId>>;

std::map<state::PoolId, TargetsByRegion> collectTargets(const state::Configuration &configuration)
{
    std::map<state::PoolId, TargetsByRegion> collected;
    for (const auto &[id, target] : configuration.targets) {
        const auto domain = configuration.failureDomains.find(target.failureDomain);
        const std::string region = domain != configuration.failureDomains.end() ? domain->second : std::string();
        collected[target.pool][region].push_back(id);
    }
    return collected;
}

std::vector<Group>
splitRegion(const state::PoolId &pool, const std::string &region, const std::vector<state::TargetId> &targets)
{
    const std::size_t shards = (targets.size() + TargetsPerGroup - 1) / TargetsPerGroup;
    const std::string prefix = pool + '@' + region + '#';
    std::vector<Group> groups(shards);
    for (std::size_t shard = 0; shard < shards; ++shard) {
        groups[shard].id = prefix + std::to_string(shard);
        groups[shard].pool = pool;
        groups[shard].region = region;
    }
    for (const state::TargetId &target : targets) {
        // Assignment by hash: an added target leaves the others in their groups unless the number of groups changes.
        groups[XXH64(target.data(), target.size(), 0) % shards].targets.push_back(target);
    }
    return groups;
}

} // namespace

void GroupTable::configure(const state::Configuration &configuration)
{
    m_groups.clear();
    m_positions.clear();
    m_groupOfTarget.clear();
    for (const auto &[pool, regions] : collectTargets(configuration)) {
        std::vector<Group> &groups = m_groups[pool];
        for (const auto &[region, targets] : regions) {
            for (Group &group : splitRegion(pool, region, targets)) {
                m_positions[group.id] = { pool, groups.size() };
                for (const state::TargetId &target : group.targets) {
                    m_groupOfTarget[target] = group.id;
                }
                groups.push_back(std::move(group));
            }
        }
    }
}

std::span<const Group> GroupTable::groupsOf(const state::PoolId &pool) const
{
    const auto found = m_groups.find(pool);
    if (found == m_groups.end()) {
        return {};
    }
    return found->second;
}

const Group *GroupTable::find(const state::GroupId &id) const
{
    const auto found = m_positions.find(id);
    if (found == m_positions.end()) {
        return nullptr;
    }
    return &m_groups.at(found->second.first).at(found->second.second);
}

const Group *GroupTable::groupOfTarget(const state::TargetId &id) const
{
    const auto found = m_groupOfTarget.find(id);
    return found == m_groupOfTarget.end() ? nullptr : find(found->second);
}

const std::map<state::PoolId, std::vector<Group>> &GroupTable::all() const
{
    return m_groups;
}

} // namespace sapphirecove::coordination
