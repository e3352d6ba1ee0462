#pragma once

#include "protocol/eventstreamparser.h"

#include <cstdint>
#include <optional>

namespace sapphirecove::protocol {

/**
 * Checks that the events of one stream follow each other, also where another source resumes it. Ids must increase. A
 * source that resumes a stream must begin with the next id, if all ids so far came without gaps.
 */
class EventSequence
{
public:
    /** The caller has received the stream up to @p lastEventId from elsewhere, if it is given. */
    explicit EventSequence(std::optional<std::uint64_t> lastEventId = std::nullopt);

    /** Begins the events of another source. */
    void resume();

    /** Takes @p event if it follows those taken so far; returns whether it does. */
    bool take(const ServerSentEvent &event);

    /** Returns whether another source can resume after the last event: each of them must be named by an id. */
    bool resumable() const
    {
        return m_resumable;
    }

    /** Returns whether the source that resumes the stream has yet to show that it does so after the right event. */
    bool resuming() const
    {
        return m_resuming;
    }

    /** Returns the id of the last event that has one. */
    std::optional<std::uint64_t> lastEventId() const
    {
        return m_lastEventId;
    }

private:
    std::optional<std::uint64_t> m_lastEventId;
    bool m_resuming = false; /**< the next event is the first one of a source that resumes the stream */
    bool m_gapless = true;
    bool m_resumable = true;
};

} // namespace sapphirecove::protocol
