#include "coordination/groupdirectory.h"

#include <algorithm>

namespace sapphirecove::coordination {

GroupDirectory::GroupDirectory(const state::HostId &self, std::string ownRegion)
    : m_self(self)
    , m_selector(std::move(ownRegion))
{
}

void GroupDirectory::configure(const state::Configuration &configuration)
{
    m_groups.configure(configuration);
    std::erase_if(m_arbiters, [&](const auto &item) {
        return m_groups.find(item.first) == nullptr;
    });
    m_needsRefresh = true;
}

std::vector<state::GroupId> GroupDirectory::refresh(const Membership &membership, state::Time now)
{
    std::vector<MemberState> members = memberStates(membership, now);
    if (!m_needsRefresh && members == m_members) {
        return {};
    }
    m_members = std::move(members);
    m_needsRefresh = false;
    recomputeUsable(membership);
    std::vector<state::GroupId> changed;
    for (const auto &[pool, groups] : m_groups.all()) {
        for (const Group &group : groups) {
            const state::HostId arbiter = membership.arbiterOf(group.id, group.region, now).value_or(m_self);
            if (m_arbiters[group.id] != arbiter) {
                m_arbiters[group.id] = arbiter;
                changed.push_back(group.id);
            }
        }
    }
    return changed;
}

void GroupDirectory::invalidate()
{
    m_needsRefresh = true;
}

std::optional<state::HostId> GroupDirectory::arbiterOf(const state::GroupId &group) const
{
    const auto found = m_arbiters.find(group);
    return found == m_arbiters.end() ? std::nullopt : std::optional(found->second);
}

std::optional<Route>
GroupDirectory::route(const RequestInfo &request, std::span<const state::GroupId> excluded, state::Time now)
{
    std::vector<const Group *> candidates;
    for (const Group &group : m_groups.groupsOf(request.pool)) {
        if (m_usable.contains(group.id) && m_arbiters.contains(group.id)) {
            candidates.push_back(&group);
        }
    }
    const auto chosen = m_selector.choose(request, candidates, excluded, now);
    if (!chosen) {
        return std::nullopt;
    }
    const state::GroupId &group = candidates[*chosen]->id;
    return Route{ group, m_arbiters.at(group) };
}

void GroupDirectory::summaryReceived(const state::HostId &from, const GroupSummary &summary, state::Time now)
{
    if (arbiterOf(summary.group) == from) {
        m_selector.update(summary, now);
    }
}

const GroupTable &GroupDirectory::groups() const
{
    return m_groups;
}

std::vector<GroupDirectory::MemberState> GroupDirectory::memberStates(const Membership &membership,
                                                                      state::Time now) const
{
    std::vector<MemberState> members;
    for (const state::HostId &host : membership.aliveHosts(now)) {
        const Heartbeat *heartbeat = membership.heartbeatOf(host);
        const bool draining = host == m_self ? membership.isDraining() : heartbeat != nullptr && heartbeat->draining;
        members.push_back(MemberState{ host, draining });
    }
    return members;
}

void GroupDirectory::recomputeUsable(const Membership &membership)
{
    m_usable.clear();
    for (const auto &[pool, groups] : m_groups.all()) {
        for (const Group &group : groups) {
            const bool usable = std::any_of(group.targets.begin(), group.targets.end(), [&](const auto &target) {
                return membership.targetState(target) == state::ListedState::Live;
            });
            if (usable) {
                m_usable.insert(group.id);
            }
        }
    }
}

} // namespace sapphirecove::coordination
