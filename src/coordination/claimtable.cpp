#include "coordination/claimtable.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace sapphirecove::coordination {

namespace {

constexpr state::Duration InitialBackoff = std::chrono::milliseconds(40);

std::uint64_t hashOfClaim(const state::ClaimId &claim)
{
    return XXH3_64bits(claim.data(), claim.size());
}

} // namespace

ClaimTable::ClaimTable(const ClaimTableOptions &options)
    : m_options(options)
{
}

ClaimTable ClaimTable::create(const ClaimTableOptions &options)
{
    return ClaimTable(options);
}

ClaimTable::KeyHash ClaimTable::hashOf(std::string_view customer, std::string_view key)
{
    std::string text(customer);
    text += '\0';
    text += key;
    const auto hash = XXH3_128bits(text.data(), text.size());
    return { hash.low64, hash.high64 };
}

void ClaimTable::readFrom(state::Offset first)
{
    if (first <= m_position) {
        return;
    }
    m_position = first;
    std::erase_if(m_own, [](const auto &item) {
        return item.second.result == ClaimResult::Pending;
    });
}

void ClaimTable::apply(const state::StoredRecord &stored)
{
    if (stored.offset < m_position) {
        return;
    }
    m_position = stored.offset + 1;
    // Record times determine expiry, so a log clock that steps back must not make expired claims valid again.
    m_logTime = std::max(m_logTime, stored.time);
    expire(m_logTime);
    if (const auto *claim = std::get_if<state::ClaimMade>(&stored.record)) {
        applyClaim(*claim);
    } else if (const auto *released = std::get_if<state::ClaimReleased>(&stored.record)) {
        applyReleased(*released);
    } else if (const auto *finished = std::get_if<state::ClaimFinished>(&stored.record)) {
        applyFinished(*finished);
    }
}

ClaimTable::Entry *ClaimTable::find(const KeyHash &key, const state::ClaimId &claim)
{
    const auto found = m_keys.find(key);
    if (found == m_keys.end()) {
        return nullptr;
    }
    auto &entries = found->second;
    const auto entry = std::find_if(entries.begin(), entries.end(), [&](const Entry &other) {
        return other.claim == claim;
    });
    return entry == entries.end() ? nullptr : &*entry;
}

bool ClaimTable::isOwnClaim(const state::ClaimMade &claim) const
{
    return claim.host == m_options.host && claim.incarnation == m_options.incarnation;
}

void ClaimTable::applyClaim(const state::ClaimMade &claim)
{
    const auto key = hashOf(claim.customer, claim.key);
    const auto claimHash = hashOfClaim(claim.claimId);
    if (m_released.contains(claimHash)) {
        // A reader that starts between the first release and this record sees the claim as held, so release it again.
        if (isOwnClaim(claim)) {
            release(claim);
        }
        return;
    }
    if (find(key, claim.claimId) != nullptr) {
        return;
    }
    auto &entries = m_keys[key];
    const bool won = entries.empty();
    Entry entry;
    entry.claim = claim.claimId;
    entry.owner = m_owners.try_emplace({ claim.host, claim.incarnation }, 0).first;
    ++entry.owner->second;
    entries.push_back(std::move(entry));
    ++m_size;
    m_expiry.push_back({ m_logTime, key, claimHash });
    if (isOwnClaim(claim)) {
        resolveOwnClaim(claim, won);
    }
}

void ClaimTable::resolveOwnClaim(const state::ClaimMade &claim, bool won)
{
    m_backoff = state::Duration(0);
    const auto found = m_own.find(claim.claimId);
    const bool isPending = found != m_own.end() && found->second.result == ClaimResult::Pending;
    if (isPending) {
        found->second.result = won ? ClaimResult::Won : ClaimResult::Lost;
    }
    if (!isPending || !won) {
        release(claim);
    }
}

void ClaimTable::applyReleased(const state::ClaimReleased &released)
{
    confirm(released.claimId);
    const auto key = hashOf(released.customer, released.key);
    const auto *entry = find(key, released.claimId);
    if (entry == nullptr || entry->state != KeyState::Held) {
        return;
    }
    const auto claim = hashOfClaim(released.claimId);
    remove(key, claim);
    m_released[claim] = m_logTime;
    m_releasedExpiry.emplace_back(m_logTime, claim);
}

void ClaimTable::applyFinished(const state::ClaimFinished &finished)
{
    confirm(finished.claimId);
    auto *entry = find(hashOf(finished.customer, finished.key), finished.claimId);
    if (entry != nullptr) {
        entry->state = KeyState::Finished;
        entry->status = static_cast<std::int16_t>(finished.status);
    }
}

void ClaimTable::expire(state::Time time)
{
    while (!m_expiry.empty() && time - m_expiry.front().time > m_options.retention) {
        const auto expiry = m_expiry.front();
        remove(expiry.key, expiry.claim);
        m_expiry.pop_front();
    }
    while (!m_releasedExpiry.empty() && time - m_releasedExpiry.front().first > m_options.retention) {
        m_released.erase(m_releasedExpiry.front().second);
        m_releasedExpiry.pop_front();
    }
}

void ClaimTable::remove(const KeyHash &key, std::uint64_t claim)
{
    const auto found = m_keys.find(key);
    if (found == m_keys.end()) {
        return;
    }
    auto &entries = found->second;
    const auto entry = std::find_if(entries.begin(), entries.end(), [&](const Entry &other) {
        return hashOfClaim(other.claim) == claim;
    });
    if (entry == entries.end()) {
        return;
    }
    const auto owner = entry->owner;
    entries.erase(entry);
    --m_size;
    --owner->second;
    if (owner->second == 0) {
        m_owners.erase(owner);
    }
    if (entries.empty()) {
        m_keys.erase(found);
    }
}

