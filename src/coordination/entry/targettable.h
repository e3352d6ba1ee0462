#pragma once

#include "coordination/entry/targetload.h"
#include "state/entry/targetentry.h"
#include "state/time.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sapphirecove::coordination::entry {

/**
 * Targets of all services as discovery lists them.
 *
 * An entry that disappears is dropped at once, except shortly after the store was away: entries lapse with the store
 * and come back within LapsedEntryGrace.
 */
class TargetTable
{
public:
    /** Adds or updates a target. An entry with a new start time is a new incarnation and replaces the old one. */
    void listed(const state::entry::TargetEntry &entry);

    /** The entry of @p id was removed; @p storeWasUnavailable tells whether the store has just come back. */
    void removed(std::string_view id, bool storeWasUnavailable, state::Time now);

    /** A complete list was read: entries that are not in @p ids are removed. */
    void retainOnly(const std::vector<std::string> &ids, bool storeWasUnavailable, state::Time now);

    /** Returns whether any entry has lapsed with the store and is kept for its grace: it may be one that has left. */
    bool hasLapsed() const;

    /** Drops the entries whose grace has passed; returns whether there were any. */
    bool expire(state::Time now);

    /** Returns the target with @p id; nullptr if there is none. */
    TargetLoad *find(std::string_view id);

    /** Returns the target with @p hash; nullptr if there is none. */
    TargetLoad *findByHash(std::uint32_t hash);

    /** Returns all targets of @p service, leaving ones included. */
    const std::vector<TargetLoad *> &ofService(std::string_view service) const;

    /** Returns all targets. */
    std::vector<TargetLoad *> all() const;

    /** Stops new requests to a target that was found to be another incarnation, until discovery lists it again. */
    void misdirected(std::string_view id);

    /** Returns whether new requests may go to @p target as far as discovery says. */
    bool accepts(const TargetLoad &target) const;

    std::size_t size() const
    {
        return m_targets.size();
    }

private:
    struct Item
    {
        std::unique_ptr<TargetLoad> load;
        std::optional<state::Time> dropAt; /**< the entry lapsed */
        bool misdirected = false;
    };

    void rebuildIndex();

    std::map<std::string, Item, std::less<>> m_targets;
    std::unordered_map<std::uint32_t, TargetLoad *> m_byHash;
    std::map<std::string, std::vector<TargetLoad *>, std::less<>> m_byService;
};

} // namespace sapphirecove::coordination::entry
