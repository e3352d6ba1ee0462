#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace sapphirecove::protocol {

/** Bytes of message text that count as one token in estimates. */
constexpr std::size_t BytesPerToken = 4;

/** Bytes of one block of a hashed prefix. */
constexpr std::size_t PrefixBlockBytes = 1024;

/**
 * Lengths, in blocks, of the prefixes whose hashes slot requests carry. With more hashes, a slot request would exceed
 * 600 bytes.
 */
constexpr std::size_t PrefixBoundaries[] = { 1, 2, 4, 8, 16, 32, 64, 128 };

/** Returns the estimated tokens of a text of @p bytes: one per BytesPerToken bytes, rounded up. */
std::uint32_t estimateTokens(std::size_t bytes);

/** Returns the chained hashes of the prefixes of @p text that end at the boundaries, shortest first. */
std::vector<std::uint64_t> prefixHashes(std::string_view text);

} // namespace sapphirecove::protocol
