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
    state::Incarnation incarnation = 0; /**< part of the hash in the grant ids */
    std::uint64_t seed = 0; /**< of the random generator used for placement */
    state::Tier lowestTier = 3; /**< highest tier number of the configuration; it is shed without a floor */
    std::size_t queueLength = 2000; /**< maximum number of waiting slot requests */
    std::map<std::string, std::string> failureDomains; /**< region by failure domain */
    TierGate *gate = nullptr; /**< shared by all arbiters of the host; must outlive the arbiter */
    state::Duration grantValidity = std::chrono::milliseconds(1000); /**< time within which the dispatch must start */
    state::Duration grantMargin = std::chrono::milliseconds(1000); /**< added for message delay and slow clocks */
};

/** State of a target in the host list of the platform. */
enum class TargetListing {
    Live,
    Leaving,
    Unlisted,
};

/** Target of the group as described by the configuration and the host list. */
struct ArbiterTarget
{
    state::TargetId id;
    std::string failureDomain;
    state::TargetCapacity capacity;
    state::VersionName version; /**< assumed until a load report names another */
    TargetListing listing = TargetListing::Live; /**< only live targets are granted */
};

/** Limit on the traffic of one version of the pool; versions without an entry are not limited. */
struct VersionWeight
{
    state::VersionName version;
    int sharePerMille = 1000; /**< of the group's grants */
    bool halted = false; /**< gets no grants */

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
