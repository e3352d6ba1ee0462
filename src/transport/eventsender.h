#pragma once

#include "coordination/event.h"
#include "transport/outbox.h"

#include <utility>

namespace sapphirecove::transport {

/** Way of one duty's events to the decisions thread. Belongs to the duty's thread. */
class EventSender
{
public:
    EventSender(boost::asio::io_context &context, Ring<coordination::Event> &ring)
        : m_outbox(context, ring)
    {
    }

    /** Passes @p event on; it waits here while the ring is full. */
    void send(coordination::Event event)
    {
        m_outbox.send(std::move(event));
    }

    /** Passes @p event on unless the ring is full; returns whether it did. */
    bool trySend(coordination::Event event)
    {
        return m_outbox.trySend(std::move(event));
    }

    /** Returns whether events wait for room, so that a source that can wait should. */
    bool isCongested() const
    {
        return m_outbox.pending() > 0;
    }

private:
    Outbox<coordination::Event> m_outbox;
};

} // namespace sapphirecove::transport
