#pragma once

#include "coordination/message.h"
#include "coordination/placement/candidate.h"
#include "coordination/random.h"
#include "state/time.h"

#include <cstddef>
#include <optional>
#include <span>

namespace sapphirecove::coordination::placement {

/** Policy that selects the target of a slot request. An instance belongs to one arbiter and may keep state. */
class Placement
{
public:
    virtual ~Placement() = default;

    /**
     * Returns the position in @p candidates of the selected target; nothing if there are no candidates.
     * Every candidate has room for the request; the candidates are in the fixed order of the group's targets.
     */
    virtual std::optional<std::size_t>
    choose(std::span<const Candidate> candidates, const SlotRequest &ask, state::Time now, Random &random) = 0;
};

} // namespace sapphirecove::coordination::placement
