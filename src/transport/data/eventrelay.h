#pragma once

#include "protocol/eventstreamparser.h"
#include "protocol/usage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sapphirecove::transport {

/**
 * Selects the events of a stream that the caller has not received yet, also after the stream was resumed. Only whole
 * events are forwarded, so that a resumed stream continues after the last one without lost or duplicate events.
 */
class EventRelay
{
public:
    /** Result of parsing one chunk. */
    enum class FeedResult {
        Ok,
        Gap, /**< an event id was skipped; the events selected before it are valid */
        Malformed, /**< an event exceeds the parser's limit */
    };

    /** Parses the next bytes of the stream and appends the bytes to forward to @p output. */
    FeedResult feed(std::string_view chunk, std::string &output);

    /** Resets the parser for a new connection that continues the stream after lastEventId(). */
    void restart();

    /** Returns how many bytes of an incomplete event are kept. */
    std::size_t bufferedBytes() const
    {
        return m_parser.bufferedBytes();
    }

    /** Returns whether the end marker was forwarded. */
    bool ended() const
    {
        return m_ended;
    }

    /** Returns the id of the last forwarded event; 0 if there was none. */
    std::uint64_t lastEventId() const
    {
        return m_lastEventId;
    }

    /** Returns whether the stream can be resumed: no event without an id was forwarded. */
    bool resumable() const
    {
        return m_resumable;
    }

    /** Returns the number of forwarded events without the end marker. */
    std::uint32_t events() const
    {
        return m_events;
    }

    /** Returns the token usage if an event contained it. */
    const std::optional<protocol::Usage> &usage() const
    {
        return m_usage;
    }

private:
    FeedResult select(const protocol::ServerSentEvent &event, std::string &output);

    protocol::EventStreamParser m_parser;
    std::optional<protocol::Usage> m_usage;
    std::uint64_t m_lastEventId = 0;
    std::uint32_t m_events = 0;
    bool m_resumable = true;
    bool m_ended = false;
};

} // namespace sapphirecove::transport
