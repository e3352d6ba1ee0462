#include "coordination/leasetable.h"
#include "tests/coordination/simulatedlog.h"

#include <catch2/catch.hpp>

#include <array>

using namespace sapphirecove;
using namespace sapphirecove::coordination;
using namespace std::chrono_literals;

namespace {

const state::Time Start = state::timeFromMicroseconds(1'000'000'000);
const std::string Name = "versions/layout-llm";

state::StoredRecord stored(state::Offset offset, state::Time time, const state::LeaseTaken &taken)
{
    return { offset, time, taken };
}

LeaseTable caughtUp(const std::string &host)
{
    auto table = LeaseTable::create(host, 1);
    table.readTo(0, true);
    return table;
}

/** Host that acquires and renews one lease, with pauses. */
struct Contender
{
    LeaseTable table;
    state::HostId host;
    state::Incarnation incarnation = 1;
    state::Time pausedUntil{};

    void step(tests::SimulatedLog &log, bool selected, state::Time now)
    {
        if (now < pausedUntil) {
            return;
        }
        const auto read = log.read(table.readPosition(), 1 + log.randomBelow(20));
        table.readFrom(read.first, now);
        for (const auto &record : read.records) {
            table.apply(record, now);
        }
        table.readTo(read.next, read.atEnd);
        if (table.needsRenewal(Name, now) || table.shouldAcquire(Name, selected, now)) {
            const auto taken = table.take(Name, now);
            if (log.randomBelow(8) == 0) {
                pausedUntil = now + log.randomDelay(25s);
            }
            log.send(taken, now, 15s);
        }
    }

    void disturb(tests::SimulatedLog &log, state::Time now)
    {
        switch (log.randomBelow(150)) {
        case 0:
            pausedUntil = now + log.randomDelay(25s);
            break;
        case 1:
            table = LeaseTable::create(host, ++incarnation);
            break;
        case 2:
            log.send(table.release(Name, now), now, 15s);
            break;
        default:
            break;
        }
    }
};

} // namespace

// Guards against a second holder while the first one's lease runs, and against a fencing number that does not rise.
TEST_CASE("a lease passes on only after its expiry by the log's clock", "[leasetable]")
{
    auto table = caughtUp("a1");
    const auto taken = table.take(Name, Start);
    CHECK_FALSE(table.mayAct(Name, Start));
    auto outcome = table.apply(stored(5, Start + 1s, taken), Start + 1s);
    CHECK((outcome->valid && outcome->acquired && outcome->fencing == 5));
    outcome = table.apply(stored(6, Start + 10s, { Name, "a2", 1, 10s, Start + 10s }), Start + 10s);
    CHECK_FALSE(outcome->valid);
    CHECK(table.holder(Name, Start + 10s)->holder == "a1");
    outcome = table.apply(stored(7, Start + 11s, { Name, "a2", 1, 10s, Start + 11s }), Start + 11s);
    CHECK((outcome->valid && outcome->fencing == 7));
    CHECK_FALSE(table.mayAct(Name, Start + 11s));
}

// Guards against a holder that counts from the log's answer: the append may have been stored long before it was read.
TEST_CASE("the holder counts from the time of sending and stops early", "[leasetable]")
{
    auto table = caughtUp("a1");
    const auto taken = table.take(Name, Start);
    table.apply(stored(0, Start + 3s, taken), Start + 6s);
    CHECK(table.fencing(Name, Start + 7s) == 0);
    CHECK_FALSE(table.mayAct(Name, Start + LeaseTable::LeaseDuration - LeaseTable::Margin));
}

// Guards against a fencing number that changes with each renewal, and against one that survives a lapse.
TEST_CASE("a renewal keeps the fencing number, an acquisition after a lapse does not", "[leasetable]")
{
    auto table = caughtUp("a1");
    table.apply(stored(3, Start, table.take(Name, Start)), Start);
    CHECK_FALSE(table.needsRenewal(Name, Start + 2s));
    REQUIRE(table.needsRenewal(Name, Start + 4s));
    const auto renewal = table.take(Name, Start + 4s);
    CHECK_FALSE(table.needsRenewal(Name, Start + 4500ms));
    table.apply(stored(4, Start + 4s, renewal), Start + 4s);
    CHECK(table.fencing(Name, Start + 11s) == 3);
    table.apply(stored(5, Start + 20s, table.take(Name, Start + 20s)), Start + 20s);
    CHECK(table.fencing(Name, Start + 21s) == 5);
}

// Guards against appends by every host at once when a lease lapses, and by a host that does not know the log yet.
TEST_CASE("only the selected host acquires, once the lease has certainly expired", "[leasetable]")
{
    auto table = LeaseTable::create("a1", 1);
    CHECK_FALSE(table.shouldAcquire(Name, true, Start));
    table.readTo(0, true);
    CHECK_FALSE(table.shouldAcquire(Name, false, Start));
    REQUIRE(table.shouldAcquire(Name, true, Start));
    table.take(Name, Start);
    CHECK_FALSE(table.shouldAcquire(Name, true, Start + 500ms));
    table.apply(stored(0, Start, { Name, "a2", 1, 10s, Start }), Start + 2s);
    CHECK_FALSE(table.shouldAcquire(Name, true, Start + 11s));
    CHECK(table.shouldAcquire(Name, true, Start + 12s));
    table.readFrom(50, Start + 12s);
    CHECK_FALSE(table.shouldAcquire(Name, true, Start + 21s));
    CHECK(table.shouldAcquire(Name, true, Start + 22s));
}

// Guards against a lease that a draining host keeps from its successor, and against a late record that revives it.
TEST_CASE("a lease that was given up is free at once and does not come back", "[leasetable]")
{
    auto table = caughtUp("a1");
    table.apply(stored(0, Start, table.take(Name, Start)), Start);
    const auto renewal = table.take(Name, Start + 1s);
    const auto end = table.release(Name, Start + 2s);
    CHECK_FALSE(table.mayAct(Name, Start + 2s));
    table.apply(stored(1, Start + 2s, end), Start + 2s);
    CHECK_FALSE(table.holder(Name, Start + 2s));
    table.apply(stored(2, Start + 3s, renewal), Start + 3s);
    CHECK_FALSE(table.mayAct(Name, Start + 3s));
    CHECK_FALSE(table.shouldAcquire(Name, true, Start + 1min));
}

// Guards against two hosts that act on one lease at the same time, with pauses, restarts and lost or late appends.
TEST_CASE("at most one host may act on a lease in random schedules", "[leasetable]")
{
    for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
        tests::SimulatedLog log(seed);
        std::array<Contender, 3> hosts{ Contender{ LeaseTable::create("a1", 1), "a1" },
                                        Contender{ LeaseTable::create("a2", 1), "a2" },
                                        Contender{ LeaseTable::create("a3", 1), "a3" } };
        state::Offset highest = 0;
        int conflicts = 0;
        auto now = Start;
        for (int step = 0; step < 300; ++step) {
            now += log.randomDelay(800ms);
            log.advance(now, 60s);
            for (auto &host : hosts) {
                host.disturb(log, now);
                host.step(log, log.randomBelow(3) != 0, now);
            }
            int acting = 0;
            for (const auto &host : hosts) {
                const auto fencing = host.table.fencing(Name, now);
                acting += fencing ? 1 : 0;
                conflicts += fencing && *fencing < highest ? 1 : 0;
                highest = std::max(highest, fencing.value_or(0));
            }
            conflicts += acting > 1 ? 1 : 0;
        }
        INFO("seed " << seed);
        REQUIRE(conflicts == 0);
    }
}
