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
    INFO("state " << static_cast<int>(outcome.state) << " after " << outcome.endedAtSeconds << " s, "
                  << outcome.reason);
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
        std::string reasons;
        for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
            RolloutScenario scenario;
            scenario.seed = seed;
            scenario.requestsPerSecond = load.requestsPerSecond;
            scenario.orderSeconds = load.orderSeconds;
            const RolloutOutcome outcome = simulateRollout(scenario);
            done += outcome.state == RolloutState::Done ? 1 : 0;
            reasons += outcome.state == RolloutState::Done ? "" : std::to_string(seed) + ": " + outcome.reason + "; ";
        }
        INFO(load.requestsPerSecond << " requests/s, " << load.orderSeconds << " s, not done: " << reasons);
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

// Guards against a version that gets its bound anew after all hosts have lost their counts.
TEST_CASE("a version whose counts are lost gets nothing and is rolled back", "[entry][rollout]")
{
    const state::entry::RolloutStatus running{ "s", "v2", RolloutState::Running };
    const auto noLoad = [](std::string_view, std::string_view) {
        return OthersLoad{};
    };
    RolloutController controller{ state::entry::Bounds() };
    controller.ordered({ "s", "v2", 60 }, Start);
    controller.published(running, Start); // Another process has announced it.
    for (state::Time now = Start; now < Start + std::chrono::seconds(3); now += std::chrono::milliseconds(100)) {
        controller.learn({}, now);
        CHECK(controller.evaluate(noLoad, now).empty());
        CHECK_FALSE(controller.mayUse("s", "v2", 1));
        CHECK(controller.mayUse("s", "v1", 1));
    }
    const auto changes = controller.evaluate(noLoad, Start + std::chrono::seconds(3));
    REQUIRE(changes.size() == 1);
    CHECK(changes.front().state == RolloutState::RolledBack);
}

// Guards against hosts that decide each for itself and give the new version several times its bound together.
TEST_CASE("a new version gets nothing from hosts that decide alone", "[entry][rollout]")
{
    RolloutController controller{ state::entry::Bounds() };
    controller.ordered({ "s", "v2", 60 }, Start);
    CHECK_FALSE(controller.mayUse("s", "v2", 1)); // It is not announced.
    controller.announced({ "s", "v2", RolloutState::Running });
    controller.learn({}, Start + std::chrono::seconds(20));
    CHECK(controller.mayUse("s", "v2", 1));
    CHECK_FALSE(controller.mayUse("s", "v2", 2));
    CHECK(controller.mayUse("s", "v1", 2));
}

// Guards against an order that begins anew with each decider: its time counts from when the fleet has read it.
TEST_CASE("a host that learns of a running order takes over its age", "[entry][rollout]")
{
    RolloutController first{ state::entry::Bounds(), 1 };
    first.ordered({ "s", "v2", 10 }, Start);
    first.announced({ "s", "v2", RolloutState::Running });
    const state::Time later = Start + std::chrono::seconds(8);
    RolloutController second{ state::entry::Bounds(), 2 };
    second.ordered({ "s", "v2", 10 }, later);
    Peer peer;
    first.fillReport(peer.report, later);
    peer.lastReportAt = later;
    second.learn({ { "first", peer } }, later);
    const auto changes = second.evaluate(
        [](std::string_view, std::string_view) {
            return OthersLoad{};
        },
        later);
    REQUIRE(changes.size() == 1); // Without responses it is not proven after eight tenths of its time.
    CHECK(changes.front().state == RolloutState::RolledBack);
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
