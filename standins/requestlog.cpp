#include "standins/requestlog.h"

#include "standins/completions.h"
#include "standins/options.h"

namespace sapphirecove::standins {

namespace {

/** Records kept; the oldest are dropped, which `first` in the answer shows. */
constexpr std::size_t MaxRecords = 200'000;

boost::json::value toJson(const RequestRecord &record)
{
    return { { "sequence", record.sequence },
             { "request_id", record.requestId },
             { "idempotency_key", record.idempotencyKey },
             { "method", record.method },
             { "path", record.path },
             { "body_hash", record.bodyHash },
             { "received_us", record.receivedUs },
             { "first_token_us", record.firstTokenUs },
             { "ended_us", record.endedUs },
             { "prompt_tokens", record.promptTokens },
             { "cached_tokens", record.cachedTokens },
             { "completion_tokens", record.completionTokens },
             { "status", record.status },
             { "version", record.version },
             { "state", record.state } };
}

std::string headerOf(const Request &request, const char *name)
{
    const auto value = request[name];
    return { value.data(), value.size() };
}

} // namespace

std::shared_ptr<RequestRecord> RequestLog::add(const Request &request)
{
    auto record = std::make_shared<RequestRecord>();
    record->sequence = m_next++;
    record->requestId = headerOf(request, "X-Request-Id");
    record->idempotencyKey = headerOf(request, "Idempotency-Key");
    record->method = std::string(request.method_string());
    record->path = std::string(request.target());
    record->bodyHash = bodyHash(request.body());
    record->receivedUs = wallClockUs();
    m_records.push_back(record);
    if (m_records.size() > MaxRecords) {
        m_records.pop_front();
    }
    return record;
}

boost::json::value RequestLog::toJson(std::int64_t from) const
{
    boost::json::array records;
    for (const auto &record : m_records) {
        if (record->sequence >= from) {
            records.push_back(standins::toJson(*record));
        }
    }
    const std::int64_t first = m_next - static_cast<std::int64_t>(m_records.size());
    return { { "first", first }, { "next", m_next }, { "records", std::move(records) } };
}

} // namespace sapphirecove::standins
