#pragma once

#include <random>

namespace sapphirecove::coordination {

/** Random generator for scheduling decisions; seeded and owned by the caller. */
using Random = std::mt19937_64;

} // namespace sapphirecove::coordination
