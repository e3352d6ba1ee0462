#pragma once

#include "state/entry/routing.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirecove::coordination::entry {

/** Regions in which a request may run; nothing allows all of them, an empty list none. */
using PermittedRegions = std::optional<std::vector<std::string>>;

/** Something in a configuration that leaves requests without a region to run in, or names a region that is unknown. */
struct RegionProblem
{
    std::string route; /**< name; empty if the problem is the customer's alone */
    std::string customer; /**< name; empty if the problem is the route's alone */
    std::string region; /**< that no failure domain has; empty if route and customer have none in common */
};

/**
 * Tells in which regions the requests of a route and a customer may run, and which failure domains lie there.
 *
 * Answers no load, but binds all others: first attempts, repeats, resumed streams and hand-overs, however full the
 * allowed regions are.
 */
class RegionRules
{
public:
    /** @p regionOfDomain names the region of each failure domain. */
    explicit RegionRules(const std::map<std::string, std::string> &regionOfDomain);

    /** Returns the regions that @p route and @p customer, which may be nullptr, both allow. */
    static PermittedRegions allowed(const state::entry::Route &route, const state::entry::Customer *customer);

    /** Returns whether a request with @p regions may run in the failure domain @p domain. */
    bool allows(const PermittedRegions &regions, std::string_view domain) const;

    /** Returns what is wrong with the regions in @p table, at most @p most problems. */
    std::vector<RegionProblem> problems(const state::entry::RoutingTable &table, std::size_t most) const;

private:
    bool isKnown(std::string_view region) const;

    std::map<std::string, std::string, std::less<>> m_regionOfDomain;
};

/** Returns @p regions for the log: "all", "none", or their names. */
std::string describe(const PermittedRegions &regions);

} // namespace sapphirecove::coordination::entry
