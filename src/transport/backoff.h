#pragma once

#include "state/time.h"

#include <algorithm>
#include <cstdint>
#include <random>

namespace sapphirecove::transport {

/** Exponential backoff with random jitter, so that hosts do not retry at the same time. */
class Backoff
{
public:
    static constexpr state::Duration InitialBound = std::chrono::milliseconds(50);
    static constexpr state::Duration MaxBound = std::chrono::seconds(2);

    explicit Backoff(std::uint64_t seed)
        : m_random(static_cast<std::minstd_rand::result_type>(seed))
    {
    }

    /** Returns the next delay, a random value between half the current bound and the bound; doubles the bound. */
    state::Duration next()
    {
        const auto bound = m_bound;
        m_bound = std::min(MaxBound, bound * 2);
        std::uniform_int_distribution<state::Duration::rep> delay(bound.count() / 2, bound.count());
        return state::Duration(delay(m_random));
    }

    /** Resets the bound to its initial value; called after a success. */
    void reset()
    {
        m_bound = InitialBound;
    }

private:
    std::minstd_rand m_random;
    state::Duration m_bound = InitialBound;
};

} // namespace sapphirecove::transport
