#pragma once

#include "coordination/message.h"
#include "state/identifiers.h"
#include "state/time.h"

namespace sapphirecove::coordination {

/** Slot request that waits at an arbiter. */
struct WaitingRequest
{
    SlotRequest slotRequest;
    state::HostId from; /**< entry host that sent it */
    state::Time queuedAt{};
    double serviceSeconds = 0; /**< estimated time from dispatch to the end on an idle target of average speed */
    state::Time latestStart{}; /**< latest dispatch time at which the fastest target meets the deadline */
};

} // namespace sapphirecove::coordination
