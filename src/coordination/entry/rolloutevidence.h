#pragma once

#include "coordination/entry/peerreport.h"
#include "coordination/entry/versioncomparison.h"
#include "coordination/entry/versioncounts.h"
#include "state/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirecove::coordination::entry {

/**
 * What the fleet has sent to the versions of a service since a rollout was ordered, and what came back.
 *
 * Each process counts what was sent on its own decisions. Counts only grow and pass between hosts with the process they
 * belong to, so that those of a process that is gone are kept, and none counts twice.
 */
class RolloutEvidence
{
public:
    /** @p self is the processHash() of this process. */
    explicit RolloutEvidence(std::uint32_t self = 0);

    /** Returns this process's counts on @p route, to which the caller adds. */
    RouteCounts &own(std::string_view route);

    /** Takes over the counts in @p shares that belong to the rollout of @p service to @p version; both are hashes. */
    void learn(std::span<const VersionShare> shares, std::uint32_t service, std::uint32_t version);

    /** Compares the versions with the responses since the last call. */
    void compare(state::Time now);

    /** Returns the counts over all routes and processes. */
    RouteCounts sum() const;

    /** Returns how many requests a second the service got recently. */
    double requestRate() const
    {
        return m_rate;
    }

    /** Returns what is wrong with the new version, on some route or in total. */
    std::optional<VersionFault> fault() const;

    /** Returns whether the recent responses speak against the new version, though not clearly enough for a fault. */
    bool isDoubtful() const;

    /** Returns the route on which fault() shows, by name if this process knows it; empty if in total. */
    std::string faultyRoute() const;

    /** Returns the counts of all known processes, for reports. */
    std::vector<VersionShare> shares(std::uint32_t service, std::uint32_t version) const;

private:
    /** Counts by hash of the route. */
    using CountsByRoute = std::map<std::uint32_t, RouteCounts>;

    CountsByRoute countsByRoute() const;

    std::uint32_t m_self;
    std::map<std::uint32_t, CountsByRoute> m_processes; /**< by hash of the process that decided */
    std::map<std::uint32_t, std::string> m_routeNames; /**< that this process knows, by hash */
    CountsByRoute m_compared; /**< counts that were compared already */
    std::map<std::uint32_t, VersionComparison> m_routes;
    VersionComparison m_total;
    std::optional<state::Time> m_comparedAt;
    double m_recentRequests = 0; /**< older ones count less */
    double m_rate = 0;
};

} // namespace sapphirecove::coordination::entry
