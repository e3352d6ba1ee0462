#include "standins/prefixcache.h"

#include <xxhash.h>

#include <bit>

namespace sapphirecove::standins {

namespace {

/** Length of the longest prefix that cache events report. */
constexpr std::size_t MaxReportedPrefixBlocks = 128;

} // namespace

std::vector<std::uint64_t> blockHashes(std::string_view text)
{
    std::vector<std::uint64_t> hashes;
    std::uint64_t previous = 0;
    for (std::size_t start = 0; start + BlockBytes <= text.size(); start += BlockBytes) {
        previous = XXH64(text.data() + start, BlockBytes, previous);
        hashes.push_back(previous);
    }
    return hashes;
}

std::size_t PrefixCache::match(const std::vector<std::uint64_t> &hashes) const
{
    std::size_t count = 0;
    while (count < hashes.size() && m_index.contains(hashes[count])) {
        ++count;
    }
    return count;
}

CacheChange PrefixCache::insert(const std::vector<std::uint64_t> &hashes, std::size_t capacity)
{
    CacheChange change;
    for (std::size_t position = hashes.size(); position > 0; --position) {
        const std::uint64_t hash = hashes[position - 1];
        const auto found = m_index.find(hash);
        if (found != m_index.end()) {
            m_blocks.splice(m_blocks.begin(), m_blocks, found->second);
            continue;
        }
        const bool isBoundary = std::has_single_bit(position) && position <= MaxReportedPrefixBlocks;
        m_blocks.push_front({ hash, isBoundary });
        m_index[hash] = m_blocks.begin();
        if (isBoundary) {
            change.added.push_back(hash);
        }
    }
    while (m_blocks.size() > capacity) {
        if (m_blocks.back().isBoundary) {
            change.removed.push_back(m_blocks.back().hash);
        }
        m_index.erase(m_blocks.back().hash);
        m_blocks.pop_back();
    }
    return change;
}

} // namespace sapphirecove::standins
