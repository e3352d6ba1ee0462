// Answers of the stand-in engine as HTTP bodies and event streams.
#include "standins/completions.h"
#include "standins/engine.h"

namespace sapphirecove::standins {

namespace json = boost::json;

namespace {

/** Bytes queued on a connection above which no more events are written until the reader has taken them. */
constexpr std::size_t MaxPendingBytes = 65536;

json::value usageOf(const EngineStream &stream)
{
    return { { "prompt_tokens", stream.promptTokens },
             { "completion_tokens", stream.generated },
             { "total_tokens", stream.promptTokens + stream.generated },
             { "prompt_tokens_details", { { "cached_tokens", stream.cachedTokens } } } };
}

std::string eventText(int id, const json::value &chunk)
{
    return "id: " + std::to_string(id) + "\ndata: " + json::serialize(chunk) + "\n\n";
}

std::string tokenEvent(const EngineStream &stream, int index)
{
    json::array choices{ { { "index", 0 },
                           { "delta",
                             { { "content", completionToken(stream.hash, static_cast<std::uint64_t>(index)) } } },
                           { "finish_reason", nullptr } } };
    return eventText(index + 1,
                     { { "id", stream.id },
                       { "object", "chat.completion.chunk" },
                       { "model", stream.model },
                       { "choices", std::move(choices) } });
}

std::string lastEvent(const EngineStream &stream)
{
    json::array choices{ { { "index", 0 }, { "delta", json::object() }, { "finish_reason", "length" } } };
    return eventText(stream.generated + 1,
                     { { "id", stream.id },
                       { "object", "chat.completion.chunk" },
                       { "model", stream.model },
                       { "choices", std::move(choices) },
                       { "usage", usageOf(stream) } });
}

} // namespace

void Engine::pump(EngineStream &stream)
{
    auto &reader = *stream.reader;
    if (!reader.isOpen() || stream.isCancelled) {
        reader.abort();
        stream.reader.reset();
        return;
    }
    std::string events;
    while (stream.sentEvents < stream.generated && reader.pendingBytes() + events.size() < MaxPendingBytes) {
        events += tokenEvent(stream, stream.sentEvents++);
        const bool breaks =
            !stream.hasBroken && m_options.breakAfterTokens > 0 && stream.sentEvents >= m_options.breakAfterTokens;
        if (breaks || (stream.losesAnswer && stream.sentEvents * 2 >= stream.maxTokens)) {
            stream.losesAnswer = false;
            stream.hasBroken = true;
            reader.abort();
            stream.reader.reset();
            return;
        }
    }
    const bool isComplete = stream.isEnded && stream.sentEvents >= stream.generated;
    if (isComplete) {
        events += stream.sentEvents == stream.generated ? lastEvent(stream) : "";
        events += "data: [DONE]\n\n";
    }
    reader.writeChunk(events);
    if (isComplete) {
        stream.sentEvents = stream.generated + 1;
        reader.endChunks();
        stream.reader.reset();
    }
}

void Engine::sendDocument(EngineStream &stream)
{
    if (stream.reader == nullptr) {
        return;
    }
    const auto reader = std::move(stream.reader);
    stream.reader.reset();
    if (stream.losesAnswer || stream.isCancelled) {
        reader->abort();
        return;
    }
    std::string content;
    for (int index = 0; index < stream.generated; ++index) {
        content += completionToken(stream.hash, static_cast<std::uint64_t>(index));
    }
    json::array choices{ { { "index", 0 },
                           { "message", { { "role", "assistant" }, { "content", content } } },
                           { "finish_reason", "length" } } };
    reader->reply(200,
                  { { "id", stream.id },
                    { "object", "chat.completion" },
                    { "model", stream.model },
                    { "choices", std::move(choices) },
                    { "usage", usageOf(stream) } },
                  { { "X-Version", stream.version } });
}

} // namespace sapphirecove::standins
