#pragma once

#include "coordination/event.h"
#include "transport/outbox.h"

#include <utility>

namespace sapphirecove::transport {

/** Sends the events of one thread of the host to the decisions thread. All calls must be on the sending thread. */
class EventSender
{
public:
    EventSender(boost::asio::io_context &context, Ring<coordination::Event> &ring)
        : m_outbox(context, ring)
    {
    }

    /** Sends @p event, or queues it while the ring is full. */
    void send(coordination::Event event)
    {
        m_outbox.send(std::move(event));
    }

    /** Sends @p event only if it fits into the ring at once; returns whether it was sent. */
    bool trySend(coordination::Event event)
    {
        return m_outbox.trySend(std::move(event));
    }

    /** Returns whether events are queued because the ring is full; sources that can wait should then pause. */
    bool isCongested() const
    {
        return m_outbox.pending() > 0;
    }

private:
    Outbox<coordination::Event> m_outbox;
};

} // namespace sapphirecove::transport
