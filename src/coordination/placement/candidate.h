#pragma once

#include "state/identifiers.h"
#include "state/time.h"

#include <cstdint>

namespace sapphirecove::coordination::placement {

/** Distance between the entry host of a request and a target. */
enum class Distance {
    SameFailureDomain,
    SameRegion,
    OtherRegion,
};

/** Target that has room for a request, as a placement policy sees it. */
struct Candidate
{
    std::size_t target = 0; /**< position of the target in its group */
    Distance distance = Distance::SameFailureDomain;
    int streams = 0; /**< in progress, including those that other arbiters are estimated to have granted */
    int streamLimit = 1;
    std::uint32_t cachedTokens = 0; /**< prompt tokens that the target's prefix cache is expected to hold */
    state::Duration timeToFirstToken{}; /**< estimate for this request */
    state::Duration timeToEnd{}; /**< estimate for this request */
    state::Duration prefillTime{}; /**< part of timeToFirstToken that this request itself adds to the target */
};

} // namespace sapphirecove::coordination::placement
