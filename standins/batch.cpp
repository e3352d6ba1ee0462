#include "standins/batch.h"

#include <algorithm>

namespace sapphirecove::standins {

void Batch::submit(Stream stream)
{
    m_waiting.push_back(std::move(stream));
}

void Batch::cancel(const Stream &stream)
{
    if (stream->isEnded) {
        return;
    }
    std::erase(m_waiting, stream);
    std::erase(m_running, stream);
    stream->isCancelled = true;
    finish(*stream, "cancelled");
}

void Batch::advance(const EngineOptions &options, double seconds)
{
    admit(static_cast<std::size_t>(std::max(options.streams, 1)));
    if (m_running.empty() || options.stalled) {
        return;
    }
    prefill(seconds * options.prefillTokensPerSecond * options.speed);
    const auto others = static_cast<double>(m_running.size() - 1);
    decode(seconds * options.decodeTokensPerSecond * options.speed / (1 + others * options.batchSlowdown));
    const auto firstEnded = std::stable_partition(m_running.begin(), m_running.end(), [](const Stream &stream) {
        return stream->generated < stream->maxTokens;
    });
    const std::vector<Stream> completed(firstEnded, m_running.end());
    m_running.erase(firstEnded, m_running.end());
    for (const auto &stream : completed) {
        finish(*stream, "finished");
    }
    admit(static_cast<std::size_t>(std::max(options.streams, 1)));
}

void Batch::admit(std::size_t capacity)
{
    while (!m_waiting.empty() && m_running.size() < capacity) {
        m_running.push_back(std::move(m_waiting.front()));
        m_waiting.pop_front();
        m_running.back()->record->state = "running";
        admitted(*m_running.back());
    }
}

void Batch::prefill(double tokens)
{
    std::vector<EngineStream *> prompts;
    for (const auto &stream : m_running) {
        if (stream->generated == 0) {
            prompts.push_back(stream.get());
        }
    }
    std::sort(prompts.begin(), prompts.end(), [](const auto *left, const auto *right) {
        return left->remainingPrefillTokens < right->remainingPrefillTokens;
    });
    // Shortest prompts first, so that the unused part of their equal share goes to the longer prompts.
    std::size_t remainingPrompts = prompts.size();
    for (auto *stream : prompts) {
        const double share = tokens / static_cast<double>(remainingPrompts);
        const double used = std::min(share, stream->remainingPrefillTokens * stream->slowdown);
        stream->remainingPrefillTokens -= used / stream->slowdown;
        tokens -= used;
        --remainingPrompts;
        if (stream->remainingPrefillTokens <= 1e-6) {
            stream->generated = 1;
            stream->record->firstTokenUs = wallClockUs();
            prefilled(*stream);
        }
    }
}

void Batch::decode(double tokensPerStream)
{
    for (const auto &stream : m_running) {
        if (stream->generated == 0) {
            continue;
        }
        stream->decodeCredit += tokensPerStream / stream->slowdown;
        const int wholeTokens = static_cast<int>(stream->decodeCredit);
        stream->decodeCredit -= wholeTokens;
        stream->generated = std::min(stream->generated + wholeTokens, stream->maxTokens);
    }
}

void Batch::finish(EngineStream &stream, const char *state)
{
    stream.isEnded = true;
    stream.record->state = state;
    stream.record->endedUs = wallClockUs();
    stream.record->completionTokens = stream.generated;
    ended(stream);
}

} // namespace sapphirecove::standins
