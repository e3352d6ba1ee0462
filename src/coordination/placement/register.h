#pragma once

#include "coordination/placement/placement.h"
#include "state/failure.h"

#include <memory>
#include <string_view>
#include <vector>

namespace sapphirecove::coordination::placement {

/** Creates the policy registered as @p name; fails if there is none. */
state::Result<std::unique_ptr<Placement>> create(std::string_view name);

/** Returns the names of all registered policies, sorted. */
std::vector<std::string_view> names();

} // namespace sapphirecove::coordination::placement
