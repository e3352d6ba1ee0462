#pragma once

#include "state/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace sapphirecove::coordination::entry {

/**
 * Requests that have failed a short while ago. A request that fails at one target often fails at the next one, too, so
 * that further responses to it say nothing about the software there.
 */
class RecentFailures
{
public:
    /** Time for which a request is remembered; callers come back within it. */
    static constexpr state::Duration KeptFor = std::chrono::seconds(10);

    /** Most requests that are remembered; the oldest are forgotten first. */
    static constexpr std::size_t MaxRequests = 1024;

    /** Returns whether the request with the number @p request has failed. */
    bool contains(std::uint64_t request, state::Time now);

    void add(std::uint64_t request, state::Time now);

private:
    void expire(state::Time now);

    struct Item
    {
        std::uint64_t request = 0;
        state::Time at{};
    };

    std::deque<Item> m_items; /**< oldest first */
    std::unordered_map<std::uint64_t, std::size_t> m_counts; /**< of items, by request */
};

} // namespace sapphirecove::coordination::entry
