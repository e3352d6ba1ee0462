#include "coordination/entry/rolloutcontroller.h"
#include "coordination/random.h"
#include "tests/coordination/entry/requests.h"

#include <catch2/catch.hpp>

#include <functional>
#include <random>

using namespace sapphirecove;
using namespace sapphirecove::tests::entry;
using state::entry::RolloutState;
using std::chrono::milliseconds;

namespace {

/** Result of a simulated rollout over several hosts. */
struct Outcome
{
    RolloutState state = RolloutState::Running;
    double toTarget = 0; /**< requests that the new version got */
    double toTargetAfterBad50 = 0; /**< after the fleet had seen its 50th bad response, and a report interval */
    double all = 0;
    state::Duration ended{};
    std::string reason; /**< of the last change of its phase or state */
};

OthersLoad noneRunning(std::string_view, std::string_view)
{
    return {};
}

/** Returns the failure share and the slowness of the new version on a route after @p elapsed. */
using Fault = std::function<std::pair<double, double>(const std::string &route, state::Duration elapsed)>;

/** Simulates one rollout of 12 s with a decider and two hosts that get its reports every 100 ms. */
Outcome simulateRollout(std::uint64_t seed, const Fault &fault)
{
    constexpr std::uint32_t HostCount = 3;
    const state::entry::Bounds bounds;
    std::vector<RolloutController> hosts;
    for (std::uint32_t process = 1; process <= HostCount; ++process) {
        hosts.emplace_back(bounds, process).ordered({ "s", "v2", 12 }, Start);
    }
    RolloutController &decider = hosts.front();
    decider.announced({ "s", "v2", RolloutState::Running });
    coordination::Random random(seed);
    std::uniform_real_distribution<double> uniform(0, 1);
    Outcome outcome;
    double bad = 0;
    std::optional<state::Time> bad50At;
    for (state::Time now = Start; now < Start + std::chrono::seconds(12); now += milliseconds(10)) {
        const std::string route = uniform(random) < 0.7 ? "drafts" : "queries";
        const bool newAllowed = decider.mayUse("s", "v2", 1);
        const bool oldAllowed = decider.mayUse("s", "v1", 1);
        CHECK((newAllowed || oldAllowed));
        for (std::uint32_t i = 1; i < HostCount; ++i) {
            CHECK_FALSE((outcome.state == RolloutState::Running && hosts[i].mayUse("s", "v2", HostCount)));
        }
        const std::string version = newAllowed && (!oldAllowed || uniform(random) < 0.5) ? "v2" : "v1";
        decider.dispatched("s", version, route);
        const auto [failures, slowness] = version == "v2" ? fault(route, now - Start) : std::pair(0.02, 1.0);
        const bool good = uniform(random) >= failures;
        decider.answered("s", version, route, good, slowness * (0.8 + 0.4 * uniform(random)));
        outcome.all += 1;
        outcome.toTarget += version == "v2" ? 1 : 0;
        bad += version == "v2" && !good ? 1 : 0;
        if (bad >= 50 && !bad50At) {
            bad50At = now;
        }
        outcome.toTargetAfterBad50 += version == "v2" && bad50At && now > *bad50At + milliseconds(500) ? 1 : 0;
        if ((now - Start) % milliseconds(100) != milliseconds(0)) {
            continue;
        }
        Peer peer;
        decider.fillReport(peer.report, now);
        peer.lastReportAt = now;
        const std::map<std::string, Peer, std::less<>> peers{ { "decider", std::move(peer) } };
        for (std::uint32_t i = 1; i < HostCount; ++i) {
            hosts[i].learn(peers, now);
        }
        decider.learn({}, now);
        const auto changes = decider.evaluate(noneRunning, now);
        for (const auto &progress : decider.takeProgress()) {
            outcome.reason = std::string(progress.reason) + ' ' + progress.route;
        }
        for (const auto &change : changes) {
            outcome.state = change.state;
            outcome.ended = now - Start;
            for (auto &other : hosts) {
                other.published(change, now);
            }
        }
    }
    return outcome;
}

} // namespace

// Guards against a good version that is rolled back because of noise or is not done in time.
TEST_CASE("a good version takes all traffic in time", "[entry][rollout][random]")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        INFO("seed " << seed);
        const Outcome outcome = simulateRollout(seed, [](const auto &, auto) {
            return std::pair(0.02, 1.0);
        });
        INFO(outcome.reason);
        CHECK(outcome.state == RolloutState::Done);
        CHECK(outcome.ended < std::chrono::seconds(12));
    }
}

