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
    double appendsPerSecond = 400; /**< of all clients and streams together; more are answered with status 429 */
    int retentionMs = 86'400'000;
    int latencyMs = 1; /**< of each answer */
    bool outage = false; /**< every call is answered with status 503 */
    bool silent = false; /**< calls have no effect and get no answer: the connection is closed */
    int loseAnswers = 0; /**< the next so many appends take effect and get no answer */
    std::string
        outageAtAppendTo; /**< the next append to this stream takes effect, gets no answer, and begins an outage */
    int staleReadMs = 0; /**< reads don't show records younger than this */
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

/** Append-only log with offsets, section 4.2 of the design page. Offsets of each stream count from 0. */
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

    /** Read that waits for a record. */
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
