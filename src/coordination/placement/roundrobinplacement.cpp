#include "coordination/placement/roundrobinplacement.h"

#include <algorithm>

namespace sapphirecove::coordination::placement {

std::optional<std::size_t> RoundRobinPlacement::choose(std::span<const Candidate> candidates,
                                                       const SlotRequest & /*ask*/,
                                                       state::Time /*now*/,
                                                       Random & /*random*/)
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    auto next = std::ranges::find_if(candidates, [&](const Candidate &candidate) {
        return candidate.target >= m_next;
    });
    if (next == candidates.end()) {
        next = candidates.begin();
    }
    m_next = next->target + 1;
    return static_cast<std::size_t>(next - candidates.begin());
}

} // namespace sapphirecove::coordination::placement
