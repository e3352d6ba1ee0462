#pragma once

#include <xxhash.h>

#include <array>
#include <cstdint>
#include <cstdio>
#include <string>
#include <string_view>

/**
 * Answers that the stand-in engine gives.
 *
 * An answer depends on the prompt text and max_tokens only, never on the engine, its version or its batch, so that a
 * test can compute every answer and compare it byte by byte. The prompt text is the content of all messages,
 * concatenated. Token i of the answer is three letters and a space (4 bytes); the letters come from a mix of the
 * XXH64 hash of the prompt text and i.
 */
namespace sapphirecove::standins {

/** Bytes of message text that count as one token. */
constexpr std::size_t BytesPerToken = 4;

/** Tokens of an answer whose request names no max_tokens. */
constexpr int DefaultMaxTokens = 16;

/** Returns the hash that the tokens of the answer to @p promptText are derived from. */
inline std::uint64_t promptHash(std::string_view promptText)
{
    return XXH64(promptText.data(), promptText.size(), 0);
}

/** Returns token @p index (from 0) of the answer to the prompt with the hash @p hash; always 4 bytes. */
inline std::string completionToken(std::uint64_t hash, std::uint64_t index)
{
    // Finalizer of splitmix64: neighbouring indexes give unrelated tokens.
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

/** Returns the whole answer to @p promptText with @p maxTokens tokens. */
inline std::string expectedCompletion(std::string_view promptText, int maxTokens)
{
    const std::uint64_t hash = promptHash(promptText);
    std::string answer;
    for (int index = 0; index < maxTokens; ++index) {
        answer += completionToken(hash, static_cast<std::uint64_t>(index));
    }
    return answer;
}

/** Returns the tokens that @p bytes bytes of text count as: one for each started 4 bytes. */
constexpr int tokensOf(std::size_t bytes)
{
    return static_cast<int>((bytes + BytesPerToken - 1) / BytesPerToken);
}

/** Returns XXH64 of @p body as 16 hexadecimal digits, as the stand-ins record and echo it. */
inline std::string bodyHash(std::string_view body)
{
    std::array<char, 17> digits{};
    std::snprintf(
        digits.data(), digits.size(), "%016llx", static_cast<unsigned long long>(XXH64(body.data(), body.size(), 0)));
    return digits.data();
}

} // namespace sapphirecove::standins
