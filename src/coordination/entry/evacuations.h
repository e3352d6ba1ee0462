#pragma once

#include "coordination/entry/peerreport.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace sapphirecove::coordination::entry {

/** Position in the operator's topic up to which a statement about it holds. */
struct TopicPosition
{
    std::uint64_t era = 0; /**< of the metadata store, 0 if it states none; offsets of different eras do not compare */
    std::uint64_t offset = 0;

    friend bool operator==(const TopicPosition &, const TopicPosition &) = default;

    friend bool operator<(const TopicPosition &first, const TopicPosition &second)
    {
        return std::tie(first.era, first.offset) < std::tie(second.era, second.offset);
    }
};

/** A failure domain whose evacuation has begun or ended. */
struct EvacuationChange
{
    std::string domain;
    bool evacuated = false;
    bool fromPeer = false;
    TopicPosition position;
};

/**
 * The failure domains to whose targets nothing more may be sent, by the operator's order.
 *
 * Answers the load of a whole failure domain that moves to the others at once. Hosts learn of an order from the
 * metadata store or from each other; what the store held at the later position is in force.
 */
class Evacuations
{
public:
    /**
     * Records that the store held or did not hold an order for @p domain at @p position. Returns false if there are too
     * many domains to remember it.
     */
    bool recorded(std::string_view domain, bool evacuated, TopicPosition position);

    /**
     * Ends all evacuations but those of @p domains, as the store held no others at @p position. Those that were ordered
     * in another era stay until a record says otherwise.
     */
    void endOthers(const std::set<std::string, std::less<>> &domains, TopicPosition position);

    /** Processes what another host knows. */
    void merge(std::span<const EvacuationShare> shares);

    /** Returns whether nothing more may be sent to the targets in @p domain. */
    bool isEvacuated(std::string_view domain) const
    {
        return m_evacuated > 0 && evacuatedAt(domain);
    }

    /** Returns the number of evacuated domains. */
    std::size_t evacuatedCount() const
    {
        return m_evacuated;
    }

    /** Returns a number that grows whenever an evacuation begins. */
    std::uint64_t begun() const
    {
        return m_begun;
    }

    /** Returns a number that two hosts share if they know the same; 0 if no order was ever seen. */
    std::uint32_t digest() const
    {
        return m_digest;
    }

    /** Returns what this host knows, for reports and for replies to them. */
    std::vector<EvacuationShare> shares() const;

    /** Returns the evacuations that have begun or ended since the last call. */
    std::vector<EvacuationChange> takeChanges()
    {
        return std::exchange(m_changes, {});
    }

    /** Returns whether this host has read something since the last call that other hosts should know at once. */
    bool takeUrgent()
    {
        return std::exchange(m_urgent, false);
    }

private:
    struct Item
    {
        bool evacuated = false;
        TopicPosition position;
    };

    bool evacuatedAt(std::string_view domain) const;
    bool update(std::string_view domain, Item item, bool fromPeer);
    bool makeRoom();
    void updateDigest();

    std::map<std::string, Item, std::less<>> m_domains;
    std::size_t m_evacuated = 0;
    std::uint64_t m_begun = 0;
    std::uint32_t m_digest = 0;
    std::vector<EvacuationChange> m_changes;
    bool m_urgent = false;
};

} // namespace sapphirecove::coordination::entry
