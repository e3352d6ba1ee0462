#pragma once

#include "coordination/placement/placement.h"

namespace sapphirecove::coordination::placement {

/** Baseline: selects any target with room with equal probability. */
class RandomPlacement : public Placement
{
public:
    std::optional<std::size_t>
    choose(std::span<const Candidate> candidates, const SlotRequest &ask, state::Time now, Random &random) override;
};

} // namespace sapphirecove::coordination::placement
