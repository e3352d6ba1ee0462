#include "tests/coordination/arbitersimulation.h"

#include <catch2/catch.hpp>

using sapphirecove::coordination::testing::ArbiterSimulation;

// Guards against overloaded targets, second slots for one request, tier inversions, sheds in the wrong order and
// requests without a reply, under lost, duplicated and delayed messages. A failure prints its seed.
TEST_CASE("an arbiter keeps its invariants in random schedules", "[arbiter][random]")
{
    constexpr std::uint64_t firstSeed = 1;
    constexpr std::uint64_t schedules = 3000;
    std::size_t grants = 0;
    std::size_t sheds = 0;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + schedules; ++seed) {
        ArbiterSimulation simulation(seed);
        const std::string violation = simulation.run();
        INFO("seed " << seed << ": " << violation);
        REQUIRE(violation.empty());
        grants += simulation.observer().grants();
        sheds += simulation.observer().sheds();
    }
    // Schedules without contention would test nothing.
    CHECK(grants > 50 * schedules);
    CHECK(sheds > 10 * schedules);
}
