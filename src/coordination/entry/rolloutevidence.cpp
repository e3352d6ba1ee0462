#include "coordination/entry/rolloutevidence.h"

#include "coordination/entry/shorthash.h"

#include <algorithm>
#include <cmath>

namespace sapphirecove::coordination::entry {

namespace {

/** Time after which a response of the other versions counts for a third: some dozens of responses in light traffic. */
constexpr double MemorySeconds = 5;

VersionCounts countsOf(const VersionShare &share)
{
    return { static_cast<double>(share.dispatched),
             static_cast<double>(share.good),
             static_cast<double>(share.bad),
             static_cast<double>(share.timed),
             share.latencyLogSum,
             share.latencyLogSquareSum };
}

VersionShare shareOf(std::uint32_t service,
                     std::uint32_t version,
                     std::uint32_t route,
                     std::uint32_t process,
                     const VersionCounts &counts)
{
    return { service,
             version,
             route,
             process,
             static_cast<std::uint32_t>(counts.dispatched),
             static_cast<std::uint32_t>(counts.good),
             static_cast<std::uint32_t>(counts.bad),
             static_cast<std::uint32_t>(counts.timed),
             static_cast<float>(counts.latencyLogSum),
             static_cast<float>(counts.latencyLogSquareSum) };
}

/** Returns how many requests and responses @p counts holds; of two states of the same counts, the newer has more. */
double progressOf(const VersionCounts &counts)
{
    return counts.dispatched + counts.good + counts.bad + counts.timed;
}

} // namespace

RolloutEvidence::RolloutEvidence(std::uint32_t self)
    : m_self(self)
{
}

RouteCounts &RolloutEvidence::own(std::string_view route)
{
    const std::uint32_t hash = shortHash(route);
    m_routeNames.try_emplace(hash, route);
    return m_processes[m_self][hash];
}

void RolloutEvidence::learn(std::span<const VersionShare> shares, std::uint32_t service, std::uint32_t version)
{
    for (const VersionShare &share : shares) {
        const bool isOfRollout = share.service == service && (share.version == version || share.version == 0);
        if (!isOfRollout || share.process == m_self) {
            continue;
        }
        RouteCounts &known = m_processes[share.process][share.route];
        VersionCounts &counts = share.version == version ? known.target : known.others;
        const VersionCounts reported = countsOf(share);
        if (progressOf(reported) > progressOf(counts)) {
            counts = reported;
        }
    }
}

void RolloutEvidence::compare(state::Time now)
{
    const double seconds = m_comparedAt ? state::toSeconds(now - *m_comparedAt) : 0;
    const double kept = std::exp(-seconds / MemorySeconds);
    m_comparedAt = now;
    RouteCounts all;
    CountsByRoute counts = countsByRoute();
    for (const auto &[route, current] : counts) {
        RouteCounts added = current;
        added.add(m_compared[route], -1);
        m_routes[route].add(added, kept);
        all.add(added);
    }
    m_total.add(all, kept);
    m_recentRequests = m_recentRequests * kept + all.target.dispatched + all.others.dispatched;
    m_rate = m_recentRequests / MemorySeconds;
    m_compared = std::move(counts);
}

RolloutEvidence::CountsByRoute RolloutEvidence::countsByRoute() const
{
    CountsByRoute counts;
    for (const auto &[process, routes] : m_processes) {
        for (const auto &[route, added] : routes) {
            counts[route].add(added);
        }
    }
    return counts;
}

RouteCounts RolloutEvidence::sum() const
{
    RouteCounts sum;
    for (const auto &[process, routes] : m_processes) {
        for (const auto &[route, counts] : routes) {
            sum.add(counts);
        }
    }
    return sum;
}

std::optional<VersionFault> RolloutEvidence::fault() const
{
    if (const auto fault = m_total.fault()) {
        return fault;
    }
    for (const auto &[route, comparison] : m_routes) {
        if (const auto fault = comparison.fault()) {
            return fault;
        }
    }
    return std::nullopt;
}

bool RolloutEvidence::isDoubtful() const
{
    return m_total.isDoubtful() || std::any_of(m_routes.begin(), m_routes.end(), [](const auto &item) {
               return item.second.isDoubtful();
           });
}

std::string RolloutEvidence::faultyRoute() const
{
    if (m_total.fault()) {
        return {};
    }
    for (const auto &[route, comparison] : m_routes) {
        if (comparison.fault()) {
            const auto name = m_routeNames.find(route);
            return name == m_routeNames.end() ? std::to_string(route) : name->second;
        }
    }
    return {};
}

std::vector<VersionShare> RolloutEvidence::shares(std::uint32_t service, std::uint32_t version) const
{
    std::vector<VersionShare> shares;
    for (const auto &[process, routes] : m_processes) {
        for (const auto &[route, counts] : routes) {
            shares.push_back(shareOf(service, version, route, process, counts.target));
            shares.push_back(shareOf(service, 0, route, process, counts.others));
        }
    }
    return shares;
}

} // namespace sapphirecove::coordination::entry
