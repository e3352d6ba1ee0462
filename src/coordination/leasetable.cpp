#include "coordination/leasetable.h"

#include <algorithm>

namespace sapphirecove::coordination {

LeaseTable::LeaseTable(const state::HostId &host, state::Incarnation incarnation)
    : m_host(host)
    , m_incarnation(incarnation)
{
}

LeaseTable LeaseTable::create(const state::HostId &host, state::Incarnation incarnation)
{
    return LeaseTable(host, incarnation);
}

void LeaseTable::readFrom(state::Offset first, state::Time now)
{
    if (first <= m_position) {
        return;
    }
    m_position = first;
    m_entries.clear();
    m_waitUntil = now + LeaseDuration;
}

std::optional<LeaseOutcome> LeaseTable::apply(const state::StoredRecord &stored, state::Time now)
{
    const auto *taken = std::get_if<state::LeaseTaken>(&stored.record);
    if (taken == nullptr || stored.offset < m_position) {
        return std::nullopt;
    }
    m_position = stored.offset + 1;
    auto &entry = m_entries[taken->name];
    const bool sameHolder = entry.lease.holder == taken->holder && entry.lease.incarnation == taken->incarnation;
    const bool expired = !entry.held || stored.time >= entry.lease.expires;
    LeaseOutcome outcome{ taken->name, taken->holder, expired || sameHolder, expired, entry.lease.fencing };
    if (!outcome.valid) {
        return outcome;
    }
    if (expired) {
        outcome.fencing = stored.offset;
    }
    entry.held = true;
    entry.lease = { taken->holder, taken->incarnation, outcome.fencing, stored.time + taken->duration };
    entry.lastRead = now;
    entry.duration = taken->duration;
    const auto actUntil = taken->sent + taken->duration - Margin;
    entry.actUntil = expired ? actUntil : std::max(entry.actUntil, actUntil);
    return outcome;
}

void LeaseTable::readTo(state::Offset next, bool atEnd)
{
    m_position = std::max(m_position, next);
    m_caughtUp = m_caughtUp || atEnd;
}

state::Offset LeaseTable::readPosition() const
{
    return m_position;
}

bool LeaseTable::isOwn(const Lease &lease) const
{
    return lease.holder == m_host && lease.incarnation == m_incarnation;
}

bool LeaseTable::hasLapsed(const Entry &entry, state::Time now)
{
    // The log stored the record before it was read, so this never comes before the expiry by the log's clock.
    return !entry.held || now - entry.lastRead >= entry.duration;
}

bool LeaseTable::appendedLately(const Entry &entry, state::Time now)
{
    return entry.lastSent && now - *entry.lastSent < AppendInterval;
}

std::optional<Lease> LeaseTable::holder(const std::string &name, state::Time now) const
{
    const auto found = m_entries.find(name);
    if (found == m_entries.end() || hasLapsed(found->second, now)) {
        return std::nullopt;
    }
    return found->second.lease;
}

bool LeaseTable::mayAct(const std::string &name, state::Time now) const
{
    const auto found = m_entries.find(name);
    if (found == m_entries.end()) {
        return false;
    }
    const auto &entry = found->second;
    return entry.held && !entry.released && isOwn(entry.lease) && now < entry.actUntil;
}

std::optional<state::Offset> LeaseTable::fencing(const std::string &name, state::Time now) const
{
    return mayAct(name, now) ? std::optional(m_entries.at(name).lease.fencing) : std::nullopt;
}

bool LeaseTable::needsRenewal(const std::string &name, state::Time now) const
{
    if (!mayAct(name, now)) {
        return false;
    }
    const auto &entry = m_entries.at(name);
    const auto sent = entry.actUntil + Margin - entry.duration;
    return now - sent >= RenewAfter && !appendedLately(entry, now);
}

bool LeaseTable::shouldAcquire(const std::string &name, bool selected, state::Time now) const
{
    if (!selected || !m_caughtUp || (m_waitUntil && now < *m_waitUntil)) {
        return false;
    }
    const auto found = m_entries.find(name);
    if (found == m_entries.end()) {
        return true;
    }
    const auto &entry = found->second;
    return !entry.released && hasLapsed(entry, now) && !appendedLately(entry, now);
}

state::LeaseTaken LeaseTable::take(const std::string &name, state::Time now)
{
    auto &entry = m_entries[name];
    entry.lastSent = now;
    return { name, m_host, m_incarnation, LeaseDuration, now };
}

state::LeaseTaken LeaseTable::release(const std::string &name, state::Time now)
{
    auto &entry = m_entries[name];
    entry.lastSent = now;
    entry.released = true;
    return { name, m_host, m_incarnation, state::Duration(0), now };
}

} // namespace sapphirecove::coordination
