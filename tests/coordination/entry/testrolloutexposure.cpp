#include "tests/coordination/entry/rolloutsimulation.h"

#include <catch2/catch.hpp>

using namespace sapphirecove;
using namespace sapphirecove::tests::entry;
using state::entry::RolloutState;

namespace {

/** Traffic and time of an order. */
struct Load
{
    double requestsPerSecond;
    double orderSeconds;
};

constexpr Load Loads[] = { { 27, 10 }, { 27, 15 }, { 100, 12 }, { 400, 15 }, { 5, 15 }, { 27, 60 } };

/** Fails in half of its answers from the given share of the order's time on. */
std::function<Behaviour(const std::string &, double)> failsFrom(double elapsedSeconds)
{
    return [elapsedSeconds](const std::string &, double elapsed) {
        return Behaviour{ elapsed >= elapsedSeconds ? 0.5 : 0, 1 };
    };
}

void checkExposure(const RolloutOutcome &outcome)
{
    CHECK(outcome.sentToNew <= outcome.allowed(state::entry::Bounds()));
}

} // namespace

// Guards against a share that grows so far that a version which turns bad later has got too many requests by then.
TEST_CASE("a version that turns bad at any moment gets no more requests than its bound", "[entry][rollout][random]")
{
    for (const Load &load : Loads) {
        for (int tenth = 0; tenth < 10; ++tenth) {
            for (std::uint64_t seed = 1; seed <= 3; ++seed) {
                INFO(load.requestsPerSecond << " requests/s, " << load.orderSeconds << " s, bad from " << tenth
                                            << " tenths on, seed " << seed);
                RolloutScenario scenario;
                scenario.seed = seed;
                scenario.requestsPerSecond = load.requestsPerSecond;
                scenario.orderSeconds = load.orderSeconds;
                scenario.newVersion = failsFrom(load.orderSeconds * tenth / 10);
                checkExposure(simulateRollout(scenario));
            }
        }
    }
}

// Guards against a bound that is only kept because bad versions are found early: this one is never seen to be bad.
TEST_CASE("no version gets more requests than its bound before the deadline", "[entry][rollout][random]")
{
    for (const Load &load : Loads) {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            INFO(load.requestsPerSecond << " requests/s, " << load.orderSeconds << " s, seed " << seed);
            RolloutScenario scenario;
            scenario.seed = seed;
            scenario.requestsPerSecond = load.requestsPerSecond;
            scenario.orderSeconds = load.orderSeconds;
            checkExposure(simulateRollout(scenario));
        }
    }
}

// Guards against a good version that is rolled back for requests that fail at every target, and for their repeats. At
// most one good version in 25 may be rolled back by chance.
TEST_CASE("a good version is done in time although some requests fail everywhere", "[entry][rollout][random]")
{
    constexpr std::uint64_t Seeds = 100;
    for (const Load &load : { Load{ 27, 10 }, Load{ 27, 15 }, Load{ 100, 15 } }) {
        std::uint64_t done = 0;
        for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
            RolloutScenario scenario;
            scenario.seed = seed;
            scenario.requestsPerSecond = load.requestsPerSecond;
            scenario.orderSeconds = load.orderSeconds;
            done += simulateRollout(scenario).state == RolloutState::Done ? 1 : 0;
        }
        INFO(load.requestsPerSecond << " requests/s, " << load.orderSeconds << " s");
        CHECK(done >= Seeds - Seeds / 25);
    }
}

// Guards against good responses from before that outweigh the failures of a version that has turned bad.
TEST_CASE("a version that turns bad is rolled back before its deadline", "[entry][rollout][random]")
{
    for (const Load &load : { Load{ 27, 10 }, Load{ 27, 15 }, Load{ 100, 12 }, Load{ 27, 60 } }) {
        for (int tenth = 0; tenth <= 6; ++tenth) {
            for (std::uint64_t seed = 1; seed <= 5; ++seed) {
                INFO(load.requestsPerSecond << " requests/s, " << load.orderSeconds << " s, bad from " << tenth
                                            << " tenths on, seed " << seed);
                RolloutScenario scenario;
                scenario.seed = seed;
                scenario.requestsPerSecond = load.requestsPerSecond;
                scenario.orderSeconds = load.orderSeconds;
                scenario.newVersion = failsFrom(load.orderSeconds * tenth / 10);
                CHECK(simulateRollout(scenario).state == RolloutState::RolledBack);
            }
        }
    }
}

// Guards against a decider that takes over and gives a version its bound a second time.
TEST_CASE("a new decider counts what the one before it has sent to the new version", "[entry][rollout][random]")
{
    for (int tenth = 0; tenth < 10; ++tenth) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            INFO("decider dies after " << tenth << " tenths, seed " << seed);
            RolloutScenario scenario;
            scenario.seed = seed;
            scenario.deciderDiesAtSeconds = scenario.orderSeconds * tenth / 10;
            scenario.newVersion = failsFrom(scenario.orderSeconds * (tenth + 1) / 10);
            checkExposure(simulateRollout(scenario));
        }
    }
}
