#include "coordination/entry/storereach.h"

#include <algorithm>

namespace sapphirecove::coordination::entry {

namespace {

/** Time after which a late answer counts as missing: a round trip between regions, and a store that is a little slow.
 */
constexpr state::Duration MaxAnswerDelay = std::chrono::milliseconds(300);

/**
 * Time after the store's return in which old lists are still used: until expired entries are written again, and a
 * second, as topics are read one after the other.
 */
constexpr state::Duration RecoveryTime = std::chrono::seconds(3);

} // namespace

void StoreReach::asked(int sequence, state::Time due)
{
    m_due[sequence] = due;
}

void StoreReach::ended(int sequence, bool answered, state::Time now)
{
    const bool wasAway = m_failed || isSilent(now);
    m_due.erase(sequence);
    m_failed = !answered;
    if (!answered) {
        m_awayUntil.reset();
        return;
    }
    m_answeredAt = now;
    if (wasAway) {
        m_awayUntil = now + RecoveryTime;
    }
}

bool StoreReach::isAway(state::Time now) const
{
    return m_failed || isSilent(now) || (m_awayUntil && now < *m_awayUntil);
}

bool StoreReach::isSilent(state::Time now) const
{
    return std::any_of(m_due.begin(), m_due.end(), [&](const auto &call) {
        return now - call.second > MaxAnswerDelay && call.second > m_answeredAt;
    });
}

} // namespace sapphirecove::coordination::entry
