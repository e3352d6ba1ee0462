#include "protocol/prompt.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <limits>

namespace sapphirecove::protocol {

std::uint32_t estimateTokens(std::size_t bytes)
{
    const std::size_t tokens = bytes / BytesPerToken + (bytes % BytesPerToken == 0 ? 0 : 1);
    return static_cast<std::uint32_t>(std::min<std::size_t>(tokens, std::numeric_limits<std::uint32_t>::max()));
}

std::vector<std::uint64_t> prefixHashes(std::string_view text)
{
    std::vector<std::uint64_t> hashes;
    std::uint64_t hash = 0;
    std::size_t hashedBlocks = 0;
    for (const std::size_t boundary : PrefixBoundaries) {
        if (text.size() / PrefixBlockBytes < boundary) {
            break;
        }
        for (; hashedBlocks < boundary; ++hashedBlocks) {
            hash = XXH64(text.data() + hashedBlocks * PrefixBlockBytes, PrefixBlockBytes, hash);
        }
        hashes.push_back(hash);
    }
    return hashes;
}

} // namespace sapphirecove::protocol
