#pragma once

#include <cstddef>
#include <cstdint>

namespace sapphirecove::coordination::entry {

/**
 * Returns how many idle connections to one target a host may keep: its share of the connections that the target accepts
 * from all @p hosts beyond its @p slots, but at least one. A @p maxConnections of 0 means that the target's limit is
 * unknown.
 *
 * Without this limit, many hosts that each had a burst at the same target would keep their connections until the target
 * resets new ones.
 */
std::size_t idleConnectionLimit(std::uint32_t maxConnections, std::uint32_t slots, std::size_t hosts);

} // namespace sapphirecove::coordination::entry
