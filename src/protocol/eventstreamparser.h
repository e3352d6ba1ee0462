#pragma once

#include "protocol/usage.h"
#include "state/failure.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirecove::protocol {

/** Complete event of a stream. */
struct ServerSentEvent
{
    std::uint64_t id = 0; /**< last id received so far; 0 if none was */
    bool hasId = false; /**< the id was received with this event, not with an earlier one */
    std::string data; /**< lines joined by newlines */
    bool endMarker = false; /**< data is "[DONE]" */
    std::string raw; /**< bytes of the event as received, with the empty line that ends it */
};

/**
 * Incremental parser of server-sent events (WHATWG HTML, section "Server-sent events") of a chat-completions stream.
 * Chunks may end anywhere. The concatenated @c raw bytes of all events equal the bytes received so far, except for an
 * incomplete event at the end. A forwarder can therefore send complete events only and resume after the last one.
 */
class EventStreamParser
{
public:
    /** Highest number of bytes of one event, so that a faulty engine cannot exhaust the host's memory. */
    static constexpr std::size_t MaxEventBytes = std::size_t{ 1024 } * 1024;

    /** Takes the next bytes and returns the events completed by them; fails if one event is too long. */
    state::Result<std::vector<ServerSentEvent>> feed(std::string_view chunk);

    /** Returns whether the end marker was received. */
    bool ended() const
    {
        return m_ended;
    }

    /** Returns whether the bytes so far end inside an event. Comments after the last event are not part of one. */
    bool insideEvent() const
    {
        return m_hasFields || !m_line.empty();
    }

    /** Returns the bytes after the last complete event. */
    std::string_view incomplete() const
    {
        return m_raw;
    }

    /** Returns how many bytes of the event that is not complete are kept. */
    std::size_t bufferedBytes() const
    {
        return m_line.size() + m_raw.size() + m_data.size();
    }

    /** Returns the usage if a chunk carried it. */
    const std::optional<Usage> &usage() const
    {
        return m_usage;
    }

    /** Returns the id of the last complete event, from which a stream is resumed; 0 if there was none. */
    std::uint64_t lastEventId() const
    {
        return m_lastEventId;
    }

private:
    bool endsLine(char c);
    void finishLine(std::vector<ServerSentEvent> &events);
    void readField(std::string_view name, std::string_view value);
    void finishEvent(std::vector<ServerSentEvent> &events);

    std::string m_line;
    std::string m_raw;
    std::string m_data;
    std::optional<std::uint64_t> m_id;
    bool m_hasNewId = false; /**< an id was received since the last event */
    std::uint64_t m_lastEventId = 0;
    std::optional<Usage> m_usage;
    bool m_hasData = false;
    bool m_hasFields = false; /**< since the last empty line */
    bool m_afterCarriageReturn = false;
    bool m_firstLine = true;
    bool m_ended = false;
};

} // namespace sapphirecove::protocol
