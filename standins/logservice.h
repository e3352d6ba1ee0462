#pragma once

#include "standins/httpserver.h"
#include "standins/options.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <list>

namespace sapphirecove::standins {

/** Behaviour of the log; `POST /standin/options` changes it at run time. */
struct LogOptions
{
    double appendsPerSecond = 400; /**< of all clients and streams together; further appends get status 429 */
    int retentionMs = 86'400'000;
    int latencyMs = 1; /**< delay of each response */
    bool outage = false; /**< every call of the log gets status 503 */
    bool silent = false; /**< calls have no effect and get no response: the connection is closed */
    int loseAnswers = 0; /**< number of next appends that take effect but get no response */
    std::string
        outageAtAppendTo; /**< the next append to this stream takes effect, gets no response, and starts an outage */
    int staleReadMs = 0; /**< reads do not return records younger than this */
};

template <typename Visitor>
void visit(LogOptions &options, Visitor &&visitor)
{
    visitor("appends_per_second", options.appendsPerSecond);
    visitor("retention_ms", options.retentionMs);
    visitor("latency_ms", options.latencyMs);
    visitor("outage", options.outage);
    visitor("silent", options.silent);
    visitor("lose_answers", options.loseAnswers);
    visitor("outage_at_append_to", options.outageAtAppendTo);
    visitor("stale_read_ms", options.staleReadMs);
}

/** Append-only log of section 4.2 of docs/design.md. The offsets of each stream start at 0. */
class LogService
{
public:
    LogService(boost::asio::io_context &context, std::uint16_t port, LogOptions options);

    std::uint16_t port() const
    {
        return m_server.port();
    }

private:
    using Connection = std::shared_ptr<HttpConnection>;

    struct Record
    {
        std::int64_t timeMs = 0;
        boost::json::value value;
    };

    struct LogStream
    {
        std::int64_t firstOffset = 0;
        std::deque<Record> records;
    };

    /** Long-polling read that waits for a record. */
    struct PendingRead
    {
        Connection connection;
        std::string stream;
        std::int64_t from = 0;
        std::int64_t limit = 0;
        std::int64_t deadlineMs = 0;
    };

    void handle(const Connection &connection);
    void handleControl(const Connection &connection, const RequestTarget &target);
    void append(const Connection &connection, const std::string &name);
    void read(const Connection &connection, const std::string &name, const RequestTarget &target);
    void replyAfterLatency(const Connection &connection, unsigned status, boost::json::value body);
    boost::json::value readRecords(const std::string &name, std::int64_t from, std::int64_t limit);
    /** Takes a token from the bucket that limits the append rate; returns false if it is empty. */
    bool tryTakeAppendToken();
    void removeExpiredRecords();
    void completePendingReads();
    void schedulePendingReads();

    boost::asio::io_context &m_context;
    LogOptions m_options;
    std::map<std::string, LogStream> m_streams;
    std::list<PendingRead> m_pendingReads;
    boost::asio::steady_timer m_pendingReadTimer;
    double m_appendTokens = 0;
    std::int64_t m_lastRefillUs = 0;
    std::int64_t m_appends = 0;
    std::int64_t m_rejectedAppends = 0;
    std::int64_t m_reads = 0;
    HttpServer m_server;
};

} // namespace sapphirecove::standins
