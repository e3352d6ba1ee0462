#pragma once

#include "coordination/slidingwindowcounter.h"
#include "state/time.h"

namespace sapphirecove::coordination {

/** Bounds second attempts after refused connections to a share of the recent requests. */
class RetryBudget
{
public:
    RetryBudget();

    /** Counts a first attempt. */
    void recordRequest(state::Time now);

    /** Takes one retry from the budget; returns false if it is used up. */
    bool take(state::Time now);

private:
    SlidingWindowCounter m_requests;
    SlidingWindowCounter m_retries;
};

} // namespace sapphirecove::coordination
