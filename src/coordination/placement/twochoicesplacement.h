#pragma once

#include "coordination/placement/placement.h"

namespace sapphirecove::coordination::placement {

/**
 * Baseline: selects the target with fewer streams of two random ones.
 * Source: Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", IEEE TPDS 12(10), 2001.
 */
class TwoChoicesPlacement : public Placement
{
public:
    std::optional<std::size_t>
    choose(std::span<const Candidate> candidates, const SlotRequest &ask, state::Time now, Random &random) override;
};

} // namespace sapphirecove::coordination::placement
