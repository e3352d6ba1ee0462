#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace sapphirecove::coordination::entry {

/** Numbers of parts of prompts and of whole requests, ascending and each once; see isRequestSuspect(). */
struct PartSet
{
    std::vector<std::uint64_t> parts;
    std::uint64_t hash = 0; /**< of the numbers; the same on all hosts */

    bool contains(std::uint64_t part) const;

    /** Returns whether all parts of @p other are in this set. */
    bool includes(const PartSet &other) const;

    friend bool operator==(const PartSet &a, const PartSet &b)
    {
        return a.hash == b.hash && a.parts == b.parts;
    }
};

/** Shared, as one long prompt would otherwise be copied for each of its parts. */
using PartSetPtr = std::shared_ptr<const PartSet>;

/** Returns the set of @p parts, which may be in any order and repeat. */
PartSetPtr makePartSet(std::vector<std::uint64_t> parts);

/** Returns a hash of @p numbers that is the same on all hosts. */
std::uint64_t hashOf(std::span<const std::uint64_t> numbers);

/** Returns @p parts in ascending order, each once. */
std::vector<std::uint64_t> sortedParts(std::span<const std::uint64_t> parts);

/** Returns the parts of @p parts that @p other lacks; both are ascending, as is the result. */
std::vector<std::uint64_t> partsWithout(std::span<const std::uint64_t> parts, std::span<const std::uint64_t> other);

/** Sets of parts of which each is held once, so that equal sets have the same address. */
class PartSetPool
{
public:
    PartSetPtr intern(std::vector<std::uint64_t> parts);
    PartSetPtr intern(const PartSetPtr &set);

    /** Returns the parts that both sets have. Repeated calls with the same sets are cheap until forgetResults(). */
    PartSetPtr common(const PartSetPtr &a, const PartSetPtr &b);

    /** Forgets the results of common(), which keep their sets in memory. */
    void forgetResults()
    {
        m_common.clear();
    }

    /** Returns how many numbers all sets that are in use have together. */
    std::size_t heldParts() const
    {
        return m_usage->parts;
    }

private:
    /** Of the sets in use; lives as long as the last of them. */
    struct Usage
    {
        std::size_t sets = 0;
        std::size_t parts = 0;
    };

    struct Result
    {
        PartSetPtr a; /**< kept so that its address is not given to another set */
        PartSetPtr b;
        PartSetPtr common;
    };

    void dropUnused();

    std::shared_ptr<Usage> m_usage = std::make_shared<Usage>();
    std::unordered_multimap<std::uint64_t, std::weak_ptr<const PartSet>> m_byHash;
    std::map<std::pair<const PartSet *, const PartSet *>, Result> m_common;
};

} // namespace sapphirecove::coordination::entry
