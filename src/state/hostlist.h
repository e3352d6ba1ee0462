#pragma once

#include "state/identifiers.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sapphirecove::state {

/** State of a machine in the platform's list. */
enum class ListedState {
    Live,
    Leaving,
};

/** Entry host in the platform's list. */
struct ListedHost
{
    HostId id;
    std::string address;
    std::uint16_t peerPort = 0;
    std::string region;
    std::string failureDomain;
    ListedState state = ListedState::Live;
};

/** Target in the platform's list; the configuration holds its address and pool. */
struct ListedTarget
{
    TargetId id;
    ListedState state = ListedState::Live;
};

/** Snapshot of the platform's host list, which lags behind the actual state by seconds. */
struct HostList
{
    std::vector<ListedHost> hosts;
    std::vector<ListedTarget> targets;
};

} // namespace sapphirecove::state
