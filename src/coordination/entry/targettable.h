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
 * Targets of all services as listed by discovery.
 *
 * An entry that disappears is dropped at once, except shortly after the store was unavailable: entries expire with the
 * store and are restored within ExpiredEntryGrace.
 */
class TargetTable
{
public:
    /** Adds or updates a target. An entry with a new start time is a new incarnation and replaces the old one. */
    void listed(const state::entry::TargetEntry &entry);

    /**
     * Adds or updates a target from the listing of a store that has come back from an older copy. The entry of a target
     * that was removed shortly before is not used until it has stayed long enough that its target must be alive.
     */
    void listedInCopy(const state::entry::TargetEntry &entry, state::Time now);

    /**
     * Removes the entry of @p id, or marks it as expired; @p storeWasUnavailable tells whether the store has just
     * returned.
     */
    void removed(std::string_view id, bool storeWasUnavailable, state::Time now);

    /** Removes all entries that are not in @p ids, a complete list. */
    void retainOnly(const std::vector<std::string> &ids, bool storeWasUnavailable, state::Time now);

    /** Returns whether any expired entry is kept for its grace period; its target may have left. */
    bool hasLapsed() const;

    /** Drops the entries whose grace period has passed, and uses those held back; returns whether there were any. */
    bool expire(state::Time now);

    /** Returns the target with @p id; nullptr if there is none. */
    TargetLoad *find(std::string_view id);

    /** Returns the target with @p hash; nullptr if there is none. */
    TargetLoad *findByHash(std::uint32_t hash);

    /** Returns all targets of @p service, including draining ones. */
    const std::vector<TargetLoad *> &ofService(std::string_view service) const;

    /** Returns all targets. */
    std::vector<TargetLoad *> all() const;

    /** Stops new requests to a target that turned out to be another incarnation, until discovery lists it again. */
    void misdirected(std::string_view id);

    /** Returns whether discovery permits new requests to @p target. */
    bool accepts(const TargetLoad &target) const;

    std::size_t size() const
    {
        return m_targets.size();
    }

private:
    struct Item
    {
        std::unique_ptr<TargetLoad> load;
        std::optional<state::Time> dropAt; /**< set if the entry expired */
        bool misdirected = false;
    };

    /** Incarnation whose entry was removed. */
    struct Removed
    {
        std::int64_t startedUnixMs = 0;
        state::Time at{};
    };

    /** Entry of a copy that is not used yet. */
    struct HeldBack
    {
        state::entry::TargetEntry entry;
        state::Time until{};
    };

    void rebuildIndex();

    std::map<std::string, Removed, std::less<>> m_removed; /**< by id; of the last minute */
    std::map<std::string, HeldBack, std::less<>> m_heldBack; /**< by id */
    std::map<std::string, Item, std::less<>> m_targets;
    std::unordered_map<std::uint32_t, TargetLoad *> m_byHash;
    std::map<std::string, std::vector<TargetLoad *>, std::less<>> m_byService;
};

} // namespace sapphirecove::coordination::entry
