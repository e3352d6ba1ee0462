#pragma once

#include <random>

namespace sapphirecove::coordination {

/** Random generator of the decision library; seeded and owned by the caller of each decision. */
using Random = std::mt19937_64;

} // namespace sapphirecove::coordination
