#include "tests/coordination/entry/faultschedule.h"

#include "coordination/entry/evacuations.h"

#include <catch2/catch.hpp>

using namespace sapphirecove;
using namespace sapphirecove::tests::entry;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/** Longest time from the acknowledgement of an evacuation to the last request that is sent to the domain. */
constexpr state::Duration EvacuationBound = seconds(5);

/** Time without disruption after which a host has to keep the bound. */
constexpr state::Duration Contact = seconds(4);

std::set<std::string, std::less<>> only(const std::string &domain)
{
    return { domain };
}

} // namespace

// Guards against an older record that undoes a newer one.
TEST_CASE("the order that the store held last is in force", "[entry][evacuation]")
{
    Evacuations evacuations;
    CHECK(evacuations.digest() == 0);
    CHECK(evacuations.recorded("osu", true, { 1, 10 }));
    CHECK(evacuations.isEvacuated("osu"));
    CHECK_FALSE(evacuations.isEvacuated("adum"));
    CHECK(evacuations.takeUrgent());
    CHECK(evacuations.recorded("osu", false, { 1, 9 }));
    CHECK(evacuations.isEvacuated("osu"));
    CHECK(evacuations.recorded("osu", false, { 1, 11 }));
    CHECK_FALSE(evacuations.isEvacuated("osu"));
    CHECK(evacuations.recorded("osu", true, { 1, 10 }));
    CHECK_FALSE(evacuations.isEvacuated("osu"));
    // The store has come back from a copy, where offsets are smaller.
    CHECK(evacuations.recorded("osu", true, { 2, 3 }));
    CHECK(evacuations.isEvacuated("osu"));
    CHECK(evacuations.takeChanges().size() == 3);
}

// Guards against an evacuation that lasts for ever, as its removal was read by nobody.
TEST_CASE("an order that the store no longer holds has ended", "[entry][evacuation]")
{
    Evacuations evacuations;
    evacuations.recorded("osu", true, { 1, 10 });
    evacuations.recorded("adum", true, { 1, 12 });
    evacuations.endOthers(only("osu"), { 1, 11 });
    CHECK(evacuations.isEvacuated("adum")); // Ordered after that read.
    evacuations.endOthers(only("osu"), { 1, 13 });
    CHECK_FALSE(evacuations.isEvacuated("adum"));
    CHECK(evacuations.isEvacuated("osu"));
    CHECK(evacuations.evacuatedCount() == 1);
    // A copy of the store, from before the order.
    evacuations.endOthers({}, { 2, 5 });
    CHECK(evacuations.isEvacuated("osu"));
    evacuations.recorded("osu", false, { 2, 6 });
    CHECK_FALSE(evacuations.isEvacuated("osu"));
}

// Guards against an older report of a host that was cut off, after the order's removal.
TEST_CASE("a removal is remembered although the order was not known", "[entry][evacuation]")
{
    Evacuations late;
    Evacuations cutOff;
    cutOff.recorded("osu", true, { 1, 10 });
    late.recorded("osu", false, { 1, 12 });
    late.merge(cutOff.shares());
    CHECK_FALSE(late.isEvacuated("osu"));
}

// Guards against hosts that never agree, and against reports that say the same again and again.
TEST_CASE("hosts that know the same have the same digest", "[entry][evacuation]")
{
    Evacuations first;
    Evacuations second;
    first.recorded("osu", true, { 1, 10 });
    first.recorded("adum", true, { 1, 11 });
    first.recorded("adum", false, { 1, 12 });
    second.merge(first.shares());
    CHECK(second.isEvacuated("osu"));
    CHECK(first.digest() == second.digest());
    CHECK_FALSE(second.takeUrgent());
    second.recorded("osu", false, { 1, 20 });
    CHECK(first.digest() != second.digest());
    first.merge(second.shares());
    CHECK(first.digest() == second.digest());
    CHECK_FALSE(first.isEvacuated("osu"));
}

// Guards against records without end that use up the memory or the room in datagrams.
TEST_CASE("the number of remembered domains is bounded", "[entry][evacuation]")
{
    Evacuations evacuations;
    for (std::uint64_t i = 0; i < 64; ++i) {
        CHECK(evacuations.recorded("d" + std::to_string(i), true, { 1, i + 1 }));
    }
    CHECK_FALSE(evacuations.recorded("more", true, { 1, 100 }));
    evacuations.recorded("d7", false, { 1, 101 });
    CHECK(evacuations.recorded("more", true, { 1, 102 }));
    CHECK(evacuations.isEvacuated("more"));
    CHECK(evacuations.shares().size() == 64);
}

// Guards against requests that are held until they expire although no target is left.
TEST_CASE("requests are refused at once while all their targets are evacuated", "[entry][evacuation]")
{
    const auto scheduler = makeScheduler();
    scheduler->targets().listed(makeTarget("t", 1));
    REQUIRE_FALSE(scheduler->enqueue(makeRequest(1, 0, 600), Start));
    REQUIRE_FALSE(scheduler->enqueue(makeRequest(2, 0, 600), Start));
    REQUIRE(scheduler->decide(Start).size() == 1);
    scheduler->evacuations().recorded("osu", true, { 1, 1 });
    const auto refused = scheduler->decide(Start + milliseconds(5));
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].request == 2);
    CHECK(refused[0].refusal == RefusalReason::NoTarget);
    CHECK(scheduler->running() == 1); // What runs there ends in its own time.
    const auto refusal = scheduler->enqueue(makeRequest(3, 0, 600), Start);
    REQUIRE(refusal);
    CHECK(refusal->refusal == RefusalReason::NoTarget);
    scheduler->evacuations().recorded("osu", false, { 1, 2 });
    CHECK_FALSE(scheduler->enqueue(makeRequest(4, 0, 600), Start));
    scheduler->finished(1, AttemptOutcome::Served, 5, Start + milliseconds(100));
    CHECK(scheduler->decide(Start + milliseconds(100)).size() == 1);
}

// Guards against EVAC: an order that the decider, its successor or the sending host does not know.
TEST_CASE("nothing is sent to an evacuated domain under random schedules of faults", "[entry][fleet][evacuation]")
{
    for (std::uint32_t seed = 1; seed <= 60; ++seed) {
        CAPTURE(seed);
        constexpr int hosts = 8;
        SimulatedFleet::Options options{ hosts, 6, 4, seed % 2 == 0 ? 0.1 : 0.0, seed };
        options.twoRegions = true;
        SimulatedFleet fleet(options);
        FaultSchedule faults(fleet, hosts, seed);
        const auto makePatient = [&](auto &) {
            return makeRequest(0, 0, 600, fleet.now());
        };
        fleet.runUntil(Start + seconds(2));
        faults.run(Start + seconds(4), milliseconds(20), makePatient);
        fleet.setEvacuated("adum", true);
        const state::Time ordered = fleet.now();
        faults.run(ordered + seconds(12), milliseconds(20), makePatient);
        int late = 0;
        for (const auto *target : { "t1", "t3", "t5" }) {
            for (const auto &arrival : fleet.arrivalsAt(target)) {
                const bool isLate = arrival.at > ordered + EvacuationBound;
                late += isLate && faults.isCalm(arrival.host, arrival.at - Contact, arrival.at) ? 1 : 0;
            }
        }
        CHECK(late == 0);
        const std::size_t before = fleet.arrivalsAt("t1").size();
        fleet.setEvacuated("adum", false);
        faults.run(fleet.now() + seconds(6), milliseconds(10), makePatient);
        CHECK(fleet.arrivalsAt("t1").size() > before);
    }
}
