#pragma once

#include "state/time.h"

#include <cstddef>
#include <deque>

namespace sapphirecove::coordination {

/** Number of events within a time span that ends now. */
class SlidingWindowCounter
{
public:
    explicit SlidingWindowCounter(state::Duration span)
        : m_span(span)
    {
    }

    /** Counts an event at @p now, which is not before any earlier one. */
    void add(state::Time now);

    /** Returns the number of events since @p now less the span. */
    std::size_t count(state::Time now);

private:
    state::Duration m_span;
    std::deque<state::Time> m_events;
};

} // namespace sapphirecove::coordination
