#include "coordination/entry/regionrules.h"

#include <algorithm>
#include <iterator>

namespace sapphirecove::coordination::entry {

RegionRules::RegionRules(const std::map<std::string, std::string> &regionOfDomain)
    : m_regionOfDomain(regionOfDomain.begin(), regionOfDomain.end())
{
}

PermittedRegions RegionRules::allowed(const state::entry::Route &route, const state::entry::Customer *customer)
{
    const bool customerBinds = customer != nullptr && !customer->permittedRegions.empty();
    if (route.permittedRegions.empty()) {
        return customerBinds ? PermittedRegions(customer->permittedRegions) : std::nullopt;
    }
    if (!customerBinds) {
        return route.permittedRegions;
    }
    std::vector<std::string> both;
    std::copy_if(route.permittedRegions.begin(),
                 route.permittedRegions.end(),
                 std::back_inserter(both),
                 [&](const std::string &region) {
                     const auto &others = customer->permittedRegions;
                     return std::find(others.begin(), others.end(), region) != others.end();
                 });
    return both;
}

bool RegionRules::allows(const PermittedRegions &regions, std::string_view domain) const
{
    if (!regions) {
        return true;
    }
    const auto region = m_regionOfDomain.find(domain);
    return region != m_regionOfDomain.end()
        && std::find(regions->begin(), regions->end(), region->second) != regions->end();
}

std::vector<RegionProblem> RegionRules::problems(const state::entry::RoutingTable &table, std::size_t most) const
{
    std::vector<RegionProblem> problems;
    const auto add = [&](RegionProblem problem) {
        if (problems.size() < most) {
            problems.push_back(std::move(problem));
        }
    };
    for (const auto &route : table.routes()) {
        for (const auto &region : route.permittedRegions) {
            if (!isKnown(region)) {
                add({ route.name, {}, region });
            }
        }
    }
    for (const auto &customer : table.customers()) {
        for (const auto &region : customer.permittedRegions) {
            if (!isKnown(region)) {
                add({ {}, customer.name, region });
            }
        }
        if (customer.permittedRegions.empty()) {
            continue;
        }
        for (const auto &route : table.routes()) {
            // Requests of public routes belong to no customer.
            if (!route.isPublic && !route.permittedRegions.empty() && allowed(route, &customer)->empty()) {
                add({ route.name, customer.name, {} });
            }
        }
    }
    return problems;
}

bool RegionRules::isKnown(std::string_view region) const
{
    return std::any_of(m_regionOfDomain.begin(), m_regionOfDomain.end(), [region](const auto &entry) {
        return entry.second == region;
    });
}

std::string describe(const PermittedRegions &regions)
{
    if (!regions) {
        return "all";
    }
    std::string text;
    for (const auto &region : *regions) {
        text += (text.empty() ? "" : ",") + region;
    }
    return text.empty() ? "none" : text;
}

} // namespace sapphirecove::coordination::entry
