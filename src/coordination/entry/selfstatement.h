#pragma once

#include "coordination/entry/ratestatement.h"
#include "state/time.h"

#include <optional>

namespace sapphirecove::coordination::entry {

/** What the header of a target's response says about the target itself. */
struct SelfStatement
{
    RateStatement rate;
    bool leaving = false; /**< the target is about to end and takes no new requests */
    std::optional<state::Duration> backOff; /**< time for which the target wants no requests from this host */
};

} // namespace sapphirecove::coordination::entry
