#include "tests/coordination/fleetdriver.h"

#include <catch2/catch.hpp>

using namespace sapphirecove;
using namespace sapphirecove::coordination;
using sapphirecove::coordination::test::FaultPlan;
using sapphirecove::coordination::test::FleetDriver;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Checks the guarantees that hold for every request under any fault. */
void checkRequests(const FleetDriver &fleet)
{
    std::map<std::string, int> startsByKey;
    for (const auto &[id, request] : fleet.requests()) {
        INFO("request " << id);
        REQUIRE(request.starts <= 1);
        REQUIRE(request.answers <= 1);
        if (request.refusal && request.refusal->executed == Executed::No) {
            REQUIRE(request.starts == 0);
        }
        if (!request.hostDied) {
            REQUIRE((request.starts == 1 || request.answers == 1));
        }
        if (request.info.idempotencyKey) {
            startsByKey[*request.info.idempotencyKey] += request.starts;
        }
    }
    for (const auto &[key, starts] : startsByKey) {
        INFO("key " << key);
        REQUIRE(starts <= 1);
    }
}

int countStarts(const FleetDriver &fleet)
{
    int served = 0;
    for (const auto &[id, request] : fleet.requests()) {
        served += request.starts;
    }
    return served;
}

} // namespace

// Guards against requests that are not served although nothing fails.
TEST_CASE("a fleet without failures serves every request", "[fleet]")
{
    FleetDriver fleet(3, 1, FaultPlan{});
    fleet.publish();
    fleet.run(seconds(2));
    for (std::size_t i = 0; i < 60; ++i) {
        fleet.submit(i % 3, static_cast<state::Tier>(i % 3), seconds(20), i % 4 == 0 ? "key" + std::to_string(i) : "");
        fleet.run(milliseconds(40));
    }
    fleet.run(seconds(5));
    checkRequests(fleet);
    CHECK(countStarts(fleet) == 60);
}

// Guards against a second execution when the caller repeats an idempotency key at another host, before or after the
// first request has ended.
TEST_CASE("a repeated idempotency key is executed once in the fleet", "[fleet]")
{
    FleetDriver fleet(3, 2, FaultPlan{});
    fleet.publish();
    fleet.run(seconds(2));
    const auto first = fleet.submit(0, 0, seconds(20), "print-17");
    const auto early = fleet.submit(1, 0, seconds(20), "print-17");
    fleet.run(seconds(3));
    const auto late = fleet.submit(2, 0, seconds(20), "print-17");
    fleet.run(seconds(3));
    checkRequests(fleet);
    CHECK(fleet.requests().at(first).starts + fleet.requests().at(early).starts == 1);
    REQUIRE(fleet.requests().at(late).refusal);
    CHECK(fleet.requests().at(late).refusal->executed == Executed::Yes);
}

// Guards against a fleet that stops serving when an arbiter fails, and against a restarted host that does not become
// ready while the log is unavailable.
TEST_CASE("a fleet keeps serving after the loss of a host and while the log is unavailable", "[fleet]")
{
    FleetDriver fleet(3, 3, FaultPlan{});
    fleet.publish();
    fleet.run(seconds(2));
    fleet.setLogAvailable(false);
    fleet.kill(0);
    fleet.run(seconds(3));
    fleet.restart(0);
    fleet.run(seconds(4));
    CHECK(fleet.status(0).ready);
    for (std::size_t i = 0; i < 12; ++i) {
        fleet.submit(i % 3, 0, seconds(20));
    }
    fleet.run(seconds(5));
    checkRequests(fleet);
    CHECK(countStarts(fleet) == 12);
}

// Guards against a drain that interrupts accepted requests, and against one that never completes.
TEST_CASE("draining every host in turn interrupts no request", "[fleet]")
{
    FleetDriver fleet(3, 4, FaultPlan{});
    fleet.publish();
    fleet.run(seconds(2));
    for (std::size_t host = 0; host < 3; ++host) {
        std::vector<state::RequestId> accepted;
        for (int i = 0; i < 10; ++i) {
            accepted.push_back(fleet.submit(host, 1, seconds(30)));
        }
        fleet.drain(host);
        fleet.run(seconds(8));
        CHECK(fleet.drained(host));
        for (const state::RequestId &id : accepted) {
            CHECK(fleet.requests().at(id).starts == 1);
        }
        fleet.kill(host);
        fleet.restart(host);
        fleet.run(seconds(3));
    }
    checkRequests(fleet);
}

// Guards against new dispatches to a target that the host list shows as leaving.
TEST_CASE("a target gets no new dispatch once the host list shows it as leaving", "[fleet]")
{
    FleetDriver fleet(3, 5, FaultPlan{});
    fleet.publish();
    fleet.run(seconds(2));
    fleet.setLeaving("t1");
    fleet.run(seconds(1));
    const state::Time left = fleet.now();
    for (std::size_t i = 0; i < 30; ++i) {
        fleet.submit(i % 3, 1, seconds(20));
        fleet.run(milliseconds(60));
    }
    fleet.run(seconds(5));
    for (const auto &[id, request] : fleet.requests()) {
        CHECK((request.target != "t1" || request.startedAt < left));
    }
    CHECK(countStarts(fleet) == 30);
}

// Guards against a second dispatch, a second execution of a key, a refusal that wrongly says "not executed" and a
// request that never ends, under kills, restarts, pauses, partitions and log outages in any order.
TEST_CASE("random schedules keep the guarantees of requests", "[fleet][random]")
{
    for (std::uint32_t seed = 1; seed <= 400; ++seed) {
        INFO("seed " << seed);
        FaultPlan faults;
        faults.messageLoss = 0.05;
        faults.messageDuplication = 0.05;
        faults.maxMessageDelay = milliseconds(300);
        faults.appendLoss = 0.1;
        faults.appendDuplication = 0.1;
        faults.connectRefusal = 0.1;
        faults.answerInterruption = 0.05;
        FleetDriver fleet(4, seed, faults);
        fleet.publish();
        fleet.run(seconds(2));
        const auto randomBelow = [&](std::size_t bound) {
            return static_cast<std::size_t>(fleet.random()() % bound);
        };
        for (int round = 0; round < 60; ++round) {
            const std::size_t host = randomBelow(4);
            if (fleet.isAlive(host)) {
                const std::string key = randomBelow(3) == 0 ? "key" + std::to_string(randomBelow(8)) : "";
                fleet.submit(
                    host, static_cast<state::Tier>(randomBelow(3)), milliseconds(500 + randomBelow(5000)), key);
            }
            switch (randomBelow(24)) {
            case 0:
                fleet.kill(randomBelow(4));
                break;
            case 1:
            case 2:
                for (std::size_t i = 0; i < 4; ++i) {
                    if (!fleet.isAlive(i)) {
                        fleet.restart(i);
                    }
                }
                break;
            case 3:
                fleet.pause(randomBelow(4), milliseconds(randomBelow(15000)));
                break;
            case 4:
                fleet.setLogAvailable(false);
                break;
            case 5:
            case 6:
                fleet.setLogAvailable(true);
                break;
            case 7:
                fleet.setPartition({ randomBelow(4), randomBelow(4) }, true);
                break;
            case 8:
            case 9:
                fleet.setPartition({}, false);
                break;
            default:
                break;
            }
            fleet.run(milliseconds(20 + randomBelow(400)));
        }
        fleet.setLogAvailable(true);
        fleet.setPartition({}, false);
        fleet.run(seconds(25));
        checkRequests(fleet);
    }
}
