#pragma once

#include "coordination/statusreport.h"
#include "state/identifiers.h"

#include <vector>

namespace sapphirecove::cli {

/** Returns the live hosts, including the reporting one, whose generation is below @p generation. */
std::vector<state::HostId> hostsBehind(const coordination::StatusReport &report, state::Generation generation);

} // namespace sapphirecove::cli
