#include "transport/data/eventrelay.h"

#include <vector>

namespace sapphirecove::transport {

EventRelay::Feed EventRelay::feed(std::string_view chunk, std::string &output)
{
    bool malformed = false;
    const auto events = state::handleFailure(
        [&] {
            return m_parser.feed(chunk);
        },
        [&](const state::Failure &) {
            malformed = true;
            return std::vector<protocol::ServerSentEvent>();
        });
    if (malformed) {
        return Feed::Malformed;
    }
    for (const auto &event : events) {
        if (select(event, output) == Feed::Gap) {
            return Feed::Gap;
        }
    }
    if (m_parser.usage()) {
        m_usage = m_parser.usage();
    }
    return Feed::Ok;
}

void EventRelay::restart()
{
    m_parser = protocol::EventStreamParser();
}

EventRelay::Feed EventRelay::select(const protocol::ServerSentEvent &event, std::string &output)
{
    if (m_ended) {
        return Feed::Ok;
    }
    if (event.endMarker) {
        m_ended = true;
        output += event.raw;
        return Feed::Ok;
    }
    if (event.id == 0) {
        m_resumable = false;
        ++m_events;
        output += event.raw;
        return Feed::Ok;
    }
    if (event.id <= m_lastEventId) {
        return Feed::Ok;
    }
    if (event.id > m_lastEventId + 1) {
        return Feed::Gap;
    }
    m_lastEventId = event.id;
    ++m_events;
    output += event.raw;
    return Feed::Ok;
}

} // namespace sapphirecove::transport
