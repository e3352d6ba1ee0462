#pragma once

#include "coordination/groupselector.h"
#include "coordination/grouptable.h"
#include "coordination/membership.h"
#include "coordination/requesteffects.h"
#include "state/configuration.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace sapphirecove::coordination {

/** Groups with their current arbiters and usable targets, as known to this host. */
class GroupDirectory
{
public:
    GroupDirectory(const state::HostId &self, std::string ownRegion);

    /** Rebuilds the groups; the arbiters of new groups are known after the next refresh. */
    void configure(const state::Configuration &configuration);

    /**
     * Recomputes arbiters and usable targets if membership has changed since the last call, and returns the groups
     * whose arbiter changed. If no host qualifies, every host arbitrates for itself, so that a fleet in which all hosts
     * drain still finishes its queued requests.
     */
    std::vector<state::GroupId> refresh(const Membership &membership, state::Time now);

    /** Forces the next refresh to recompute; needed after a new host list or a change of this host's draining state. */
    void invalidate();

    std::optional<state::HostId> arbiterOf(const state::GroupId &group) const;

    /** Chooses a group with a usable target for a request, or nothing if there is none. */
    std::optional<Route> route(const RequestInfo &request, std::span<const state::GroupId> excluded, state::Time now);

    /** Stores the summary of a group if @p from is its arbiter. */
    void summaryReceived(const state::HostId &from, const GroupSummary &summary, state::Time now);

    const GroupTable &groups() const;

private:
    struct MemberState
    {
        state::HostId host;
        bool draining = false;
        bool operator==(const MemberState &other) const = default;
    };

    std::vector<MemberState> memberStates(const Membership &membership, state::Time now) const;
    void recomputeUsable(const Membership &membership);

    state::HostId m_self;
    GroupTable m_groups;
    GroupSelector m_selector;
    std::map<state::GroupId, state::HostId> m_arbiters;
    std::set<state::GroupId> m_usable;
    std::vector<MemberState> m_members;
    bool m_needsRefresh = true;
};

} // namespace sapphirecove::coordination
