#pragma once

#include "coordination/slidingwindowcounter.h"
#include "state/time.h"

namespace sapphirecove::coordination {

/** Limits retries after refused connections to a fraction of the recent requests. */
class RetryBudget
{
public:
    RetryBudget();

    /** Counts a first attempt. */
    void recordRequest(state::Time now);

    /** Takes one retry from the budget; returns false if the budget is exhausted. */
    bool take(state::Time now);

private:
    SlidingWindowCounter m_requests;
    SlidingWindowCounter m_retries;
};

} // namespace sapphirecove::coordination
