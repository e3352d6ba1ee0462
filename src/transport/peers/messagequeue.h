#pragma once

#include "coordination/message.h"

#include <cstddef>
#include <deque>
#include <vector>

namespace sapphirecove::transport {

/** Bounded queue of messages for one peer. Messages may be lost, so a full queue drops one. */
class MessageQueue
{
public:
    static constexpr std::size_t Capacity = 1024;
    static constexpr std::size_t BatchSize = 256;

    /**
     * Appends @p message. A full queue first loses its oldest heartbeat, which the next one replaces, and its oldest
     * message only if it holds no heartbeat.
     */
    void push(coordination::Message message);

    /** Removes and returns the oldest messages that travel together. */
    std::vector<coordination::Message> takeBatch();

    bool empty() const
    {
        return m_messages.empty();
    }

    /** Number of messages lost by the bound. */
    std::size_t dropped() const
    {
        return m_dropped;
    }

private:
    std::deque<coordination::Message> m_messages;
    std::size_t m_dropped = 0;
};

} // namespace sapphirecove::transport
