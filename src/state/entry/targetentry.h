#pragma once

#include "state/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace sapphirecove::state::entry {

/** Target as it announces itself for discovery. */
struct TargetEntry
{
    std::string id; /**< kept across restarts, see startedUnixMs; a request that names it runs nowhere else */
    std::string service;
    std::string address;
    std::uint16_t port = 0;
    std::string failureDomain;
    std::string softwareVersion;
    std::uint32_t slots = 1; /**< requests that it processes at once */
    std::int64_t startedUnixMs = 0; /**< start of the process, by its own clock; differs for each incarnation */
    bool draining = false;
    std::optional<Duration> coldFor; /**< time for which it stays cold; 0 if it is not, nothing if it does not say */
};

/** Order to move a service to another software version. */
struct RolloutOrder
{
    std::string service;
    std::string targetVersion;
    double durationSeconds = 0; /**< time within which the rollout has to be done or rolled back */
};

/** State of a rollout as shown to the operator. */
enum class RolloutState { Running, Done, RolledBack };

/** Published state of a rollout. */
struct RolloutStatus
{
    std::string service;
    std::string targetVersion;
    RolloutState state = RolloutState::Running;
};

} // namespace sapphirecove::state::entry
