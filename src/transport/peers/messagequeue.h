#pragma once

#include "coordination/message.h"

#include <cstddef>
#include <deque>
#include <vector>

namespace sapphirecove::transport {

/** Bounded queue of messages for one peer. Delivery is best effort, so a full queue drops a message. */
class MessageQueue
{
public:
    static constexpr std::size_t Capacity = 1024;
    static constexpr std::size_t BatchSize = 256;

    /**
     * Appends @p message. A full queue drops its oldest heartbeat, which the next one replaces; only if it contains no
     * heartbeat, it drops its oldest message.
     */
    void push(coordination::Message message);

    /** Removes and returns the oldest messages, at most BatchSize of them. */
    std::vector<coordination::Message> takeBatch();

    bool empty() const
    {
        return m_messages.empty();
    }

    /** Returns the number of messages that were dropped because the queue was full. */
    std::size_t dropped() const
    {
        return m_dropped;
    }

private:
    std::deque<coordination::Message> m_messages;
    std::size_t m_dropped = 0;
};

} // namespace sapphirecove::transport
