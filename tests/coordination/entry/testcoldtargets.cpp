#include "tests/coordination/entry/faultschedule.h"

#include "coordination/entry/coldrules.h"
#include "coordination/entry/ratepacer.h"

#include <catch2/catch.hpp>

using namespace sapphirecove;
using namespace sapphirecove::tests::entry;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double ColdRate = 10;

/** Requests that a cold target may get in any second: its rate times the overage, and the slack. */
constexpr std::size_t BoundInSecond = 20;

state::entry::Bounds coldBounds()
{
    state::entry::Bounds bounds;
    bounds.coldOverage = 1.5;
    bounds.coldSlack = 5;
    return bounds;
}

state::entry::RoutingTable serviceWithColdRate(double rate)
{
    state::entry::Service service;
    service.name = "llm";
    service.coldTime = seconds(3);
    service.coldRequestsPerSecond = rate;
    return state::entry::RoutingTable::create(1, {}, { service }, {}, {});
}

/** Returns the most of @p arrivals in any second. */
std::size_t mostInSecond(const std::vector<SimulatedFleet::Arrival> &arrivals)
{
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < arrivals.size(); ++last) {
        while (arrivals[last].at - arrivals[first].at > seconds(1)) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

/** Lists a target that is cold for @p coldFor. */
void listCold(Scheduler &scheduler, const std::string &id, std::optional<state::Duration> coldFor, state::Time now)
{
    auto entry = makeTarget(id, 100);
    entry.coldFor = coldFor;
    scheduler.targets().listed(entry);
    scheduler.listed(entry, now);
}

/** Submits short requests every few milliseconds from @p begin on; returns how many are dispatched in @p duration. */
int dispatchedIn(Scheduler &scheduler, state::Time begin, state::Duration duration, std::uint64_t firstId)
{
    int dispatched = 0;
    std::uint64_t id = firstId;
    for (state::Time now = begin; now < begin + duration; now += milliseconds(4)) {
        scheduler.enqueue(makeRequest(id++, 0, 10, now), now);
        for (const auto &decision : scheduler.decide(now)) {
            if (!decision.refusal) {
                ++dispatched;
                scheduler.finished(decision.request, AttemptOutcome::Served, 1, now);
            }
        }
    }
    return dispatched;
}

} // namespace

TEST_CASE("a pacer lets no more than its bound through in any second", "[entry][cold]")
{
    for (const double bound : { 1.5, 4.0, 20.0, 100.0 }) {
        const double rate = RatePacer::rateWithin(bound, ColdPace::BurstSeconds);
        RatePacer pacer(0.9, Start);
        std::vector<SimulatedFleet::Arrival> sent;
        for (state::Time now = Start; now < Start + seconds(6); now += milliseconds(1)) {
            // Idle for two seconds, so that what is unused is kept.
            pacer.refill(rate, now, ColdPace::BurstSeconds);
            if (now > Start + seconds(2) && pacer.ready()) {
                pacer.spend(1, rate);
                sent.push_back({ now, 0 });
            }
        }
        CHECK(static_cast<double>(mostInSecond(sent)) <= bound);
    }
}

// Guards against FAILBACK by a decider that knows of the coldness.
TEST_CASE("a cold target gets requests at the rate of its service", "[entry][cold]")
{
    const auto scheduler = makeScheduler(coldBounds());
    scheduler->configureColdTargets(serviceWithColdRate(4), Start);
    listCold(*scheduler, "t", seconds(3), Start);
    CHECK(scheduler->statements().coldCount(Start) == 1);
    const int cold = dispatchedIn(*scheduler, Start, seconds(3), 1);
    CHECK(cold >= 9); // Half of the rate in the first second, as for any host that begins to decide.
    CHECK(cold <= 14);
    // The rate rises, up to what a target bears that turns cold unnoticed.
    const double warm = 0.8 * RatePacer::rateWithin(4 * 1.5 + 5, ColdPace::BurstSeconds);
    const int after = dispatchedIn(*scheduler, Start + seconds(6), seconds(4), 10000);
    CHECK(after >= static_cast<int>(4 * warm) - 2);
    CHECK(after <= static_cast<int>(4.5 * warm) + 2);
}

// Guards against targets that are taken for warm since they do not say that they are cold.
TEST_CASE("a new target that states nothing counts as cold for the time of its service", "[entry][cold]")
{
    const auto scheduler = makeScheduler(coldBounds());
    scheduler->configureColdTargets(serviceWithColdRate(4), Start);
    listCold(*scheduler, "t", std::nullopt, Start);
    listCold(*scheduler, "t", std::nullopt, Start + seconds(2));
    CHECK(scheduler->statements().coldCount(Start + seconds(2)) == 1);
    CHECK(scheduler->statements().coldCount(Start + seconds(3)) == 0);
    // A configuration that comes later, or another one, applies to the targets that are known.
    scheduler->configureColdTargets(serviceWithColdRate(0), Start + seconds(2));
    CHECK(scheduler->statements().coldCount(Start + seconds(2)) == 0);
    CHECK_FALSE(scheduler->statements().rate(scheduler->targets().find("t")->hash(), Start + seconds(2)));
}

