#pragma once

#include "standins/engineoptions.h"
#include "standins/requestlog.h"

#include <deque>
#include <functional>
#include <memory>

namespace sapphirecove::standins {

/** A request that an engine processes or has processed. */
struct EngineStream
{
    std::string id;
    std::string model;
    std::string version;
    std::uint64_t hash = 0; /**< of the prompt text; determines the completion */
    std::vector<std::uint64_t> blocks; /**< chained hashes of the complete prompt blocks */
    int promptTokens = 0;
    int cachedTokens = 0;
    int maxTokens = 0;
    double slowdown = 1;
    bool isStreamed = false;
    bool losesResponse = false; /**< the connection is closed before the response is complete */
    bool wasDisconnected = false; /**< its connection was closed by breakAfterTokens */

    double remainingPrefillTokens = 0;
    double decodeCredit = 0; /**< fraction of the next token that is already decoded */
    int generated = 0; /**< completion tokens */
    bool isEnded = false; /**< finished or cancelled */
    bool isCancelled = false;

    std::shared_ptr<RequestRecord> record;
    std::shared_ptr<HttpConnection> reader; /**< null when no connection reads the response */
    int sentEvents = 0;
};

/** Continuous batching: requests are admitted in arrival order, and all requests in the batch advance together. */
class Batch
{
public:
    using Stream = std::shared_ptr<EngineStream>;

    /** Called when a request enters the batch, to look up its prefix in the cache. */
    std::function<void(EngineStream &)> admitted;
    /** Called when the prefill of a request is complete and its first token is generated. */
    std::function<void(EngineStream &)> prefilled;
    /** Called when a request has finished or was cancelled and has left the batch or the queue. */
    std::function<void(EngineStream &)> ended;

    void submit(Stream stream);
    void cancel(const Stream &stream);

    /** Advances all requests by @p seconds of simulated time. */
    void advance(const EngineOptions &options, double seconds);

    std::size_t running() const
    {
        return m_running.size();
    }
    std::size_t waiting() const
    {
        return m_waiting.size();
    }

private:
    void admit(std::size_t capacity);
    void prefill(double tokens);
    void decode(double tokensPerStream);
    void finish(EngineStream &stream, const char *state);

    std::deque<Stream> m_waiting;
    std::vector<Stream> m_running;
};

} // namespace sapphirecove::standins
