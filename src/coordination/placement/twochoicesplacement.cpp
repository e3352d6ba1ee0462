#include "coordination/placement/twochoicesplacement.h"

namespace sapphirecove::coordination::placement {

std::optional<std::size_t> TwoChoicesPlacement::choose(std::span<const Candidate> candidates,
                                                       const SlotRequest & /*ask*/,
                                                       state::Time /*now*/,
                                                       Random &random)
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> any(0, candidates.size() - 1);
    const std::size_t first = any(random);
    const std::size_t second = any(random);
    return candidates[second].streams < candidates[first].streams ? second : first;
}

} // namespace sapphirecove::coordination::placement
