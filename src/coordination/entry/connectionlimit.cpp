#include "coordination/entry/connectionlimit.h"

#include <algorithm>

namespace sapphirecove::coordination::entry {

namespace {

/**
 * Fraction of a target's spare connections that may be idle, as it accepts fewer connections while its queue is long.
 */
constexpr double IdleShare = 0.5;

} // namespace

std::size_t idleConnectionLimit(std::uint32_t maxConnections, std::uint32_t slots, std::size_t hosts)
{
    // More idle connections than slots are never in use at once.
    const std::size_t useful = std::max<std::size_t>(1, slots);
    if (maxConnections == 0) {
        return useful;
    }
    const std::uint32_t spare = maxConnections > slots ? maxConnections - slots : 0;
    const double part = spare * IdleShare / static_cast<double>(std::max<std::size_t>(1, hosts));
    return std::clamp<std::size_t>(static_cast<std::size_t>(part), 1, useful);
}

} // namespace sapphirecove::coordination::entry
