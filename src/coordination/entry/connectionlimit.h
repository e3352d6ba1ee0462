#pragma once

#include <cstddef>
#include <cstdint>

namespace sapphirecove::coordination::entry {

/**
 * Returns how many idle connections to one target a host keeps: its part of those that the target accepts from all
 * @p hosts and that its @p slots do not need, at least one. With a @p maxConnections of 0 the target's cap is unknown.
 *
 * Load pattern: many hosts each had a burst at the same target and keep their connections, until the target resets new
 * ones.
 */
std::size_t idleConnectionLimit(std::uint32_t maxConnections, std::uint32_t slots, std::size_t hosts);

} // namespace sapphirecove::coordination::entry
