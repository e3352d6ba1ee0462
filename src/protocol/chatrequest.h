#pragma once

#include "state/failure.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirecove::protocol {

/** Output tokens assumed for a chat call that sets no limit. */
constexpr std::uint32_t DefaultMaxOutputTokens = 256;

/** Highest limit on output tokens that a chat call may set. */
constexpr std::uint32_t HighestMaxOutputTokens = 1'000'000;

/** What the product reads of a chat-completions request; the body itself is forwarded unchanged. */
struct ChatRequest
{
    std::string model;
    bool stream = false;
    std::uint32_t maxOutputTokens = DefaultMaxOutputTokens;
    std::string text; /**< content of all messages, concatenated */
    std::uint32_t promptTokens = 0; /**< estimate */
    std::vector<std::uint64_t> prefixHashes; /**< at the boundaries of prompt.h, shortest first */
};

/**
 * Reads the body of POST /v1/chat/completions. Content may be a string, null or an array of parts, of which the text
 * parts count. max_completion_tokens replaces max_tokens if both are set. The Failure's detail starts with the JSON
 * pointer of the first problem.
 */
state::Result<ChatRequest> readChatRequest(std::string_view body);

} // namespace sapphirecove::protocol
