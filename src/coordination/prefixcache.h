#pragma once

#include <boost/unordered/unordered_flat_map.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace sapphirecove::coordination {

/**
 * Predicts the prefix hashes that a target has cached; the number of hashes is bounded.
 * The least recently used hash is evicted first, as the engines evict cached prefixes.
 */
class PrefixCache
{
public:
    /** Creates an empty cache for at most @p capacity hashes. */
    explicit PrefixCache(std::size_t capacity);

    /** Returns how many leading elements of @p hashes (shortest prefix first) are present. */
    std::size_t match(std::span<const std::uint64_t> hashes) const;

    /** Adds the hashes of one prompt, shortest prefix first, or marks them as used. */
    void use(std::span<const std::uint64_t> hashes);

    /** Adds a hash without marking it as used if it is already present. */
    void add(std::uint64_t hash);

    /** Removes a hash if it is present. */
    void remove(std::uint64_t hash);

    void clear();

    std::size_t size() const;

private:
    static constexpr std::uint32_t None = 0xffffffff;

    struct Node
    {
        std::uint64_t hash = 0;
        std::uint32_t newer = None;
        std::uint32_t older = None;
    };

    void touch(std::uint64_t hash);
    void unlink(std::uint32_t index);
    void linkNewest(std::uint32_t index);
    std::uint32_t allocateNode();

    std::size_t m_capacity;
    boost::unordered_flat_map<std::uint64_t, std::uint32_t> m_index;
    std::vector<Node> m_nodes;
    std::vector<std::uint32_t> m_free;
    std::uint32_t m_newest = None;
    std::uint32_t m_oldest = None;
};

} // namespace sapphirecove::coordination
