#pragma once

#include "coordination/message.h"
#include "state/identifiers.h"
#include "state/time.h"

namespace sapphirecove::coordination {

/** Slot request that waits at an arbiter. */
struct WaitingAsk
{
    SlotRequest ask;
    state::HostId from; /**< entry host that sent it */
    state::Time queuedAt{};
    double serviceSeconds = 0; /**< estimated time from dispatch to the end on a typical idle target */
    state::Time latestStart{}; /**< after it even the fastest target could not finish in time */
};

} // namespace sapphirecove::coordination
