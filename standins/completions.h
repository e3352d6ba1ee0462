#pragma once

#include <xxhash.h>

#include <array>
#include <cstdint>
#include <cstdio>
#include <string>
#include <string_view>

/**
 * Deterministic completions of the stand-in engine.
 *
 * A completion depends only on the prompt text and max_tokens, never on the engine, its version or its batch, so that
 * a test can compute it independently and compare it byte by byte. The prompt text is the concatenated content of all
 * messages. Token i of the completion is three letters and a space (4 bytes); the letters are derived from the XXH64
 * hash of the prompt text and i.
 */
namespace sapphirecove::standins {

/** Bytes of message text that count as one token. */
constexpr std::size_t BytesPerToken = 4;

/** Completion length in tokens if the request does not set max_tokens. */
constexpr int DefaultMaxTokens = 16;

/** Returns the hash from which the completion tokens for @p promptText are derived. */
inline std::uint64_t promptHash(std::string_view promptText)
{
    return XXH64(promptText.data(), promptText.size(), 0);
}

/** Returns token @p index (from 0) of the completion for the prompt hash @p hash; always 4 bytes. */
inline std::string completionToken(std::uint64_t hash, std::uint64_t index)
{
    // The splitmix64 finalizer makes the tokens of neighbouring indexes unrelated.
    std::uint64_t mixed = hash + (index + 1) * 0x9E3779B97F4A7C15ULL;
    mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBULL;
    mixed ^= mixed >> 31U;
    std::string token(BytesPerToken, ' ');
    for (std::size_t letter = 0; letter + 1 < BytesPerToken; ++letter) {
        token[letter] = static_cast<char>('a' + (mixed >> (16U * letter)) % 26U);
    }
    return token;
}

/** Returns the complete text of @p maxTokens tokens that an engine generates for @p promptText. */
inline std::string expectedCompletion(std::string_view promptText, int maxTokens)
{
    const std::uint64_t hash = promptHash(promptText);
    std::string completion;
    for (int index = 0; index < maxTokens; ++index) {
        completion += completionToken(hash, static_cast<std::uint64_t>(index));
    }
    return completion;
}

/** Returns the token count of @p bytes bytes of text: one token per 4 bytes, rounded up. */
constexpr int tokenCount(std::size_t bytes)
{
    return static_cast<int>((bytes + BytesPerToken - 1) / BytesPerToken);
}

/** Returns XXH64 of @p body as 16 hexadecimal digits, the form that the stand-ins record and echo. */
inline std::string bodyHash(std::string_view body)
{
    std::array<char, 17> digits{};
    std::snprintf(
        digits.data(), digits.size(), "%016llx", static_cast<unsigned long long>(XXH64(body.data(), body.size(), 0)));
    return digits.data();
}

} // namespace sapphirecove::standins
