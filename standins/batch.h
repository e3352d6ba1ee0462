#pragma once

#include "standins/engineoptions.h"
#include "standins/requestlog.h"

#include <deque>
#include <functional>
#include <memory>

namespace sapphirecove::standins {

/** One request at an engine. */
struct EngineStream
{
    std::string id;
    std::string model;
    std::string version;
    std::uint64_t hash = 0; /**< of the prompt text; the answer follows from it */
    std::vector<std::uint64_t> blocks;
    int promptTokens = 0;
    int cachedTokens = 0;
    int maxTokens = 0;
    double slowdown = 1;
    bool isStreamed = false;
    bool losesResponse = false;
    bool wasDisconnected = false; /**< its connection was closed by breakAfterTokens */

    double remainingPrefillTokens = 0; /**< tokens */
    double decodeCredit = 0; /**< fraction of the next token */
    int generated = 0;
    bool isEnded = false; /**< finished or cancelled */
    bool isCancelled = false;

    std::shared_ptr<RequestRecord> record;
    std::shared_ptr<HttpConnection> reader; /**< null when no connection reads the answer */
    int sentEvents = 0;
};

/** Continuous batching: waiting requests are admitted in arrival order, and all in the batch advance together. */
class Batch
{
public:
    using Stream = std::shared_ptr<EngineStream>;

    /** Called when a request enters the batch, to look up its prefix in the cache. */
    std::function<void(EngineStream &)> admitted;
    /** Called when the prefill of a request is complete. */
    std::function<void(EngineStream &)> prefilled;
    /** Called when a request has left the batch or the queue. */
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
