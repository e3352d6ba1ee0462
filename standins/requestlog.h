#pragma once

#include "standins/httpconnection.h"

#include <deque>

namespace sapphirecove::standins {

/** What a stand-in observed of one request; tests check the product against it. */
struct RequestRecord
{
    std::int64_t sequence = 0;
    std::string requestId; /**< header X-Request-Id */
    std::string idempotencyKey;
    std::string method;
    std::string path;
    std::string bodyHash;
    std::int64_t receivedUs = 0;
    std::int64_t firstTokenUs = 0;
    std::int64_t endedUs = 0;
    int promptTokens = 0;
    int cachedTokens = 0;
    int completionTokens = 0;
    int status = 0;
    std::string version;
    std::string state = "waiting"; /**< waiting, running, finished, cancelled or failed */
};

/** Requests that a stand-in received; bounded, the oldest are dropped first. */
class RequestLog
{
public:
    /** Adds a record of @p request, received now. */
    std::shared_ptr<RequestRecord> add(const Request &request);

    /** Returns `{"first", "next", "records"}` with the records from sequence number @p from on. */
    boost::json::value toJson(std::int64_t from) const;

private:
    std::deque<std::shared_ptr<RequestRecord>> m_records;
    std::int64_t m_next = 0;
};

} // namespace sapphirecove::standins
