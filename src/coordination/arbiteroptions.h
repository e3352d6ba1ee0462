#pragma once

#include "coordination/tiergate.h"
#include "state/configuration.h"
#include "state/identifiers.h"
#include "state/time.h"

#include <cstdint>
#include <map>
#include <string>

namespace sapphirecove::coordination {

/** Settings of one arbiter. */
struct ArbiterOptions
{
    state::PoolId pool;
    state::PoolKind kind = state::PoolKind::Model;
    state::HostId self;
    state::Incarnation incarnation = 0; /**< goes into the grant ids */
    std::uint64_t seed = 0; /**< of the random generator of placement */
    state::Tier lowestTier = 3; /**< highest tier number of the configuration; it is shed without a floor */
    std::size_t queueLength = 2000; /**< asks waiting at once */
    std::map<std::string, std::string> failureDomains; /**< failure domain to region */
    TierGate *gate = nullptr; /**< of the host; must outlive the arbiter */
    state::Duration grantValidity = std::chrono::milliseconds(1000); /**< within it the dispatch must start */
    state::Duration grantMargin = std::chrono::milliseconds(1000); /**< for message delay and slow clocks */
};

/** State of a target in the platform's list. */
enum class TargetListing {
    Live,
    Leaving,
    Unlisted,
};

/** Target of the group as configuration and host list describe it. */
struct ArbiterTarget
{
    state::TargetId id;
    std::string failureDomain;
    state::TargetCapacity capacity;
    state::VersionName version; /**< assumed until a load report names another */
    TargetListing listing = TargetListing::Live; /**< only live targets get new work */
};

/** Limit on the traffic of one version of the pool; versions without an entry are not limited. */
struct VersionWeight
{
    state::VersionName version;
    int sharePerMille = 1000; /**< of the group's grants */
    bool halted = false; /**< gets nothing */

    bool operator==(const VersionWeight &other) const = default;
};

/** Message that the caller has to send. */
struct Reply
{
    state::HostId to;
    Message message;
};

/** Replies in the order in which they were decided. */
using Replies = std::vector<Reply>;

} // namespace sapphirecove::coordination
