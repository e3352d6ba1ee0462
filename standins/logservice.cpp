#include "standins/logservice.h"

#include <algorithm>

namespace sapphirecove::standins {

namespace json = boost::json;

namespace {

constexpr std::int64_t MaxWaitMs = 30'000;
constexpr std::int64_t MaxRecordsPerResponse = 10'000;
constexpr auto PendingReadInterval = std::chrono::milliseconds(5);
/** Burst allowed after an idle time (size of the token bucket), in seconds at the append rate. */
constexpr double BurstSeconds = 0.25;

std::int64_t wallClockMs()
{
    return wallClockUs() / 1000;
}

} // namespace

LogService::LogService(boost::asio::io_context &context, std::uint16_t port, LogOptions options)
    : m_context(context)
    , m_options(std::move(options))
    , m_pendingReadTimer(context)
    , m_server(context, port, [this](const Connection &connection) {
        handle(connection);
    })
{
    schedulePendingReads();
}

void LogService::handle(const Connection &connection)
{
    const auto &request = connection->request();
    const auto target = parseTarget({ request.target().data(), request.target().size() });
    const std::string prefix = "/v1/streams/";
    const std::string suffix = "/records";
    if (!target.path.starts_with(prefix) || !target.path.ends_with(suffix)
        || target.path.size() <= prefix.size() + suffix.size()) {
        handleControl(connection, target);
        return;
    }
    if (m_options.silent) {
        connection->abort();
        return;
    }
    if (m_options.outage) {
        connection->reply(503, { { "error", "outage" } });
        return;
    }
    removeExpiredRecords();
    const auto name = target.path.substr(prefix.size(), target.path.size() - prefix.size() - suffix.size());
    if (request.method() == http::verb::post) {
        append(connection, name);
    } else {
        read(connection, name, target);
    }
}

void LogService::handleControl(const Connection &connection, const RequestTarget &target)
{
    if (target.path == "/standin/options") {
        const auto problem = applyJson(m_options, parseOrNull(connection->request().body()));
        connection->reply(problem.empty() ? 200 : 400, { { "problem", problem } });
        return;
    }
    if (target.path == "/standin/records") {
        json::object streams;
        for (const auto &[name, stream] : m_streams) {
            streams[name] = readRecords(name, 0, MaxRecordsPerResponse);
        }
        connection->reply(200,
                          { { "appends", m_appends },
                            { "refused", m_rejectedAppends },
                            { "reads", m_reads },
                            { "streams", std::move(streams) } });
        return;
    }
    connection->reply(404, { { "error", "no such path" } });
}

void LogService::append(const Connection &connection, const std::string &name)
{
    const auto body = parseOrNull(connection->request().body());
    const auto *records = body.is_object() ? body.get_object().if_contains("records") : nullptr;
    if (records == nullptr || !records->is_array() || records->get_array().empty()) {
        replyAfterLatency(connection, 400, { { "error", "expected a non-empty array under records" } });
        return;
    }
    if (!tryTakeAppendToken()) {
        ++m_rejectedAppends;
        replyAfterLatency(connection, 429, { { "error", "append rate exceeded" } });
        return;
    }
    ++m_appends;
    auto &stream = m_streams[name];
    const std::int64_t offset = stream.firstOffset + static_cast<std::int64_t>(stream.records.size());
    for (const auto &value : records->get_array()) {
        stream.records.push_back({ wallClockMs(), value });
    }
    if (m_options.outageAtAppendTo == name) {
        m_options.outageAtAppendTo.clear();
        m_options.outage = true;
        connection->abort();
        return;
    }
    completePendingReads();
    if (m_options.loseAnswers > 0) {
        --m_options.loseAnswers;
        connection->abort();
        return;
    }
    replyAfterLatency(connection, 200, { { "offset", offset }, { "count", records->get_array().size() } });
}

void LogService::read(const Connection &connection, const std::string &name, const RequestTarget &target)
{
    ++m_reads;
    const std::int64_t from = std::max<std::int64_t>(target.number("from", 0), 0);
    const std::int64_t limit = std::clamp<std::int64_t>(target.number("limit", 1000), 1, MaxRecordsPerResponse);
    const std::int64_t wait = std::clamp<std::int64_t>(target.number("wait_ms", 0), 0, MaxWaitMs);
    auto response = readRecords(name, from, limit);
    if (wait > 0 && response.at("records").as_array().empty()) {
        m_pendingReads.push_back({ connection, name, from, limit, wallClockMs() + wait });
        return;
    }
    replyAfterLatency(connection, 200, std::move(response));
}

json::value LogService::readRecords(const std::string &name, std::int64_t from, std::int64_t limit)
{
    const auto &stream = m_streams[name];
    const std::int64_t end = stream.firstOffset + static_cast<std::int64_t>(stream.records.size());
    const std::int64_t newestMs = wallClockMs() - m_options.staleReadMs;
    std::int64_t next = std::clamp(from, stream.firstOffset, end);
    json::array records;
    while (next < end && static_cast<std::int64_t>(records.size()) < limit) {
        const auto &record = stream.records[static_cast<std::size_t>(next - stream.firstOffset)];
        if (record.timeMs > newestMs) {
            break;
        }
        records.push_back({ { "offset", next }, { "time_ms", record.timeMs }, { "value", record.value } });
        ++next;
    }
    return { { "first", stream.firstOffset }, { "next", next }, { "records", std::move(records) } };
}

void LogService::replyAfterLatency(const Connection &connection, unsigned status, json::value body)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context);
    timer->expires_after(std::chrono::milliseconds(m_options.latencyMs));
    timer->async_wait([timer, connection, status, response = std::move(body)](boost::system::error_code) {
        connection->reply(status, response);
    });
}

bool LogService::tryTakeAppendToken()
{
    const std::int64_t now = wallClockUs();
    const double burst = std::max(m_options.appendsPerSecond * BurstSeconds, 1.0);
    const double elapsed = static_cast<double>(now - m_lastRefillUs) / 1e6;
    m_appendTokens = std::min(burst, m_appendTokens + elapsed * m_options.appendsPerSecond);
    m_lastRefillUs = now;
    if (m_appendTokens < 1) {
        return false;
    }
    m_appendTokens -= 1;
    return true;
}

void LogService::removeExpiredRecords()
{
    const std::int64_t oldestMs = wallClockMs() - m_options.retentionMs;
    for (auto &[name, stream] : m_streams) {
        while (!stream.records.empty() && stream.records.front().timeMs < oldestMs) {
            stream.records.pop_front();
            ++stream.firstOffset;
        }
    }
}

void LogService::completePendingReads()
{
    const std::int64_t now = wallClockMs();
    for (auto pendingRead = m_pendingReads.begin(); pendingRead != m_pendingReads.end();) {
        if (m_options.outage || m_options.silent) {
            pendingRead->connection->abort();
            pendingRead = m_pendingReads.erase(pendingRead);
            continue;
        }
        auto response = readRecords(pendingRead->stream, pendingRead->from, pendingRead->limit);
        if (response.at("records").as_array().empty() && now < pendingRead->deadlineMs) {
            ++pendingRead;
            continue;
        }
        replyAfterLatency(pendingRead->connection, 200, std::move(response));
        pendingRead = m_pendingReads.erase(pendingRead);
    }
}

void LogService::schedulePendingReads()
{
    m_pendingReadTimer.expires_after(PendingReadInterval);
    m_pendingReadTimer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            removeExpiredRecords();
            completePendingReads();
            schedulePendingReads();
        }
    });
}

} // namespace sapphirecove::standins