// Guards against a bad version that is kept, gets more traffic than the bounds allow, or gets any after its faults are
// visible.
TEST_CASE("a bad version is rolled back and gets a small share", "[entry][rollout][random]")
{
    const state::entry::Bounds bounds;
    const auto check = [&](const char *name, const Fault &fault) {
        for (std::uint64_t seed = 1; seed <= 50; ++seed) {
            INFO(name << ", seed " << seed);
            const Outcome outcome = simulateRollout(seed, fault);
            CHECK(outcome.state == RolloutState::RolledBack);
            CHECK(outcome.toTarget <= bounds.rolloutShare * outcome.all + bounds.rolloutSlack);
            CHECK(outcome.toTargetAfterBad50 == 0);
        }
    };
    check("fails at once", [](const auto &, auto) {
        return std::pair(0.4, 1.0);
    });
    check("slow at once", [](const auto &, auto) {
        return std::pair(0.02, 4.0);
    });
    check("fails on one route", [](const std::string &route, auto) {
        return std::pair(route == "queries" ? 0.8 : 0.02, 1.0);
    });
}

// Guards against a version that passes the first steps and is not checked after that.
TEST_CASE("a version that turns bad later is rolled back", "[entry][rollout][random]")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        INFO("seed " << seed);
        const Outcome outcome = simulateRollout(seed, [](const auto &, state::Duration elapsed) {
            return std::pair(elapsed > milliseconds(5000) ? 0.5 : 0.02, 1.0);
        });
        CHECK(outcome.state == RolloutState::RolledBack);
        CHECK(outcome.toTargetAfterBad50 == 0);
    }
}

// Guards against an order that stays open past its deadline because no responses tell whether the version is good.
TEST_CASE("an order without enough responses is rolled back before its deadline", "[entry][rollout]")
{
    RolloutController controller{ state::entry::Bounds() };
    controller.ordered({ "s", "v2", 10 }, Start);
    const auto busy = [](std::string_view, std::string_view) {
        return OthersLoad{ 1, {} };
    };
    controller.learn({}, Start + std::chrono::seconds(5));
    CHECK(controller.evaluate(busy, Start + std::chrono::seconds(5)).empty());
    controller.learn({}, Start + std::chrono::seconds(7));
    const auto changes = controller.evaluate(busy, Start + std::chrono::seconds(7));
    REQUIRE(changes.size() == 1);
    CHECK(changes.front().state == RolloutState::RolledBack);
    CHECK_FALSE(controller.mayUse("s", "v2", 1));
    CHECK(controller.mayUse("s", "v1", 1));
}

// Guards against a store's older copy, which holds the order before the last one.
TEST_CASE("an order that was replaced does not come back with an older copy", "[entry][rollout][restore]")
{
    RolloutController controller{ state::entry::Bounds() };
    controller.ordered({ "s", "v2", 10 }, Start);
    controller.published({ "s", "v2", RolloutState::Done }, Start);
    controller.ordered({ "s", "v3", 10 }, Start);
    controller.published({ "s", "v3", RolloutState::Done }, Start);
    controller.ordered({ "s", "v2", 10 }, Start, true);
    CHECK(controller.mayUse("s", "v3", 1));
    CHECK_FALSE(controller.mayUse("s", "v2", 1));
    controller.ordered({ "s", "v2", 10 }, Start); // The operator orders it again.
    CHECK(controller.states().front().targetVersion == "v2");
    CHECK(controller.states().front().state == RolloutState::Running);
}

// Guards against a host that reopens a finished rollout or applies the outcome of another version.
TEST_CASE("a published outcome is final for every host", "[entry][rollout]")
{
    RolloutController controller{ state::entry::Bounds() };
    CHECK(controller.mayUse("s", "v1", 1));
    controller.ordered({ "s", "v2", 10 }, Start);
    CHECK(controller.mayUse("s", "v1", 1));
    controller.published({ "s", "v3", RolloutState::Done }, Start);
    CHECK(controller.mayUse("s", "v1", 1));
    controller.published({ "s", "v2", RolloutState::Done }, Start);
    CHECK(controller.mayUse("s", "v2", 1));
    CHECK_FALSE(controller.mayUse("s", "v1", 1));
    controller.ordered({ "s", "v2", 10 }, Start);
    CHECK_FALSE(controller.mayUse("s", "v1", 1));
}
