#include "coordination/targetorders.h"

#include <algorithm>

namespace sapphirecove::coordination {

void TargetOrders::reported(const LoadReported &report, state::Time now)
{
    auto &entry = m_entries[report.target];
    if (entry.reportedAt && report.measuredAt < entry.measuredAt) {
        return;
    }
    entry.reportedAt = now;
    entry.measuredAt = report.measuredAt;
    entry.version = report.version;
    entry.loading = report.loadingVersion;
    if (entry.firstSent && entry.accepted && entry.version == entry.ordered) {
        m_loadTime = std::max(m_loadTime.value_or(state::Duration(0)), now - *entry.firstSent);
        entry.firstSent.reset();
    }
}

void TargetOrders::answered(const OrderAnswered &answer, state::Time now)
{
    const auto found = m_entries.find(answer.target);
    if (found == m_entries.end() || found->second.order != answer.order || !answer.delivered) {
        return;
    }
    auto &entry = found->second;
    if (answer.accepted) {
        entry.accepted = now;
        return;
    }
    m_refusedFencing = std::max(m_refusedFencing.value_or(0), entry.fencing);
}

void TargetOrders::retain(const std::set<state::TargetId> &targets)
{
    std::erase_if(m_entries, [&](const auto &item) {
        return !targets.contains(item.first);
    });
}

bool TargetOrders::runs(const state::TargetId &target, const state::VersionName &version) const
{
    const auto found = m_entries.find(target);
    return found != m_entries.end() && found->second.reportedAt && found->second.version == version;
}

bool TargetOrders::isPresent(const state::TargetId &target, state::Time now) const
{
    const auto found = m_entries.find(target);
    return found != m_entries.end() && found->second.reportedAt && now - *found->second.reportedAt < PresenceTimeout;
}

bool TargetOrders::isLoading(const state::TargetId &target, const state::VersionName &version) const
{
    const auto found = m_entries.find(target);
    return found != m_entries.end() && found->second.ordered == version && !runs(target, version);
}

bool TargetOrders::isStuck(const state::TargetId &target, const state::VersionName &version, state::Time now) const
{
    const auto found = m_entries.find(target);
    return isLoading(target, version) && found->second.firstSent && now - *found->second.firstSent >= LoadTimeout;
}

bool TargetOrders::isDue(const Entry &entry, state::Time now)
{
    if (entry.accepted) {
        return now - *entry.accepted >= AcceptedResendInterval && !entry.loading;
    }
    return now - entry.lastSent >= ResendInterval;
}

std::optional<SendOrder> TargetOrders::order(const state::Target &target,
                                             const state::VersionName &version,
                                             state::Offset fencing,
                                             std::uint64_t id,
                                             state::Time now)
{
    auto &entry = m_entries[target.id];
    // A target that still runs the version may be about to replace it, if it was ordered to load another one.
    const bool isSettled = runs(target.id, version) && (entry.ordered.empty() || entry.ordered == version);
    const bool isNew = entry.ordered != version || entry.fencing != fencing;
    if (isSettled || (!isNew && !isDue(entry, now))) {
        return std::nullopt;
    }
    entry.ordered = version;
    entry.fencing = fencing;
    entry.order = id;
    entry.lastSent = now;
    entry.firstSent = isNew ? now : entry.firstSent;
    entry.accepted.reset();
    return SendOrder{ id, target.id, target.address, target.port, OrderKind::LoadVersion, version, fencing };
}

bool TargetOrders::isFenced(state::Offset fencing) const
{
    return m_refusedFencing && fencing <= *m_refusedFencing;
}

state::Duration TargetOrders::loadTime() const
{
    return m_loadTime.value_or(AssumedLoadTime);
}

} // namespace sapphirecove::coordination
