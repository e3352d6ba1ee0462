#include "coordination/placement/firstcomeplacement.h"

namespace sapphirecove::coordination::placement {

std::optional<std::size_t> FirstComePlacement::choose(std::span<const Candidate> candidates,
                                                      const SlotRequest & /*ask*/,
                                                      state::Time /*now*/,
                                                      Random & /*random*/)
{
    return candidates.empty() ? std::nullopt : std::optional<std::size_t>(0);
}

} // namespace sapphirecove::coordination::placement
