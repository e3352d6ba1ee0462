#pragma once

#include "state/time.h"

#include <cstddef>
#include <deque>

namespace sapphirecove::coordination {

/** Counts the events within a time window that ends now. */
class SlidingWindowCounter
{
public:
    explicit SlidingWindowCounter(state::Duration span)
        : m_span(span)
    {
    }

    /** Adds an event at @p now, which must not be earlier than the last one. */
    void add(state::Time now);

    /** Returns the number of events within the window that ends at @p now. */
    std::size_t count(state::Time now);

private:
    state::Duration m_span;
    std::deque<state::Time> m_events;
};

} // namespace sapphirecove::coordination
