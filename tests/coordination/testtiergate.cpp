#include "coordination/tiergate.h"
#include "tests/coordination/gates.h"
#include "tests/coordination/slotrequests.h"

#include <catch2/catch.hpp>

#include <array>

using namespace sapphirecove;
using namespace sapphirecove::coordination;
using testing::makeGate;
using testing::milliseconds;
using testing::Start;

namespace {

const std::string Pool = "pool";

Heartbeat acknowledging(std::uint64_t sequence)
{
    Heartbeat heartbeat;
    heartbeat.acknowledged = sequence;
    return heartbeat;
}

/** Gate of host a with the listed peers b and c, which acknowledged heartbeat 10. */
struct Fixture
{
    std::unique_ptr<TierGate> gate = makeGate("a");
    std::array<state::HostId, 3> hosts{ "a", "b", "c" };

    Fixture()
    {
        gate->setPeers(hosts, Start);
        gate->heartbeatSent(10, Start);
        acknowledge("b", 10, Start);
        acknowledge("c", 10, Start);
    }

    void acknowledge(const state::HostId &peer, std::uint64_t sequence, state::Time now) const
    {
        gate->heartbeatReceived(peer, acknowledging(sequence), now);
    }
};

} // namespace

// Guards against a shed that a peer does not know of, because it acknowledged a heartbeat from before the floor.
TEST_CASE("a shed waits for acknowledgements of heartbeats sent after the floor was raised", "[tiergate]")
{
    const Fixture fixture;
    TierGate &gate = *fixture.gate;
    CHECK_FALSE(gate.mayShed(Pool, 1, Start));
    CHECK(gate.lowestGrantable(Pool, Start) == 1);
    CHECK(gate.lowestGrantable("other", Start) == TierGate::NoFloor);
    fixture.acknowledge("b", 10, Start + milliseconds(50));
    fixture.acknowledge("c", 10, Start + milliseconds(50));
    CHECK_FALSE(gate.mayShed(Pool, 1, Start + milliseconds(60)));

    gate.heartbeatSent(11, Start + milliseconds(100));
    fixture.acknowledge("b", 11, Start + milliseconds(150));
    CHECK_FALSE(gate.mayShed(Pool, 1, Start + milliseconds(160)));
    fixture.acknowledge("c", 11, Start + milliseconds(170));
    CHECK(gate.mayShed(Pool, 1, Start + milliseconds(180)));
}

// Guards against a dead host that stops the shedding of the fleet, and against a shed that a peer without answers did
// not have a whole second to learn of.
TEST_CASE("a peer without answers delays a shed for one second from the first announcement", "[tiergate]")
{
    const Fixture fixture;
    TierGate &gate = *fixture.gate;
    std::uint64_t sequence = 10;
    for (int time = 0; time < 5000; time += 200) { // host c answers for the last time at the start
        gate.heartbeatSent(++sequence, Start + milliseconds(time));
        fixture.acknowledge("b", sequence, Start + milliseconds(time));
    }
    for (int time = 5000; time < 6020; time += 20) {
        const state::Time now = Start + milliseconds(time);
        CHECK_FALSE(gate.mayShed(Pool, 1, now));
        if (time % 200 == 20) {
            gate.heartbeatSent(++sequence, now);
            fixture.acknowledge("b", sequence, now);
        }
    }
    CHECK(gate.mayShed(Pool, 1, Start + milliseconds(6020)));
}

// Guards against a shed under a floor that is about to expire at the peers.
TEST_CASE("an acknowledgement counts only while the announced floor still holds", "[tiergate]")
{
    const Fixture fixture;
    TierGate &gate = *fixture.gate;
    gate.mayShed(Pool, 1, Start);
    gate.heartbeatSent(11, Start + milliseconds(100)); // announces that the floor holds until 2,000 ms
    fixture.acknowledge("b", 11, Start + milliseconds(150));
    fixture.acknowledge("c", 11, Start + milliseconds(150));
    CHECK(gate.mayShed(Pool, 1, Start + milliseconds(1200)));
    fixture.acknowledge("b", 11, Start + milliseconds(1250));
    fixture.acknowledge("c", 11, Start + milliseconds(1250));
    CHECK_FALSE(gate.mayShed(Pool, 1, Start + milliseconds(1300)));

    gate.heartbeatSent(12, Start + milliseconds(1300));
    fixture.acknowledge("b", 12, Start + milliseconds(1350));
    CHECK_FALSE(gate.mayShed(Pool, 1, Start + milliseconds(1360)));
    fixture.acknowledge("c", 12, Start + milliseconds(1370));
    CHECK(gate.mayShed(Pool, 1, Start + milliseconds(1380)));
}

