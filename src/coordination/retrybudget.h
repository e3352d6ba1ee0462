#pragma once

#include "state/time.h"

#include <deque>

namespace sapphirecove::coordination {

/** Bounds second attempts after refused connections to a share of the recent requests. */
class RetryBudget
{
public:
    /** Counts a first attempt. */
    void recordRequest(state::Time now);

    /** Takes one retry from the budget; returns false if it is used up. */
    bool take(state::Time now);

private:
    void expire(state::Time now);

    std::deque<state::Time> m_requests;
    std::deque<state::Time> m_retries;
};

} // namespace sapphirecove::coordination
