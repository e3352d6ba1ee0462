#pragma once

#include "coordination/placement/placement.h"

namespace sapphirecove::coordination::placement {

/** Baseline: selects the next target with room after the one selected last. */
class RoundRobinPlacement : public Placement
{
public:
    std::optional<std::size_t>
    choose(std::span<const Candidate> candidates, const SlotRequest &ask, state::Time now, Random &random) override;

private:
    std::size_t m_next = 0; // position in the group
};

} // namespace sapphirecove::coordination::placement
