#include "coordination/entry/coldrules.h"

#include "coordination/entry/ratepacer.h"

#include <algorithm>

namespace sapphirecove::coordination::entry {

namespace {

/**
 * Share of the rule's bound that hosts use at targets that are not known to be cold. The rest covers what a second
 * decider places before the reports of a change have arrived, and placements of more than a second that arrive within
 * one.
 */
constexpr double UsedShare = 0.8;

/** Lowest rate in requests per second, so that a bound below one request does not take the service away. */
constexpr double MinRate = 0.25;

} // namespace

void ColdRules::configure(const state::entry::RoutingTable &table, const state::entry::Bounds &bounds)
{
    m_services.clear();
    for (const auto &service : table.services()) {
        if (service.coldRequestsPerSecond <= 0) {
            continue;
        }
        Rule rule{ { service.coldRequestsPerSecond, std::nullopt }, service.coldTime };
        if (bounds.coldOverage > 0) {
            const double boundInSecond = service.coldRequestsPerSecond * bounds.coldOverage + bounds.coldSlack;
            rule.pace.warm =
                std::max(MinRate, UsedShare * RatePacer::rateWithin(boundInSecond, ColdPace::BurstSeconds));
            rule.pace.cold = std::min(rule.pace.cold, *rule.pace.warm);
        }
        m_services.emplace(service.name, rule);
    }
}

std::optional<ColdPace> ColdRules::paceOf(std::string_view service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? std::nullopt : std::optional(found->second.pace);
}

state::Duration ColdRules::coldTimeOf(std::string_view service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? state::Duration::zero() : found->second.coldTime;
}

} // namespace sapphirecove::coordination::entry
