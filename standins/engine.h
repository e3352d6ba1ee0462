#pragma once

#include "standins/batch.h"
#include "standins/cacheeventlog.h"
#include "standins/httpserver.h"
#include "standins/prefixcache.h"
#include "standins/weightdownload.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <optional>
#include <random>
#include <unordered_map>

namespace sapphirecove::standins {

/** Stand-in for one model engine; implements the HTTP calls of section 4.4 of docs/design.md. */
class Engine
{
public:
    Engine(boost::asio::io_context &context, std::uint16_t port, EngineOptions options);

    std::uint16_t port() const
    {
        return m_server.port();
    }

private:
    using Connection = std::shared_ptr<HttpConnection>;
    using Stream = std::shared_ptr<EngineStream>;

    struct LoadReport
    {
        std::int64_t timeUs = 0;
        std::size_t running = 0;
        std::size_t waiting = 0;
        std::string version;
        std::string loading;
    };

    void handle(const Connection &connection);
    void handleCompletion(const Connection &connection);
    void resume(const Connection &connection, const std::string &id);
    void cancel(const Connection &connection, const std::string &id);
    void handleOrder(const Connection &connection);
    void handleControl(const Connection &connection, const RequestTarget &target);

    Stream makeStream(const boost::json::object &body, const Connection &connection);
    /** Counts a request for the current version; returns the version's faults, or null if they do not apply to it. */
    const VersionFaults *activeFaults(const std::string &promptText);
    /** Adds @p stream to the active streams and, if it has an id, retains it for resumption. */
    void registerStream(const Stream &stream);
    void startLoading(const std::string &version);
    void activateVersion(const std::string &version);
    /** Returns true with the probability @p rate. */
    bool occurs(double rate);

    /** Starts the step timer if it is not running; it stops when no stream is active. */
    void startStepping();
    void step();
    void recordLoad();
    /** Returns the newest load report that is at least EngineOptions::loadLagMs old, or the first one at start. */
    boost::json::value loadReport() const;
    /** Writes the tokens generated so far to the stream's reader, and the end of the response if it is complete. */
    void sendEvents(EngineStream &stream);
    /** Sends the response of a request that is not streamed. */
    void sendFullResponse(EngineStream &stream);

    boost::asio::io_context &m_context;
    EngineOptions m_options;
    std::mt19937_64 m_random;
    Batch m_batch;
    PrefixCache m_cache;
    CacheEventLog m_cacheEvents;
    RequestLog m_requestLog;
    RequestLog m_orderLog;
    std::unordered_map<std::string, Stream> m_streamsById;
    std::deque<std::string> m_streamIds; // oldest first
    std::vector<Stream> m_activeStreams; // with a reader or not yet ended
    std::map<std::string, int> m_requestCountByVersion;
    std::optional<std::int64_t> m_highestFencing; // of all accepted orders
    std::string m_loadingVersion; // empty when no version is being loaded
    std::shared_ptr<WeightDownload> m_download;
    boost::asio::steady_timer m_loadTimer;
    boost::asio::steady_timer m_stepTimer;
    boost::asio::steady_timer m_reportTimer;
    std::chrono::steady_clock::time_point m_lastStep;
    bool m_isStepping = false;
    std::deque<LoadReport> m_loadReports;
    HttpServer m_server;
};

} // namespace sapphirecove::standins
