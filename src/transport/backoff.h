#pragma once

#include "state/time.h"

#include <algorithm>
#include <cstdint>
#include <random>

namespace sapphirecove::transport {

/** Pauses between retries: they double up to a bound and vary at random, so that hosts do not retry in step. */
class Backoff
{
public:
    static constexpr state::Duration InitialBound = std::chrono::milliseconds(50);
    static constexpr state::Duration MaxBound = std::chrono::seconds(2);

    explicit Backoff(std::uint64_t seed)
        : m_random(static_cast<std::minstd_rand::result_type>(seed))
    {
    }

    /** Returns the next pause: between a half and the whole of the present bound. */
    state::Duration next()
    {
        const auto bound = m_bound;
        m_bound = std::min(MaxBound, bound * 2);
        std::uniform_int_distribution<state::Duration::rep> delay(bound.count() / 2, bound.count());
        return state::Duration(delay(m_random));
    }

    /** Starts again with the shortest pause after a success. */
    void reset()
    {
        m_bound = InitialBound;
    }

private:
    std::minstd_rand m_random;
    state::Duration m_bound = InitialBound;
};

} // namespace sapphirecove::transport
