#pragma once

#include "coordination/placement/placement.h"

namespace sapphirecove::coordination::placement {

/** Baseline: selects the first target with room in the group's fixed order, so targets fill up one after another. */
class FirstComePlacement : public Placement
{
public:
    std::optional<std::size_t>
    choose(std::span<const Candidate> candidates, const SlotRequest &ask, state::Time now, Random &random) override;
};

} // namespace sapphirecove::coordination::placement
