#pragma once

#include <boost/json.hpp>

#include <deque>
#include <vector>

namespace sapphirecove::standins {

/** Cache events of one engine with their offsets. Events become visible after a delay; lost events never do. */
class CacheEventLog
{
public:
    /** Appends an event with the time @p nowUs; a lost event takes up an offset but is never returned. */
    void append(const char *kind, const std::vector<std::uint64_t> &hashes, std::int64_t nowUs, bool lost);

    /** Returns `{"first", "next", "events"}` with the events from offset @p from on, up to the time @p newestUs. */
    boost::json::value toJson(std::int64_t from, std::int64_t newestUs) const;

private:
    struct Event
    {
        std::int64_t offset = 0;
        std::int64_t timeUs = 0;
        const char *kind = "";
        std::vector<std::uint64_t> hashes;
        bool lost = false;
    };

    std::deque<Event> m_events;
    std::int64_t m_next = 0;
};

} // namespace sapphirecove::standins
