#include "coordination/entry/partset.h"

#include "coordination/entry/shorthash.h"

#include <boost/endian/conversion.hpp>

#include <algorithm>
#include <iterator>
#include <string_view>

namespace sapphirecove::coordination::entry {

namespace {

/** Unused sets that are looked for only once there are some more of them than sets in use. */
constexpr std::size_t UnusedSets = 64;

} // namespace

std::uint64_t hashOf(std::span<const std::uint64_t> numbers)
{
    std::vector<std::uint64_t> littleEndian(numbers.begin(), numbers.end());
    std::for_each(littleEndian.begin(), littleEndian.end(), [](std::uint64_t &number) {
        boost::endian::native_to_little_inplace(number);
    });
    return longHash(
        { reinterpret_cast<const char *>(littleEndian.data()), littleEndian.size() * sizeof(std::uint64_t) });
}

bool PartSet::contains(std::uint64_t part) const
{
    return std::binary_search(parts.begin(), parts.end(), part);
}

bool PartSet::includes(const PartSet &other) const
{
    // Most sets that are asked for share not even the first part.
    return other.parts.empty()
        || (contains(other.parts.front())
            && std::includes(parts.begin(), parts.end(), other.parts.begin(), other.parts.end()));
}

std::vector<std::uint64_t> sortedParts(std::span<const std::uint64_t> parts)
{
    std::vector<std::uint64_t> result(parts.begin(), parts.end());
    std::sort(result.begin(), result.end());
    result.erase(std::unique(result.begin(), result.end()), result.end());
    return result;
}

std::vector<std::uint64_t> partsWithout(std::span<const std::uint64_t> parts, std::span<const std::uint64_t> other)
{
    std::vector<std::uint64_t> rest;
    std::set_difference(parts.begin(), parts.end(), other.begin(), other.end(), std::back_inserter(rest));
    return rest;
}

PartSetPtr makePartSet(std::vector<std::uint64_t> parts)
{
    auto set = std::make_shared<PartSet>();
    set->parts = sortedParts(parts);
    set->hash = hashOf(set->parts);
    return set;
}

PartSetPtr PartSetPool::intern(std::vector<std::uint64_t> parts)
{
    return intern(makePartSet(std::move(parts)));
}

PartSetPtr PartSetPool::intern(const PartSetPtr &set)
{
    const auto [first, last] = m_byHash.equal_range(set->hash);
    for (auto known = first; known != last; ++known) {
        PartSetPtr held = known->second.lock();
        if (held && held->parts == set->parts) {
            return held;
        }
    }
    dropUnused();
    ++m_usage->sets;
    m_usage->parts += set->parts.size();
    PartSetPtr held(new PartSet(*set), [usage = m_usage](const PartSet *unused) {
        --usage->sets;
        usage->parts -= unused->parts.size();
        delete unused;
    });
    m_byHash.emplace(held->hash, held);
    return held;
}

PartSetPtr PartSetPool::common(const PartSetPtr &a, const PartSetPtr &b)
{
    if (a == b) {
        return a;
    }
    Result &result = m_common[{ a.get(), b.get() }];
    if (!result.common) {
        std::vector<std::uint64_t> parts;
        std::set_intersection(
            a->parts.begin(), a->parts.end(), b->parts.begin(), b->parts.end(), std::back_inserter(parts));
        result = { a, b, intern(std::move(parts)) };
    }
    return result.common;
}

void PartSetPool::dropUnused()
{
    if (m_byHash.size() > 2 * m_usage->sets + UnusedSets) {
        std::erase_if(m_byHash, [](const auto &entry) {
            return entry.second.expired();
        });
    }
}

} // namespace sapphirecove::coordination::entry
