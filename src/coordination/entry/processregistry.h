#pragma once

#include "state/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace sapphirecove::coordination::entry {

/**
 * Tells messages of a host's present process from late ones of the processes before it. Incarnations are random, so
 * that they have no order: a process counts as ended once another one of the same host is heard for the first time.
 *
 * If messages of two processes overtake each other, the wrong one may count as ended. It is believed again once the
 * other one has been silent for SilentFor.
 */
class ProcessRegistry
{
public:
    enum class Sender {
        Current, /**< the process that was heard last */
        Successor, /**< a process that replaces the one that was heard last, if there was one */
        Ended, /**< a process that another one has replaced */
    };

    /** Time without a message from the present process after which one that counted as ended is believed again. */
    static constexpr state::Duration SilentFor = std::chrono::milliseconds(900);

    /** Time without messages after which a host is forgotten. */
    static constexpr state::Duration ForgetAfter = std::chrono::minutes(10);

    /** Records a message of the process @p incarnation of @p host, and returns what that process is. */
    Sender heard(std::string_view host, std::uint64_t incarnation, state::Time now);

    /** Forgets hosts that have been silent for long. */
    void expire(state::Time now);

private:
    /** Processes of one host that count as ended are remembered up to this number, the last ones. */
    static constexpr std::size_t MaxEnded = 16;

    struct Item
    {
        std::uint64_t incarnation = 0;
        state::Time heardAt{};
        std::deque<std::uint64_t> ended; /**< oldest first */
    };

    std::map<std::string, Item, std::less<>> m_items;
};

} // namespace sapphirecove::coordination::entry
