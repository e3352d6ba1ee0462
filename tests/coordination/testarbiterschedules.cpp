#include "tests/coordination/arbitersimulation.h"

#include <catch2/catch.hpp>

using sapphirecove::coordination::testing::ArbiterSimulation;

// Guards against overloaded targets, second slots for one request, tier inversions, sheds in the wrong order and
// requests without an answer, under lost, repeated and late messages. A failure names its seed.
TEST_CASE("an arbiter keeps its rules in random schedules", "[arbiter][random]")
{
    constexpr std::uint64_t firstSeed = 1;
    constexpr std::uint64_t schedules = 3000;
    std::size_t grants = 0;
    std::size_t sheds = 0;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + schedules; ++seed) {
        ArbiterSimulation schedule(seed);
        const std::string violation = schedule.run();
        INFO("seed " << seed << ": " << violation);
        REQUIRE(violation.empty());
        grants += schedule.observer().grants();
        sheds += schedule.observer().sheds();
    }
    // Schedules without contention would show nothing.
    CHECK(grants > 50 * schedules);
    CHECK(sheds > 10 * schedules);
}
