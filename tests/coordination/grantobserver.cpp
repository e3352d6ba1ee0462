#include "tests/coordination/grantobserver.h"

#include <algorithm>

namespace sapphirecove::coordination::testing {

namespace {

/** Time to the deadline from which any idle target of the tests finishes any ask. */
constexpr state::Duration AmpleTime = std::chrono::seconds(10);

/** Time after a shed for which lower tiers must not be granted. */
constexpr state::Duration FloorTime = std::chrono::seconds(2);

bool names(const OutstandingReport &report, state::GrantId id)
{
    return std::ranges::find(report.dispatches, id, &OutstandingDispatch::grant) != report.dispatches.end();
}

} // namespace

GrantObserver::GrantObserver(std::span<const ArbiterTarget> targets, state::Duration grantLifetime)
    : m_grantLifetime(grantLifetime)
{
    setTargets(targets);
}

void GrantObserver::setTargets(std::span<const ArbiterTarget> targets)
{
    for (const ArbiterTarget &target : targets) {
        m_targets[target.id] = target;
    }
}

void GrantObserver::received(const state::HostId &from, const Message &message)
{
    if (const auto *ask = std::get_if<SlotRequest>(&message)) {
        const bool live = std::ranges::any_of(m_live, [&](const auto &grant) {
            return grant.second.request == ask->request;
        });
        if (!live) {
            m_waiting.try_emplace(ask->request, *ask);
            m_known.try_emplace(ask->request, *ask);
            m_hosts[ask->request] = from;
        }
    } else if (const auto *withdrawal = std::get_if<SlotWithdrawal>(&message)) {
        m_waiting.erase(withdrawal->request);
    } else if (const auto *release = std::get_if<SlotRelease>(&message)) {
        m_live.erase(release->grant);
    } else if (const auto *report = std::get_if<OutstandingReport>(&message)) {
        reported(from, *report);
    }
}

void GrantObserver::reported(const state::HostId &from, const OutstandingReport &report)
{
    for (const OutstandingDispatch &dispatch : report.dispatches) {
        m_waiting.erase(dispatch.request);
        LiveGrant &grant = m_live[dispatch.grant];
        grant.request = dispatch.request;
        grant.host = from;
        grant.target = dispatch.target;
        grant.reported = true;
    }
    std::erase_if(m_live, [&](const auto &grant) {
        return report.complete && grant.second.reported && grant.second.host == from && !names(report, grant.first);
    });
}

void GrantObserver::tick(state::Time now)
{
    std::erase_if(m_live, [&](const auto &grant) {
        return !grant.second.reported && grant.second.expires <= now;
    });
}

void GrantObserver::sent(const Message &message, state::Time now)
{
    if (const auto *grant = std::get_if<SlotGrant>(&message)) {
        granted(*grant, now);
    } else if (const auto *denial = std::get_if<SlotDenial>(&message)) {
        denied(*denial, now);
    }
}

void GrantObserver::granted(const SlotGrant &grant, state::Time now)
{
    if (m_live.contains(grant.grant)) {
        if (m_live[grant.grant].target != grant.target || now + grant.validFor > m_live[grant.grant].expires) {
            violate("grant of " + grant.request + " was repeated with another target or a longer validity");
        }
        return;
    }
    for (const auto &[id, live] : m_live) {
        if (live.request == grant.request) {
            violate("second live grant for " + grant.request);
        }
    }
    const auto waiting = m_waiting.find(grant.request);
    if (waiting == m_waiting.end()) {
        violate("grant for " + grant.request + ", which does not wait");
        return;
    }
    const SlotRequest ask = waiting->second;
    m_waiting.erase(waiting);
    checkTierOrder(ask, grant, now);
    m_live[grant.grant] = { .request = grant.request,
                            .host = m_hosts[grant.request],
                            .target = grant.target,
                            .expires = now + m_grantLifetime };
    checkTarget(grant);
    ++m_grants;
}

void GrantObserver::checkTierOrder(const SlotRequest &ask, const SlotGrant &grant, state::Time now)
{
    for (const auto &[request, other] : m_waiting) {
        // The granted ask had room on this target, so one with a smaller prompt and ample time would have had it.
        const bool fits = other.promptTokens <= ask.promptTokens && other.deadline - now >= AmpleTime
            && std::ranges::find(other.excluded, grant.target) == other.excluded.end();
        if (other.tier < ask.tier && fits) {
            violate("tier " + std::to_string(ask.tier) + " granted while " + request + " of a higher tier fits");
        }
    }
    for (const auto &[tier, time] : m_lastShed) {
        if (tier < ask.tier && now < time + FloorTime) {
            violate("tier " + std::to_string(ask.tier) + " granted after a shed of tier " + std::to_string(tier));
        }
    }
}

void GrantObserver::checkTarget(const SlotGrant &grant)
{
    const ArbiterTarget &target = m_targets[grant.target];
    if (target.listing != TargetListing::Live) {
        violate("grant to " + grant.target + ", which is not live");
    }
    const auto streams = std::ranges::count_if(m_live, [&](const auto &live) {
        return live.second.target == grant.target;
    });
    if (streams > target.capacity.streams) {
        violate("too many streams on " + grant.target);
    }
}

void GrantObserver::denied(const SlotDenial &denial, state::Time now)
{
    const auto waiting = m_waiting.find(denial.request);
    const bool known = m_known.contains(denial.request);
    const state::Tier tier = known ? m_known[denial.request].tier : 0;
    if (waiting != m_waiting.end()) {
        m_waiting.erase(waiting);
    }
    if (denial.reason != DenialReason::Overloaded) {
        return;
    }
    ++m_sheds;
    m_lastShed[tier] = now;
    if (denial.retryAfter <= state::Duration::zero()) {
        violate("shed of " + denial.request + " without a retry time");
    }
    for (const auto &[request, other] : m_waiting) {
        if (other.tier > tier) {
            violate("tier " + std::to_string(tier) + " shed while " + request + " of a lower tier waits");
        }
    }
}

void GrantObserver::violate(const std::string &text)
{
    if (m_violation.empty()) {
        m_violation = text;
    }
}

const std::string &GrantObserver::violation() const
{
    return m_violation;
}

std::size_t GrantObserver::grants() const
{
    return m_grants;
}

std::size_t GrantObserver::sheds() const
{
    return m_sheds;
}

} // namespace sapphirecove::coordination::testing