void ClaimTable::readTo(state::Offset next, bool atEnd)
{
    m_position = std::max(m_position, next);
    m_caughtUp = m_caughtUp || atEnd;
}

state::Offset ClaimTable::readPosition() const
{
    return m_position;
}

bool ClaimTable::isCaughtUp() const
{
    return m_caughtUp;
}

KeyView ClaimTable::view(const state::CustomerId &customer, std::string_view key) const
{
    const auto found = m_keys.find(hashOf(customer, key));
    if (found == m_keys.end()) {
        return {};
    }
    const auto &entry = found->second.front();
    const auto &[host, incarnation] = entry.owner->first;
    return { entry.state, entry.claim, host, incarnation, entry.status };
}

bool ClaimTable::propose(const state::ClaimId &claim, const state::CustomerId &customer, std::string_view key)
{
    const bool isFull = m_size >= m_options.maxClaims || m_own.size() >= MaxOwnClaims;
    if (isFull || !m_caughtUp || m_own.contains(claim)) {
        return false;
    }
    OwnClaim own;
    own.record = { claim, customer, std::string(key), m_options.host, m_options.incarnation };
    m_own.emplace(claim, std::move(own));
    m_claimOutbox.unsent.push_back(claim);
    return true;
}

ClaimResult ClaimTable::result(const state::ClaimId &claim) const
{
    const auto found = m_own.find(claim);
    return found == m_own.end() ? ClaimResult::Unknown : found->second.result;
}

void ClaimTable::abandon(const state::ClaimId &claim)
{
    const auto found = m_own.find(claim);
    if (found == m_own.end()) {
        return;
    }
    const auto own = std::move(found->second);
    m_own.erase(found);
    if (own.result == ClaimResult::Won) {
        release(own.record);
    }
}

void ClaimTable::finish(const state::ClaimId &claim, int status)
{
    const auto found = m_own.find(claim);
    if (found == m_own.end()) {
        return;
    }
    const auto own = std::move(found->second);
    m_own.erase(found);
    if (own.result == ClaimResult::Won) {
        addUnconfirmed(claim, state::ClaimFinished{ claim, own.record.customer, own.record.key, status });
    }
}

void ClaimTable::release(const state::ClaimMade &claim)
{
    addUnconfirmed(claim.claimId, state::ClaimReleased{ claim.claimId, claim.customer, claim.key });
}

void ClaimTable::addUnconfirmed(const state::ClaimId &claim, state::LogRecord record)
{
    if (m_unconfirmed.size() >= MaxUnconfirmedRecords) {
        return;
    }
    m_unconfirmed[claim] = std::move(record);
    m_completionOutbox.unsent.push_back(claim);
}

void ClaimTable::confirm(const state::ClaimId &claim)
{
    m_unconfirmed.erase(claim);
}

std::vector<state::ClaimId> ClaimTable::claimsAwaitingRelease() const
{
    std::vector<state::ClaimId> claims;
    for (const auto &[claim, record] : m_unconfirmed) {
        if (std::holds_alternative<state::ClaimReleased>(record)) {
            claims.push_back(claim);
        }
    }
    return claims;
}

std::optional<state::ClaimId> ClaimTable::Outbox::next(state::Time now)
{
    if (!unsent.empty()) {
        auto claim = std::move(unsent.front());
        unsent.pop_front();
        return claim;
    }
    if (!resends.empty() && resends.front().first <= now) {
        auto claim = std::move(resends.front().second);
        resends.pop_front();
        return claim;
    }
    return std::nullopt;
}

void ClaimTable::Outbox::sent(const state::ClaimId &claim, state::Time now)
{
    resends.emplace_back(now + ResendInterval, claim);
}

std::vector<state::LogRecord> ClaimTable::takeBatch(state::Time now)
{
    std::vector<state::LogRecord> batch;
    if (now < m_nextBatch) {
        return batch;
    }
    takeClaims(now, batch);
    takeUnconfirmed(now, batch);
    if (!batch.empty()) {
        m_nextBatch = now + std::max(BatchInterval, m_backoff);
    }
    return batch;
}

void ClaimTable::takeClaims(state::Time now, std::vector<state::LogRecord> &batch)
{
    while (batch.size() < MaxBatchRecords) {
        const auto claim = m_claimOutbox.next(now);
        if (!claim) {
            return;
        }
        const auto found = m_own.find(*claim);
        if (found == m_own.end() || found->second.result != ClaimResult::Pending) {
            continue;
        }
        batch.emplace_back(found->second.record);
        m_claimOutbox.sent(*claim, now);
    }
}

void ClaimTable::takeUnconfirmed(state::Time now, std::vector<state::LogRecord> &batch)
{
    while (batch.size() < MaxBatchRecords) {
        const auto claim = m_completionOutbox.next(now);
        if (!claim) {
            return;
        }
        const auto found = m_unconfirmed.find(*claim);
        if (found == m_unconfirmed.end()) {
            continue;
        }
        batch.push_back(found->second);
        m_completionOutbox.sent(*claim, now);
    }
}

void ClaimTable::appendFailed(state::Time now)
{
    m_backoff = std::min(std::max(m_backoff * 2, InitialBackoff), MaxBackoff);
    m_nextBatch = std::max(m_nextBatch, now + m_backoff);
}

std::size_t ClaimTable::size() const
{
    return m_size;
}

} // namespace sapphirecove::coordination
