#include "tests/coordination/entry/faultschedule.h"

#include "coordination/entry/regionrules.h"

#include <catch2/catch.hpp>

using namespace sapphirecove;
using namespace sapphirecove::tests::entry;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::map<std::string, std::string> Regions{ { "osu", "accra" }, { "adum", "kumasi" } };

state::entry::Route routeIn(std::vector<std::string> regions)
{
    state::entry::Route route;
    route.name = "r";
    route.permittedRegions = std::move(regions);
    return route;
}

state::entry::Customer customerIn(std::vector<std::string> regions)
{
    state::entry::Customer customer;
    customer.name = "c";
    customer.permittedRegions = std::move(regions);
    return customer;
}

state::entry::TargetEntry targetIn(const std::string &id, const std::string &domain, std::uint32_t slots = 1)
{
    auto entry = makeTarget(id, slots);
    entry.failureDomain = domain;
    return entry;
}

ScheduledRequest requestIn(std::uint64_t id, PermittedRegions regions)
{
    ScheduledRequest request = makeRequest(id, 0, 600);
    request.permittedRegions = std::move(regions);
    return request;
}

} // namespace

// Guards against a list of the route or the customer that binds without the other one.
TEST_CASE("requests may run in the regions that route and customer both allow", "[entry][regions]")
{
    const auto anywhere = customerIn({});
    const auto kumasi = customerIn({ "kumasi" });
    CHECK(RegionRules::allowed(routeIn({}), nullptr) == PermittedRegions());
    CHECK(RegionRules::allowed(routeIn({}), &anywhere) == PermittedRegions());
    CHECK(RegionRules::allowed(routeIn({ "accra" }), &anywhere) == PermittedRegions({ "accra" }));
    CHECK(RegionRules::allowed(routeIn({}), &kumasi) == PermittedRegions({ "kumasi" }));
    CHECK(RegionRules::allowed(routeIn({ "accra", "kumasi" }), &kumasi) == PermittedRegions({ "kumasi" }));
    CHECK(RegionRules::allowed(routeIn({ "accra" }), &kumasi) == PermittedRegions(std::vector<std::string>()));

    const RegionRules rules(Regions);
    CHECK(rules.allows(std::nullopt, "unknown"));
    CHECK(rules.allows(PermittedRegions({ "kumasi" }), "adum"));
    CHECK_FALSE(rules.allows(PermittedRegions({ "kumasi" }), "osu"));
    CHECK_FALSE(rules.allows(PermittedRegions({ "kumasi" }), "unknown"));
    CHECK_FALSE(rules.allows(PermittedRegions(std::vector<std::string>()), "osu"));
}

// Guards against an operator who does not learn why requests of a route or a customer are refused.
TEST_CASE("unknown regions, and lists without a common region, are reported", "[entry][regions]")
{
    const RegionRules rules(Regions);
    const auto table =
        state::entry::RoutingTable::create(3, { routeIn({ "accra", "lagos" }) }, {}, { customerIn({ "kumasi" }) }, {});
    const auto problems = rules.problems(table, 10);
    REQUIRE(problems.size() == 2);
    CHECK(problems[0].region == "lagos");
    CHECK(problems[0].route == "r");
    CHECK(problems[1].region.empty());
    CHECK(problems[1].customer == "c");
    CHECK(rules.problems(table, 1).size() == 1);
}

// Guards against HOME: a request that leaves its regions since these are full.
TEST_CASE("a request waits for its regions and is refused where they have no target", "[entry][regions]")
{
    const auto scheduler = makeScheduler();
    scheduler->targets().listed(targetIn("near", "osu"));
    scheduler->targets().listed(targetIn("far", "adum"));
    REQUIRE_FALSE(scheduler->enqueue(requestIn(1, PermittedRegions({ "kumasi" })), Start));
    REQUIRE_FALSE(scheduler->enqueue(requestIn(2, PermittedRegions({ "kumasi" })), Start));
    auto decisions = scheduler->decide(Start);
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].target.id == "far");
    CHECK(scheduler->waiting() == 1);
    scheduler->finished(1, AttemptOutcome::Served, 5, Start + milliseconds(300));
    decisions = scheduler->decide(Start + milliseconds(300));
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].request == 2);
    CHECK(decisions[0].target.id == "far");

    const auto refusal = scheduler->enqueue(requestIn(3, PermittedRegions({ "lagos" })), Start);
    REQUIRE(refusal);
    CHECK(refusal->refusal == RefusalReason::NoTarget);
    CHECK(refusal->retryAfter > state::Duration::zero());
}

// Guards against a request bound to a full region that holds up those that may use the free targets of another one.
TEST_CASE("requests that may use free targets pass those whose regions are full", "[entry][regions]")
{
    const auto scheduler = makeScheduler();
    scheduler->targets().listed(targetIn("near", "osu"));
    scheduler->targets().listed(targetIn("far", "adum"));
    for (std::uint64_t id = 1; id <= 2; ++id) {
        REQUIRE_FALSE(scheduler->enqueue(requestIn(id, PermittedRegions({ "kumasi" })), Start));
    }
    ScheduledRequest free = requestIn(3, std::nullopt);
    free.arrived = Start + milliseconds(10);
    REQUIRE_FALSE(scheduler->enqueue(free, Start + milliseconds(10)));
    const auto decisions = scheduler->decide(Start + milliseconds(10));
    REQUIRE(decisions.size() == 2);
    CHECK(decisions[0].target.id == "far");
    CHECK(decisions[1].request == 3);
    CHECK(decisions[1].target.id == "near");
}

// Guards against HOME in a fleet: deciders change at every stage, messages are lost, hosts are cut off and start again.
TEST_CASE("no request leaves its regions under random schedules of faults", "[entry][fleet][regions]")
{
    for (std::uint32_t seed = 1; seed <= 60; ++seed) {
        CAPTURE(seed);
        constexpr int hosts = 8;
        SimulatedFleet::Options options{ hosts, 6, 4, seed % 2 == 0 ? 0.1 : 0.0, seed };
        options.twoRegions = true;
        SimulatedFleet fleet(options);
        FaultSchedule faults(fleet, hosts, seed);
        fleet.runUntil(Start + seconds(2));
        faults.run(Start + seconds(12), milliseconds(20), [&](auto &random) {
            ScheduledRequest request = makeRequest(0, 0, 600, fleet.now());
            const auto kind = random() % 3;
            if (kind > 0) {
                request.permittedRegions = { { kind == 1 ? "accra" : "kumasi" } };
            }
            return request;
        });
        fleet.runUntil(fleet.now() + seconds(4));
        // The deciders know the regions from the requests, so that no host has to give a placement back for them.
        CHECK(fleet.withheldOutsideRegions() == 0);
        const auto placed = std::count_if(fleet.decisions().begin(), fleet.decisions().end(), [](const auto &entry) {
            return !entry.second.refusal;
        });
        CHECK(2 * static_cast<std::size_t>(placed) > faults.ids().size());
    }
}
