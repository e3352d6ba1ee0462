#pragma once

#include "state/time.h"

#include <deque>

namespace sapphirecove::coordination::entry {

/** Sum of the amounts that were added within a time span that ends now, in steps of a small part of the span. */
class SlidingWindow
{
public:
    /** Each added amount counts for @p span and up to one step longer. */
    explicit SlidingWindow(state::Duration span);

    /** Adds @p amount at time @p at, which is not before the last addition by more than a step. */
    void add(double amount, state::Time at);

    /** Takes @p amount back, from the oldest additions, so that the sum is at no later time lower than it should be. */
    void takeBack(double amount);

    /** Returns the sum at @p now. */
    double sum(state::Time now);

    /** Returns the sum of what was added from @p begin until before @p end. */
    double sumBetween(state::Time begin, state::Time end) const;

    /** Returns the earliest time at which the sum is at most @p level if nothing more is added. */
    state::Time timeAtOrBelow(double level, state::Time now);

private:
    struct Step
    {
        state::Time begin{};
        double amount = 0;
    };

    void expire(state::Time now);

    state::Duration m_span;
    state::Duration m_stepLength;
    std::deque<Step> m_steps; /**< oldest first */
    double m_sum = 0;
};

} // namespace sapphirecove::coordination::entry
