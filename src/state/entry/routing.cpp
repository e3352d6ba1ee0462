#include "state/entry/routing.h"

#include <algorithm>
#include <utility>

namespace sapphirecove::state::entry {

RoutingTable RoutingTable::create(std::uint64_t version,
                                  std::vector<Route> routes,
                                  std::vector<Service> services,
                                  std::vector<Customer> customers,
                                  CallerLimits limits)
{
    RoutingTable table;
    table.m_version = version;
    table.m_limits = limits;
    table.m_routes = std::move(routes);
    table.m_services = std::move(services);
    table.m_customers = std::move(customers);
    for (std::size_t i = 0; i < table.m_routes.size(); ++i) {
        table.m_routesByHost[table.m_routes[i].host].push_back(i);
    }
    for (auto &[host, indexes] : table.m_routesByHost) {
        std::stable_sort(indexes.begin(), indexes.end(), [&](std::size_t a, std::size_t b) {
            return table.m_routes[a].pathPrefix.size() > table.m_routes[b].pathPrefix.size();
        });
    }
    for (std::size_t i = 0; i < table.m_customers.size(); ++i) {
        for (const auto &key : table.m_customers[i].keys) {
            table.m_customerByKey.emplace(key, i);
        }
    }
    return table;
}

const Route *RoutingTable::findRoute(std::string_view host, std::string_view path) const
{
    const auto found = m_routesByHost.find(host);
    if (found == m_routesByHost.end()) {
        return nullptr;
    }
    for (const std::size_t index : found->second) {
        if (path.starts_with(m_routes[index].pathPrefix)) {
            return &m_routes[index];
        }
    }
    return nullptr;
}

const Customer *RoutingTable::findCustomer(std::string_view key) const
{
    const auto found = m_customerByKey.find(key);
    return found == m_customerByKey.end() ? nullptr : &m_customers[found->second];
}

const Service *RoutingTable::findService(std::string_view name) const
{
    const auto found = std::find_if(m_services.begin(), m_services.end(), [&](const Service &service) {
        return service.name == name;
    });
    return found == m_services.end() ? nullptr : &*found;
}

} // namespace sapphirecove::state::entry