// Guards against lower tiers that are granted under a peer's floor, or for ever refused after it.
TEST_CASE("a received floor holds for its announced time", "[tiergate]")
{
    const Fixture fixture;
    TierGate &gate = *fixture.gate;
    Heartbeat heartbeat = acknowledging(10);
    heartbeat.floors.push_back({ .pool = Pool, .tier = 2, .sequence = 1, .remaining = milliseconds(500) });
    gate.heartbeatReceived("b", heartbeat, Start);
    fixture.acknowledge("b", 10, Start + milliseconds(400)); // an older heartbeat without the floor, out of order
    fixture.acknowledge("c", 10, Start + milliseconds(400));
    CHECK(gate.lowestGrantable(Pool, Start + milliseconds(499)) == 2);
    CHECK(gate.lowestGrantable(Pool, Start + milliseconds(500)) == TierGate::NoFloor);
}

// Guards against a host that is cut off and keeps granting low tiers while the others shed high ones.
TEST_CASE("a host that does not hear a listed peer grants only tier 0 for a while", "[tiergate]")
{
    const Fixture fixture;
    TierGate &gate = *fixture.gate;
    fixture.acknowledge("b", 10, Start + milliseconds(500));
    CHECK(gate.lowestGrantable(Pool, Start + milliseconds(599)) == TierGate::NoFloor);
    CHECK(gate.lowestGrantable(Pool, Start + milliseconds(600)) == 0);

    SECTION("until it hears from the peer")
    {
        fixture.acknowledge("b", 10, Start + milliseconds(700));
        fixture.acknowledge("c", 10, Start + milliseconds(700));
        CHECK(gate.lowestGrantable(Pool, Start + milliseconds(800)) == TierGate::NoFloor);
    }
    SECTION("until the list drops the peer")
    {
        const std::array<state::HostId, 2> listed{ "a", "b" };
        gate.setPeers(listed, Start + milliseconds(700));
        CHECK(gate.lowestGrantable(Pool, Start + milliseconds(800)) == TierGate::NoFloor);
    }
    SECTION("until five seconds have passed")
    {
        fixture.acknowledge("b", 10, Start + milliseconds(4900));
        CHECK(gate.lowestGrantable(Pool, Start + milliseconds(4999)) == 0);
        CHECK(gate.lowestGrantable(Pool, Start + milliseconds(5000)) == TierGate::NoFloor);
    }
}

// Guards against lower tiers that stop on every host for seconds after each graceful stop: the platform's list names
// the stopped host for a while.
TEST_CASE("a host that drained before it fell silent stops no tier", "[tiergate]")
{
    const Fixture fixture;
    Heartbeat last = acknowledging(10);
    last.draining = true;
    fixture.gate->heartbeatReceived("b", last, Start);
    const auto later = Start + TierGate::QuietAfter + milliseconds(200);
    fixture.acknowledge("c", 11, later);
    CHECK(fixture.gate->lowestGrantable(Pool, later) == TierGate::NoFloor);
}

// Guards against a floor that the peers hear with a later end than the host itself observes.
TEST_CASE("floors are announced with the time that is left", "[tiergate]")
{
    const Fixture fixture;
    TierGate &gate = *fixture.gate;
    gate.mayShed(Pool, 1, Start);
    const std::vector<TierFloor> floors = gate.floors(Start + milliseconds(300));
    REQUIRE(floors.size() == 1);
    CHECK(floors[0].pool == Pool);
    CHECK(floors[0].tier == 1);
    CHECK(floors[0].remaining == milliseconds(1700));
    CHECK(gate.floors(Start + milliseconds(2000)).empty());
    CHECK(gate.lowestGrantable("unknown", Start) == TierGate::NoFloor);
}

// Guards against a host alone in the fleet that could never shed.
TEST_CASE("a host without peers may shed at once", "[tiergate]")
{
    const std::unique_ptr<TierGate> gate = makeGate("a");
    const std::array<state::HostId, 1> listed{ "a" };
    gate->setPeers(listed, Start);
    CHECK(gate->mayShed(Pool, 0, Start));
    CHECK(makeGate("") == nullptr);
}
