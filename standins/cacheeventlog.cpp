#include "standins/cacheeventlog.h"

namespace sapphirecove::standins {

namespace {

constexpr std::size_t MaxEvents = 10'000;
constexpr std::size_t MaxEventsPerResponse = 1'000;

} // namespace

void CacheEventLog::append(const char *kind, const std::vector<std::uint64_t> &hashes, std::int64_t nowUs, bool lost)
{
    if (hashes.empty()) {
        return;
    }
    m_events.push_back({ m_next++, nowUs, kind, hashes, lost });
    if (m_events.size() > MaxEvents) {
        m_events.pop_front();
    }
}

boost::json::value CacheEventLog::toJson(std::int64_t from, std::int64_t newestUs) const
{
    boost::json::array events;
    const std::int64_t first = m_next - static_cast<std::int64_t>(m_events.size());
    std::int64_t next = std::max(from, first);
    for (const auto &event : m_events) {
        if (event.offset < from) {
            continue;
        }
        if (event.timeUs > newestUs || events.size() >= MaxEventsPerResponse) {
            break;
        }
        next = event.offset + 1;
        if (!event.lost) {
            boost::json::array hashes(event.hashes.begin(), event.hashes.end());
            events.push_back({ { "offset", event.offset }, { "kind", event.kind }, { "hashes", std::move(hashes) } });
        }
    }
    return { { "first", first }, { "next", next }, { "events", std::move(events) } };
}

} // namespace sapphirecove::standins
