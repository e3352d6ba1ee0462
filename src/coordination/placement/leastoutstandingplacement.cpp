#include "coordination/placement/leastoutstandingplacement.h"

#include <algorithm>

namespace sapphirecove::coordination::placement {

std::optional<std::size_t> LeastOutstandingPlacement::choose(std::span<const Candidate> candidates,
                                                             const SlotRequest & /*ask*/,
                                                             state::Time /*now*/,
                                                             Random & /*random*/)
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    const auto least = std::ranges::min_element(candidates, {}, &Candidate::streams);
    return static_cast<std::size_t>(least - candidates.begin());
}

} // namespace sapphirecove::coordination::placement
