#include "protocol/eventsequence.h"

namespace sapphirecove::protocol {

EventSequence::EventSequence(std::optional<std::uint64_t> lastEventId)
    : m_lastEventId(lastEventId)
{
}

void EventSequence::resume()
{
    m_resuming = true;
}

bool EventSequence::take(const ServerSentEvent &event)
{
    if (!event.hasId) {
        if (m_resuming && !event.endMarker) {
            return false; // It may repeat an event that was taken.
        }
        m_resuming = false;
        m_resumable = false;
        return true;
    }
    if (m_lastEventId && event.id <= *m_lastEventId) {
        return false;
    }
    const bool isNext = !m_lastEventId || event.id - *m_lastEventId == 1;
    if (m_resuming && m_gapless && !isNext) {
        return false;
    }
    m_gapless = m_gapless && isNext;
    m_lastEventId = event.id;
    m_resuming = false;
    return true;
}

} // namespace sapphirecove::protocol
