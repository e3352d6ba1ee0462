#pragma once

#include "coordination/statusreport.h"
#include "state/identifiers.h"

#include <vector>

namespace sapphirecove::cli {

/** Returns the hosts, the reporting one included, that are alive and have a generation below @p generation. */
std::vector<state::HostId> hostsBehind(const coordination::StatusReport &report, state::Generation generation);

} // namespace sapphirecove::cli
