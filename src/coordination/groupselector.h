#pragma once

#include "coordination/grouptable.h"
#include "coordination/message.h"
#include "coordination/requestinfo.h"
#include "state/time.h"

#include <optional>
#include <span>
#include <string>
#include <unordered_map>

namespace sapphirecove::coordination {

/** Chooses the group from which a slot is requested, by the summaries that arbiters announce. */
class GroupSelector
{
public:
    explicit GroupSelector(std::string ownRegion);

    /** Stores the summary of a group as its current arbiter announced it. */
    void update(const GroupSummary &summary, state::Time now);

    /**
     * Returns the position of the group with the least cost among @p groups, or nothing if all are excluded.
     * The cost is the expected wait in seconds, plus round trip and transfer time over the link for another region.
     */
    std::optional<std::size_t> choose(const RequestInfo &request,
                                      std::span<const Group *const> groups,
                                      std::span<const state::GroupId> excluded,
                                      state::Time now);

private:
    struct AnnouncedSummary
    {
        GroupSummary summary;
        state::Time receivedAt{};
        std::uint32_t requestsSinceSummary = 0;
    };

    double cost(const RequestInfo &request, const Group &group, state::Time now) const;

    std::string m_ownRegion;
    std::unordered_map<state::GroupId, AnnouncedSummary> m_summaries;
};

} // namespace sapphirecove::coordination
