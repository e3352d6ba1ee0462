#include "coordination/entry/targettable.h"

#include <algorithm>

namespace sapphirecove::coordination::entry {

namespace {

/** Time after the store's return within which the deployment guarantees that entries expired with it are restored. */
constexpr state::Duration ExpiredEntryGrace = std::chrono::milliseconds(2000);

/** Time for which removed targets are remembered: longer than a store's copy is old. */
constexpr state::Duration KeepRemoved = std::chrono::seconds(60);

/** Time after which the store removes the entry of a target that is silent, with a margin: several heartbeats. */
constexpr state::Duration SilentEntryLifetime = std::chrono::seconds(6);

} // namespace

void TargetTable::listed(const state::entry::TargetEntry &entry)
{
    m_heldBack.erase(entry.id);
    Item &item = m_targets[entry.id];
    item.dropAt.reset();
    const bool sameProcess = item.load && item.load->entry().startedUnixMs == entry.startedUnixMs
        && item.load->entry().address == entry.address && item.load->entry().port == entry.port
        && item.load->entry().service == entry.service;
    if (sameProcess) {
        state::entry::TargetEntry updated = entry;
        // A process that drains does not become ready again; only an older copy of its entry says so.
        updated.draining = entry.draining || (entry.startedUnixMs != 0 && item.load->entry().draining);
        item.load->update(std::move(updated));
        return;
    }
    item.misdirected = false;
    item.load = std::make_unique<TargetLoad>(entry);
    rebuildIndex();
}

void TargetTable::listedInCopy(const state::entry::TargetEntry &entry, state::Time now)
{
    const auto before = m_removed.find(entry.id);
    const bool wasRemoved = before != m_removed.end() && before->second.startedUnixMs == entry.startedUnixMs
        && !m_targets.contains(entry.id);
    if (!wasRemoved) {
        listed(entry);
        return;
    }
    m_heldBack.insert_or_assign(entry.id, HeldBack{ entry, now + SilentEntryLifetime });
}

void TargetTable::removed(std::string_view id, bool storeWasUnavailable, state::Time now)
{
    if (const auto heldBack = m_heldBack.find(id); heldBack != m_heldBack.end()) {
        m_heldBack.erase(heldBack);
    }
    const auto found = m_targets.find(id);
    if (found == m_targets.end()) {
        return;
    }
    if (storeWasUnavailable && !found->second.load->entry().draining) {
        if (!found->second.dropAt) {
            found->second.dropAt = now + ExpiredEntryGrace;
        }
        return;
    }
    m_removed.insert_or_assign(found->first, Removed{ found->second.load->entry().startedUnixMs, now });
    m_targets.erase(found);
    rebuildIndex();
}

void TargetTable::retainOnly(const std::vector<std::string> &ids, bool storeWasUnavailable, state::Time now)
{
    std::erase_if(m_heldBack, [&ids](const auto &entry) {
        return std::find(ids.begin(), ids.end(), entry.first) == ids.end();
    });
    std::vector<std::string> missing;
    for (const auto &[id, item] : m_targets) {
        if (std::find(ids.begin(), ids.end(), id) == ids.end()) {
            missing.push_back(id);
        }
    }
    for (const auto &id : missing) {
        removed(id, storeWasUnavailable, now);
    }
}

bool TargetTable::hasLapsed() const
{
    return std::any_of(m_targets.begin(), m_targets.end(), [](const auto &entry) {
        return entry.second.dropAt.has_value();
    });
}

bool TargetTable::expire(state::Time now)
{
    std::erase_if(m_removed, [now](const auto &entry) {
        return now - entry.second.at > KeepRemoved;
    });
    std::vector<state::entry::TargetEntry> alive;
    for (const auto &[id, heldBack] : m_heldBack) {
        if (heldBack.until <= now) {
            alive.push_back(heldBack.entry);
        }
    }
    for (const auto &entry : alive) {
        listed(entry);
    }
    const auto dropped = std::erase_if(m_targets, [now](const auto &entry) {
        return entry.second.dropAt && *entry.second.dropAt <= now;
    });
    if (dropped > 0) {
        rebuildIndex();
    }
    return dropped > 0 || !alive.empty();
}

TargetLoad *TargetTable::find(std::string_view id)
{
    const auto found = m_targets.find(id);
    return found == m_targets.end() ? nullptr : found->second.load.get();
}

TargetLoad *TargetTable::findByHash(std::uint32_t hash)
{
    const auto found = m_byHash.find(hash);
    return found == m_byHash.end() ? nullptr : found->second;
}

const std::vector<TargetLoad *> &TargetTable::ofService(std::string_view service) const
{
    static const std::vector<TargetLoad *> None;
    const auto found = m_byService.find(service);
    return found == m_byService.end() ? None : found->second;
}

std::vector<TargetLoad *> TargetTable::all() const
{
    std::vector<TargetLoad *> result;
    result.reserve(m_targets.size());
    for (const auto &[id, item] : m_targets) {
        result.push_back(item.load.get());
    }
    return result;
}

void TargetTable::misdirected(std::string_view id)
{
    const auto found = m_targets.find(id);
    if (found != m_targets.end()) {
        found->second.misdirected = true;
    }
}

bool TargetTable::accepts(const TargetLoad &target) const
{
    if (target.entry().draining) {
        return false;
    }
    const auto found = m_targets.find(target.entry().id);
    return found != m_targets.end() && !found->second.misdirected;
}

void TargetTable::rebuildIndex()
{
    m_byHash.clear();
    m_byService.clear();
    for (const auto &[id, item] : m_targets) {
        m_byHash[item.load->hash()] = item.load.get();
        m_byService[item.load->entry().service].push_back(item.load.get());
    }
}

} // namespace sapphirecove::coordination::entry
