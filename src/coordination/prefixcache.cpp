#include "coordination/prefixcache.h"

#include <algorithm>

namespace sapphirecove::coordination {

PrefixCache::PrefixCache(std::size_t capacity)
    : m_capacity(std::max<std::size_t>(capacity, 1))
{
}

std::size_t PrefixCache::match(std::span<const std::uint64_t> hashes) const
{
    std::size_t count = 0;
    while (count < hashes.size() && m_index.contains(hashes[count])) {
        ++count;
    }
    return count;
}

void PrefixCache::use(std::span<const std::uint64_t> hashes)
{
    // The longest prefix is marked as used first, so that it is evicted before the shorter prefixes that it depends on.
    for (auto hash = hashes.rbegin(); hash != hashes.rend(); ++hash) {
        touch(*hash);
    }
}

void PrefixCache::add(std::uint64_t hash)
{
    if (!m_index.contains(hash)) {
        touch(hash);
    }
}

void PrefixCache::remove(std::uint64_t hash)
{
    const auto position = m_index.find(hash);
    if (position == m_index.end()) {
        return;
    }
    const std::uint32_t index = position->second;
    m_index.erase(position);
    unlink(index);
    m_free.push_back(index);
}

void PrefixCache::clear()
{
    m_index.clear();
    m_nodes.clear();
    m_free.clear();
    m_newest = None;
    m_oldest = None;
}

std::size_t PrefixCache::size() const
{
    return m_index.size();
}

void PrefixCache::touch(std::uint64_t hash)
{
    const auto position = m_index.find(hash);
    if (position != m_index.end()) {
        unlink(position->second);
        linkNewest(position->second);
        return;
    }
    const std::uint32_t index = allocateNode();
    m_nodes[index].hash = hash;
    m_index.emplace(hash, index);
    linkNewest(index);
}

void PrefixCache::unlink(std::uint32_t index)
{
    const Node &node = m_nodes[index];
    if (node.newer == None) {
        m_newest = node.older;
    } else {
        m_nodes[node.newer].older = node.older;
    }
    if (node.older == None) {
        m_oldest = node.newer;
    } else {
        m_nodes[node.older].newer = node.newer;
    }
}

void PrefixCache::linkNewest(std::uint32_t index)
{
    m_nodes[index].newer = None;
    m_nodes[index].older = m_newest;
    if (m_newest == None) {
        m_oldest = index;
    } else {
        m_nodes[m_newest].newer = index;
    }
    m_newest = index;
}

std::uint32_t PrefixCache::allocateNode()
{
    if (m_index.size() >= m_capacity) {
        remove(m_nodes[m_oldest].hash);
    }
    if (m_free.empty()) {
        m_nodes.emplace_back();
        return static_cast<std::uint32_t>(m_nodes.size() - 1);
    }
    const std::uint32_t index = m_free.back();
    m_free.pop_back();
    return index;
}

} // namespace sapphirecove::coordination
