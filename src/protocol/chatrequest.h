#pragma once

#include "state/failure.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirecove::protocol {

/** Output tokens assumed for a chat request that sets no limit. */
constexpr std::uint32_t DefaultMaxOutputTokens = 256;

/** Highest limit on output tokens that a chat request may set. */
constexpr std::uint32_t HighestMaxOutputTokens = 1'000'000;

/** Fields of a chat-completions request that scheduling needs; the body itself is forwarded unchanged. */
struct ChatRequest
{
    std::string model;
    bool stream = false;
    std::uint32_t maxOutputTokens = DefaultMaxOutputTokens;
    std::string text; /**< content of all messages, concatenated */
    std::uint32_t promptTokens = 0; /**< estimated from the length of text */
    std::vector<std::uint64_t> prefixHashes; /**< at PrefixBoundaries (prompt.h), shortest prefix first */
};

/**
 * Reads the body of POST /v1/chat/completions. Content may be a string, null or an array of parts; of an array, only
 * the text parts are read. max_completion_tokens replaces max_tokens if both are set. The Failure's detail starts with
 * the JSON pointer of the first problem.
 */
state::Result<ChatRequest> readChatRequest(std::string_view body);

} // namespace sapphirecove::protocol
