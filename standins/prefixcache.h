#pragma once

#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sapphirecove::standins {

/** Bytes of message text in one block of the prefix cache. */
constexpr std::size_t BlockBytes = 1024;

/** Returns the chained hashes of the complete blocks of @p text: XXH64 of a block, seeded with the previous hash. */
std::vector<std::uint64_t> blockHashes(std::string_view text);

/** Blocks added to and removed from the cache; only those at the prefix lengths that cache events report. */
struct CacheChange
{
    std::vector<std::uint64_t> added;
    std::vector<std::uint64_t> removed;
};

/** Prefix cache of one engine; evicts the least recently used blocks, and of one prompt the last blocks first. */
class PrefixCache
{
public:
    /** Returns the number of leading blocks of @p hashes that are in the cache. */
    std::size_t match(const std::vector<std::uint64_t> &hashes) const;

    /** Adds the blocks of a prompt or marks them as used, then evicts blocks above @p capacity. */
    CacheChange insert(const std::vector<std::uint64_t> &hashes, std::size_t capacity);

private:
    struct Block
    {
        std::uint64_t hash = 0;
        bool isBoundary = false; /**< the prefix that ends with it has 1, 2, 4, ... or 128 blocks */
    };

    std::list<Block> m_blocks; // most recently used first
    std::unordered_map<std::uint64_t, std::list<Block>::iterator> m_index;
};

} // namespace sapphirecove::standins