// Guards against a bound that acts where the deployment has none.
TEST_CASE("warm targets have no rate without a bound or a rate of their service", "[entry][cold]")
{
    const auto scheduler = makeScheduler();
    scheduler->configureColdTargets(serviceWithColdRate(4), Start);
    listCold(*scheduler, "t", seconds(1), Start);
    const std::uint32_t target = scheduler->targets().find("t")->hash();
    CHECK(scheduler->statements().rate(target, Start) == 4);
    CHECK_FALSE(scheduler->statements().rate(target, Start + seconds(4)));
}

// Guards against rates of targets that are gone, which would be kept for ever.
TEST_CASE("the rate of a target that is gone is forgotten", "[entry][cold]")
{
    const auto scheduler = makeScheduler(coldBounds());
    scheduler->configureColdTargets(serviceWithColdRate(4), Start);
    listCold(*scheduler, "t", seconds(3), Start);
    const std::uint32_t target = scheduler->targets().find("t")->hash();
    scheduler->targets().removed("t", false, Start);
    scheduler->targetsChanged(Start);
    CHECK_FALSE(scheduler->statements().rate(target, Start));
}

// Guards against a new decider that counts all that others have sent before as its debt, and sends nothing.
TEST_CASE("a service with rates is served on after a change of the decider", "[entry][fleet][cold]")
{
    for (std::uint32_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        constexpr int hosts = 8;
        SimulatedFleet::Options options{ hosts, 2, 12, 0, seed };
        options.coldRate = ColdRate;
        SimulatedFleet fleet(options);
        const auto run = [&](state::Duration time) {
            const std::size_t before = fleet.arrivalsAt("t0").size() + fleet.arrivalsAt("t1").size();
            const state::Time end = fleet.now() + time;
            for (int i = 0; fleet.now() < end; ++i) {
                const int host = i % hosts;
                const auto deciders = fleet.deciders();
                if (deciders.empty() || deciders.front() != host) {
                    fleet.submit(host, makeRequest(0, 0, 100, fleet.now()), milliseconds(50));
                }
                fleet.runUntil(fleet.now() + milliseconds(100));
            }
            return fleet.arrivalsAt("t0").size() + fleet.arrivalsAt("t1").size() - before;
        };
        fleet.runUntil(Start + seconds(2));
        run(seconds(10));
        const std::size_t usual = run(seconds(3));
        REQUIRE(fleet.deciders().size() == 1);
        fleet.kill(fleet.deciders().front());
        const std::size_t after = run(seconds(3));
        CHECK(2 * after > usual);
    }
}

// Guards against FAILBACK in a fleet: targets that turn cold unnoticed or come back together, several deciders at once,
// hosts that are cut off or start again.
TEST_CASE("cold targets get no more than their bound under random schedules of faults", "[entry][fleet][cold]")
{
    for (std::uint32_t seed = 1; seed <= 60; ++seed) {
        CAPTURE(seed);
        constexpr int hosts = 8;
        constexpr int targets = 4;
        SimulatedFleet::Options options{ hosts, targets, 12, seed % 2 == 0 ? 0.1 : 0.0, seed };
        options.coldRate = ColdRate;
        SimulatedFleet fleet(options);
        FaultSchedule faults(fleet, hosts, seed);
        const auto makeShort = [&](auto &) {
            return makeRequest(0, 0, 100, fleet.now());
        };
        fleet.runUntil(Start + seconds(2));
        for (int round = 0; round < 4; ++round) {
            // More than all targets may get at any time.
            faults.run(fleet.now() + seconds(3), milliseconds(8), makeShort);
            if (round % 2 == 0) {
                fleet.makeCold("t" + std::to_string(faults.number(targets)));
            } else {
                fleet.crash("t0");
                fleet.crash("t1");
            }
        }
        std::size_t arrivals = 0;
        for (int target = 0; target < targets; ++target) {
            arrivals += fleet.arrivalsAt("t" + std::to_string(target)).size();
        }
        // A host that begins to decide uses a quarter of the rates, and the decider changes all the time here. In the
        // twelve seconds, two targets are down twice for three seconds.
        CHECK(static_cast<double>(arrivals) >= (targets * 12 - 2 * 2 * 3) * ColdRate / 4);
        for (int target = 0; target < targets; ++target) {
            CAPTURE(target);
            CHECK(mostInSecond(fleet.arrivalsAt("t" + std::to_string(target))) <= BoundInSecond);
        }
    }
}
