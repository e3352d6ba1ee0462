#pragma once

#include "coordination/placement/placement.h"

namespace sapphirecove::coordination::placement {

/**
 * Selects the target with the lowest cost in seconds:
 *
 *     cost = timeToFirstToken                          queue, speed and the prefix cache, for this request
 *          + prefillTime                               delay that its prefill causes to others on the target
 *          + DecodeShare * (timeToEnd - timeToFirstToken)
 *          + OccupancyCost * streams / streamLimit     keeps batches of equal targets balanced
 *          + distance                                  0 in the failure domain, DomainRoundTrip in the region
 *
 * The distance to another region is RegionRoundTrip + LinkPrice * bytes / LinkBytesPerSecond, where bytes are the body
 * and the expected response. Of equal costs the first candidate is selected.
 */
class CostPlacement : public Placement
{
public:
    std::optional<std::size_t>
    choose(std::span<const Candidate> candidates, const SlotRequest &request, state::Time now, Random &random) override;

    /** Returns the cost of one candidate in seconds. */
    static double cost(const Candidate &candidate, const SlotRequest &request);
};

} // namespace sapphirecove::coordination::placement
