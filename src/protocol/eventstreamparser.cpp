#include "protocol/eventstreamparser.h"

#include <charconv>
#include <utility>

namespace sapphirecove::protocol {

namespace {

constexpr std::string_view EndMarker = "[DONE]";
constexpr std::string_view ByteOrderMark = "\xEF\xBB\xBF";

} // namespace

state::Result<std::vector<ServerSentEvent>> EventStreamParser::feed(std::string_view chunk)
{
    std::vector<ServerSentEvent> events;
    for (const char c : chunk) {
        m_raw += c;
        if (m_raw.size() > MaxEventBytes) {
            return state::fail("stream.parse", "", "event longer than " + std::to_string(MaxEventBytes) + " bytes");
        }
        if (endsLine(c)) {
            finishLine(events);
        } else if (c != '\n') {
            m_line += c;
        }
    }
    return events;
}

/** Returns whether @p c ends a line; the line feed of a CR LF pair does not end a second one. */
bool EventStreamParser::endsLine(char c)
{
    const bool secondOfPair = m_afterCarriageReturn && c == '\n';
    m_afterCarriageReturn = c == '\r';
    return c == '\r' || (c == '\n' && !secondOfPair);
}

void EventStreamParser::finishLine(std::vector<ServerSentEvent> &events)
{
    std::string_view line = m_line;
    if (m_firstLine && line.starts_with(ByteOrderMark)) {
        line.remove_prefix(ByteOrderMark.size());
    }
    m_firstLine = false;
    if (line.empty()) {
        finishEvent(events);
    } else {
        m_hasFields = m_hasFields || !line.starts_with(':');
        const std::size_t colon = line.find(':');
        std::string_view value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
        if (value.starts_with(' ')) {
            value.remove_prefix(1);
        }
        readField(line.substr(0, colon), value);
    }
    m_line.clear();
}

void EventStreamParser::readField(std::string_view name, std::string_view value)
{
    if (name == "data") {
        m_data += m_hasData ? "\n" : "";
        m_data += value;
        m_hasData = true;
    } else if (name == "id") {
        std::uint64_t id = 0;
        const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), id);
        if (error == std::errc() && end == value.data() + value.size()) {
            m_id = id;
        }
    }
}

/** Adds the event to @p events, unless it consists of comments only; their bytes then belong to the next event. */
void EventStreamParser::finishEvent(std::vector<ServerSentEvent> &events)
{
    m_hasNewId = m_hasNewId || m_id.has_value();
    m_lastEventId = m_id.value_or(m_lastEventId);
    m_id.reset();
    m_hasFields = false;
    if (!m_hasData) {
        return;
    }
    ServerSentEvent event;
    event.id = m_lastEventId;
    event.hasId = std::exchange(m_hasNewId, false);
    event.data = std::move(m_data);
    event.endMarker = event.data == EndMarker;
    event.raw = std::move(m_raw);
    m_ended = m_ended || event.endMarker;
    // Most chunks carry no usage; searching for the name first avoids parsing every token's JSON.
    if (event.data.find("\"usage\"") != std::string::npos) {
        const auto document = parseJson(event.data, "stream.parse", "");
        const auto usage = document ? usageOf(*document) : std::nullopt;
        m_usage = usage ? usage : m_usage;
    }
    events.push_back(std::move(event));
    m_data.clear();
    m_raw.clear();
    m_hasData = false;
}

} // namespace sapphirecove::protocol
