#include "transport/data/eventrelay.h"

#include <vector>

namespace sapphirecove::transport {

EventRelay::FeedResult EventRelay::feed(std::string_view chunk, std::string &output)
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
        return FeedResult::Malformed;
    }
    for (const auto &event : events) {
        if (select(event, output) == FeedResult::Gap) {
            return FeedResult::Gap;
        }
    }
    if (m_parser.usage()) {
        m_usage = m_parser.usage();
    }
    return FeedResult::Ok;
}

void EventRelay::restart()
{
    m_parser = protocol::EventStreamParser();
}

EventRelay::FeedResult EventRelay::select(const protocol::ServerSentEvent &event, std::string &output)
{
    if (m_ended) {
        return FeedResult::Ok;
    }
    if (event.endMarker) {
        m_ended = true;
        output += event.raw;
        return FeedResult::Ok;
    }
    if (event.id == 0) {
        m_resumable = false;
        ++m_events;
        output += event.raw;
        return FeedResult::Ok;
    }
    if (event.id <= m_lastEventId) {
        return FeedResult::Ok;
    }
    if (event.id > m_lastEventId + 1) {
        return FeedResult::Gap;
    }
    m_lastEventId = event.id;
    ++m_events;
    output += event.raw;
    return FeedResult::Ok;
}

} // namespace sapphirecove::transport
