#include "coordination/placement/randomplacement.h"

namespace sapphirecove::coordination::placement {

std::optional<std::size_t> RandomPlacement::choose(std::span<const Candidate> candidates,
                                                   const SlotRequest & /*ask*/,
                                                   state::Time /*now*/,
                                                   Random &random)
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    return std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(random);
}

} // namespace sapphirecove::coordination::placement
