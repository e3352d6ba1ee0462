#include "coordination/versioncontroller.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>

using namespace sapphirecove;
using namespace sapphirecove::coordination;
using namespace std::chrono_literals;

namespace {

const state::Time Start = state::timeFromMicroseconds(1'000'000'000);
const state::PoolId Pool = "layout-llm";

std::shared_ptr<state::Configuration> configuration(int targets, state::Duration deadline)
{
    auto result = std::make_shared<state::Configuration>();
    result->pools[Pool] = { Pool, state::PoolKind::Model, Pool, "v1" };
    for (int i = 0; i < targets; ++i) {
        const auto id = "layout-" + std::to_string(i);
        result->targets[id] = {
            id, Pool, "127.0.0.1", static_cast<std::uint16_t>(9000 + i), i % 2 == 0 ? "osu" : "tema"
        };
    }
    result->changes.push_back({ "layout-v2", Pool, "v1", "v2", Start + deadline });
    return result;
}

state::VersionStep step(state::ChangeState state, int share, state::Offset fencing = 5)
{
    return { "layout-v2", Pool, "v2", share, state, "test", fencing, "a1" };
}

VersionController create(int targets = 9, state::Duration deadline = 1h)
{
    auto controller = VersionController::create("a1", 100);
    controller.configure(configuration(targets, deadline));
    controller.readTo(0, true);
    return controller;
}

void report(VersionController &controller, const state::TargetId &target, const std::string &version, state::Time now)
{
    controller.reported({ target, now, 0, 0, version, false }, now);
}

void reportAll(VersionController &controller, const std::string &version, state::Time now, int targets = 9)
{
    for (int i = 0; i < targets; ++i) {
        report(controller, "layout-" + std::to_string(i), version, now);
    }
}

SlotRelease release(const std::string &version, GrantOutcome outcome, const state::TargetId &target = "layout-0")
{
    SlotRelease result;
    result.group = Pool + "@accra#0";
    result.target = target;
    result.version = version;
    result.outcome = outcome;
    result.promptTokens = 1000;
    result.outputTokens = 100;
    result.timeToFirstToken = 150ms;
    result.total = 2650ms;
    return result;
}

} // namespace

// Guards against a bad version that keeps getting traffic until the log or the lease holder acts.
TEST_CASE("a host that sees errors halts the version at once, without the log", "[versioncontroller]")
{
    auto controller = create();
    controller.apply({ 0, Start, step(state::ChangeState::Shifting, 10) }, Start);
    CHECK(controller.shares(Pool).sharePerMille == 10);
    CHECK_FALSE(controller.observe(release("v2", GrantOutcome::Failed), "", Start));
    const auto entry = controller.observe(release("v2", GrantOutcome::Failed), "", Start + 2s);
    REQUIRE(entry);
    CHECK(entry->outcome == "halted");
    CHECK_FALSE(controller.shares(Pool).toAllowed);
    REQUIRE(controller.halts().size() == 1);
    auto peer = create();
    peer.apply({ 0, Start, step(state::ChangeState::Shifting, 500) }, Start);
    CHECK(peer.halted(controller.halts()[0]));
    CHECK_FALSE(peer.halted(controller.halts()[0]));
    CHECK(peer.shares(Pool).sharePerMille == 0);
}

// Guards against a version that is halted because one target died while it served several requests.
TEST_CASE("answers that a dying target interrupts count as one error", "[versioncontroller]")
{
    auto controller = create();
    controller.apply({ 0, Start, step(state::ChangeState::Shifting, 10) }, Start);
    for (int i = 0; i < 8; ++i) {
        CHECK_FALSE(controller.observe(release("v2", GrantOutcome::Interrupted), "", Start + i * 10ms));
    }
}

// Guards against a version that never answers: its requests end only when their callers give up.
TEST_CASE("a version that hangs is halted", "[versioncontroller]")
{
    auto controller = create();
    controller.apply({ 0, Start, step(state::ChangeState::Shifting, 10) }, Start);
    CHECK_FALSE(controller.observe(release("v2", GrantOutcome::Cancelled), "", Start));
    CHECK(controller.observe(release("v2", GrantOutcome::Cancelled), "", Start + 2s));
}

// Guards against a fault on one route that the good answers of all others hide.
TEST_CASE("a version that fails on one route is halted", "[versioncontroller]")
{
    auto controller = create();
    controller.apply({ 0, Start, step(state::ChangeState::Shifting, 10) }, Start);
    bool halted = false;
    for (int i = 0; i < 300 && !halted; ++i) {
        const bool isRare = i % 30 == 29;
        const auto outcome = isRare ? GrantOutcome::Failed : GrantOutcome::Complete;
        halted = controller.observe(release("v2", outcome), isRare ? "/print" : "/status", Start + i * 1s).has_value();
    }
    REQUIRE(halted);
    CHECK(controller.halts()[0].reason.starts_with("route /print: 3 of 3"));
}

// Guards against an outdated lease holder whose late records move a change back.
TEST_CASE("outdated steps are ignored, and the state of a change only rises", "[versioncontroller]")
{
    auto controller = create();
    state::Offset offset = 0;
    const auto apply = [&](const state::VersionStep &record) {
        return controller.apply({ offset++, Start, record }, Start).has_value();
    };
    CHECK(apply(step(state::ChangeState::Shifting, 100, 7)));
    CHECK_FALSE(apply(step(state::ChangeState::Shifting, 250, 5)));
    CHECK_FALSE(apply(step(state::ChangeState::Shifting, 50, 7)));
    CHECK(controller.shares(Pool).sharePerMille == 100);
    CHECK(apply(step(state::ChangeState::RolledBack, 0, 8)));
    CHECK_FALSE(apply(step(state::ChangeState::Done, 1000, 9)));
    CHECK(controller.shares(Pool).from == "v1");
    CHECK(controller.status()[0].state == state::ChangeState::RolledBack);
}

// Guards against orders and steps by a host that has lost the lease.
TEST_CASE("a host decides only with the lease and an accepted fencing number", "[versioncontroller]")
{
    auto controller = create();
    reportAll(controller, "v1", Start);
    CHECK(controller.decide({}, Start).steps.empty());
    const auto first = controller.decide({ { Pool, 5 } }, Start);
    REQUIRE(first.steps.size() == 1);
    CHECK(first.steps[0].state == state::ChangeState::Loading);
    CHECK(first.orders.empty());
    controller.apply({ 0, Start, first.steps[0] }, Start);
    const auto orders = controller.decide({ { Pool, 5 } }, Start).orders;
    REQUIRE(orders.size() == 1);
    controller.answered({ orders[0].order, orders[0].target, true, false, "fencing" }, Start);
    CHECK(controller.decide({ { Pool, 5 } }, Start + 5s).orders.empty());
    reportAll(controller, "v1", Start + 5s);
    CHECK(controller.decide({ { Pool, 6 } }, Start + 5s).orders.size() == 1);
    controller.apply({ 1, Start, step(state::ChangeState::Loading, 0, 9) }, Start);
    CHECK(controller.decide({ { Pool, 6 } }, Start + 10s).orders.empty());
}

// Guards against a lost order, and against a target that obeys an outdated holder because it ignores fencing numbers.
TEST_CASE("orders are repeated until they are accepted and when a report shows a wrong version", "[versioncontroller]")
{
    auto controller = create();
    reportAll(controller, "v1", Start);
    controller.apply({ 0, Start, step(state::ChangeState::Loading, 0) }, Start);
    const auto first = controller.decide({ { Pool, 5 } }, Start).orders;
    REQUIRE(first.size() == 1);
    CHECK(controller.decide({ { Pool, 5 } }, Start + 1s).orders.empty());
    const auto second = controller.decide({ { Pool, 5 } }, Start + 2s).orders;
    REQUIRE(second.size() == 1);
    CHECK(second[0].target == first[0].target);
    controller.answered({ second[0].order, second[0].target, true, true, "" }, Start + 2s);
    report(controller, second[0].target, "v2", Start + 4s);
    reportAll(controller, "v1", Start + 14s);
    report(controller, second[0].target, "v1", Start + 15s);
    const auto third = controller.decide({ { Pool, 5 } }, Start + 15s).orders;
    REQUIRE_FALSE(third.empty());
    CHECK(third[0].target == first[0].target);
    CHECK(third[0].version == "v2");
}

// Guards against a target that goes on loading the bad version because it still reports the old one.
TEST_CASE("after an undone change all targets are ordered back", "[versioncontroller]")
{
    auto controller = create();
    reportAll(controller, "v1", Start);
    controller.apply({ 0, Start, step(state::ChangeState::Loading, 0) }, Start);
    const auto loading = controller.decide({ { Pool, 5 } }, Start).orders;
    controller.halt(Pool, "v2", "test");
    const auto decisions = controller.decide({ { Pool, 5 } }, Start + 100ms);
    REQUIRE(decisions.steps.size() == 1);
    CHECK(decisions.steps[0].state == state::ChangeState::RolledBack);
    REQUIRE(decisions.orders.size() == 1);
    CHECK(decisions.orders[0].target == loading[0].target);
    CHECK(decisions.orders[0].version == "v1");
}

// Guards against a step that is lost with its append, and against one that the log forgets while it still applies.
TEST_CASE("steps are appended again until read back and before they expire", "[versioncontroller]")
{
    auto controller = create();
    CHECK(controller.decide({ { Pool, 5 } }, Start).steps.size() == 1);
    CHECK(controller.decide({ { Pool, 5 } }, Start + 500ms).steps.empty());
    CHECK(controller.decide({ { Pool, 5 } }, Start + 1s).steps.size() == 1);
    controller.apply({ 0, Start, step(state::ChangeState::Done, 1000) }, Start);
    CHECK(controller.shares(Pool).from == "v2");
    CHECK(controller.decide({ { Pool, 5 } }, Start + 5h).steps.empty());
    const auto refreshed = controller.decide({ { Pool, 8 } }, Start + 6h).steps;
    REQUIRE(refreshed.size() == 1);
    CHECK((refreshed[0].state == state::ChangeState::Done && refreshed[0].fencing == 8));
}

// Guards against a change that starts from a version that is not in force, or to one that is known to be bad.
TEST_CASE("a change on another base or to a halted version is undone", "[versioncontroller]")
{
    auto changed = configuration(9, 1h);
    changed->changes.push_back({ "layout-v3", Pool, "v2", "v3", Start + 1h });
    auto controller = VersionController::create("a1", 100);
    controller.configure(changed);
    controller.readTo(0, true);
    controller.apply({ 0, Start, step(state::ChangeState::RolledBack, 0) }, Start);
    const auto steps = controller.decide({ { Pool, 5 } }, Start).steps;
    REQUIRE(steps.size() == 1);
    CHECK((steps[0].changeId == "layout-v3" && steps[0].state == state::ChangeState::RolledBack));
    CHECK(steps[0].reason == "version v1 is in force, not v2");
}

// Guards against a halt that was noticed just before the end of the change and would be lost with it.
TEST_CASE("a halted version is undone even after the change was done", "[versioncontroller]")
{
    auto controller = create();
    controller.apply({ 0, Start, step(state::ChangeState::Done, 1000) }, Start);
    controller.halt(Pool, "v2", "late fault");
    CHECK_FALSE(controller.shares(Pool).fromAllowed);
    const auto steps = controller.decide({ { Pool, 5 } }, Start).steps;
    REQUIRE(steps.size() == 1);
    CHECK(steps[0].state == state::ChangeState::RolledBack);
}

namespace {

/** Behaviour of the new version. */
struct Behaviour
{
    double errorRate = 0.002;
    double slowdown = 1;
    int fromShare = 0; /**< the faults show from this share on */
};

/** Result of a simulated change. */
struct Outcome
{
    state::ChangeState state = state::ChangeState::Loading;
    state::Duration time{};
    int faulty = 0; /**< requests that the version served while it was faulty */
    int highestShare = 0;
};

/** One pool of targets of unequal speed with its traffic, controlled by one host with the lease. */
class SimulatedPool
{
public:
    SimulatedPool(std::uint64_t seed, double rate, const Behaviour &behaviour)
        : m_random(seed)
        , m_rate(rate)
        , m_behaviour(behaviour)
    {
        for (int i = 0; i < Targets; ++i) {
            m_targets["layout-" + std::to_string(i)] = { 4.0 - i % 4, "v1", "v1", {} };
        }
    }

    Outcome run(state::Duration deadline)
    {
        // Ordinary traffic before the change is declared gives the baselines.
        auto before = configuration(Targets, deadline);
        const auto changes = std::exchange(before->changes, {});
        m_controller.configure(before);
        m_controller.readTo(0, true);
        for (auto now = Start - 5min; now < Start; now += 100ms) {
            serve(now);
        }
        auto declared = std::make_shared<state::Configuration>(*before);
        declared->changes = changes;
        m_controller.configure(declared);
        for (auto now = Start; now < Start + deadline; now += 100ms) {
            step(now);
            const auto state = m_controller.status()[0].state;
            m_outcome.state = state;
            if (state == state::ChangeState::Done || state == state::ChangeState::RolledBack) {
                m_outcome.time = now - Start;
                break;
            }
        }
        return m_outcome;
    }

private:
    static constexpr int Targets = 9;
    struct SimulatedTarget
    {
        double slowness = 1;
        std::string version;
        std::string loading;
        state::Time loadedAt{};
    };

    double uniform()
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    }

    void step(state::Time now)
    {
        for (auto &[id, target] : m_targets) {
            target.version = now >= target.loadedAt ? target.loading : target.version;
            m_controller.reported({ id, now, 0, 0, target.version, target.version != target.loading }, now);
        }
        const auto decisions = m_controller.decide({ { Pool, 5 } }, now);
        for (const auto &record : decisions.steps) {
            m_controller.apply({ m_offset++, now, record }, now);
        }
        for (const auto &order : decisions.orders) {
            m_targets[order.target].loading = order.version;
            m_targets[order.target].loadedAt = now + 5s;
            m_controller.answered({ order.order, order.target, true, true, "" }, now);
        }
        serve(now);
        const auto shares = m_controller.shares(Pool);
        m_outcome.highestShare = std::max(m_outcome.highestShare, shares.sharePerMille);
    }

    void serve(state::Time now)
    {
        for (double due = m_rate * 0.1; due > 0; --due) {
            if (uniform() < due) {
                serveOne(now);
            }
        }
    }

    void serveOne(state::Time now)
    {
        const auto shares = m_controller.shares(Pool);
        const bool isNew = uniform() * 1000 < shares.sharePerMille;
        const auto version = isNew ? shares.to : shares.from;
        std::vector<state::TargetId> ready;
        for (const auto &[id, target] : m_targets) {
            if (target.version == version) {
                ready.push_back(id);
            }
        }
        if (ready.empty()) {
            return;
        }
        const auto &id = ready[m_random() % ready.size()];
        const bool isFaulty = isNew && shares.sharePerMille >= m_behaviour.fromShare;
        m_outcome.faulty += isFaulty ? 1 : 0;
        const bool fails = uniform() < (isFaulty ? m_behaviour.errorRate : 0.002);
        auto done = release(version, fails ? GrantOutcome::Failed : GrantOutcome::Complete, id);
        const double noise = std::exp(std::normal_distribution<double>(0, 0.4)(m_random));
        const double factor = noise * m_targets[id].slowness * (isFaulty ? m_behaviour.slowdown : 1);
        done.timeToFirstToken = state::Duration(static_cast<std::int64_t>(150'000 * factor));
        done.total = state::Duration(static_cast<std::int64_t>(2'650'000 * factor));
        m_controller.observe(done, "", now);
    }

    std::mt19937_64 m_random;
    double m_rate = 0;
    Behaviour m_behaviour;
    VersionController m_controller = VersionController::create("a1", 100);
    std::map<state::TargetId, SimulatedTarget> m_targets;
    state::Offset m_offset = 0;
    Outcome m_outcome;
};

/** Counts outcomes over many seeds. */
struct Tally
{
    int done = 0;
    int undone = 0;
    int mostFaulty = 0;
    int highestShare = 0;
    state::Duration longest{};
};

Tally tally(double rate, const Behaviour &behaviour, state::Duration deadline, int runs = 100)
{
    Tally result;
    for (int seed = 1; seed <= runs; ++seed) {
        const auto outcome = SimulatedPool(static_cast<std::uint64_t>(seed), rate, behaviour).run(deadline);
        result.done += outcome.state == state::ChangeState::Done ? 1 : 0;
        result.undone += outcome.state == state::ChangeState::RolledBack ? 1 : 0;
        result.mostFaulty = std::max(result.mostFaulty, outcome.faulty);
        result.highestShare = std::max(result.highestShare, outcome.highestShare);
        result.longest = std::max(result.longest, outcome.time);
    }
    return result;
}

} // namespace

// Guards against false alarms, and against evidence that takes longer than the deadline allows.
TEST_CASE("a good version is done in time on targets of unequal speed", "[versioncontroller]")
{
    const auto result = tally(20, {}, 15min);
    INFO("done " << result.done << " undone " << result.undone << " longest " << state::toSeconds(result.longest));
    CHECK(result.done >= 95);
    CHECK(result.done + result.undone == 100);
}

// Guards against a failing version that gets more than the first share.
TEST_CASE("a failing version gets a few requests", "[versioncontroller]")
{
    const auto result = tally(20, { 0.5, 1, 0 }, 15min, 40);
    INFO("faulty " << result.mostFaulty << " share " << result.highestShare);
    CHECK(result.undone == 40);
    CHECK(result.highestShare <= VersionController::MaxFirstShare);
}

// Guards against a slow version that a comparison across targets of unequal speed would miss.
TEST_CASE("a slow version is undone", "[versioncontroller]")
{
    const auto result = tally(20, { 0.002, 2, 0 }, 15min, 40);
    INFO("undone " << result.undone << " faulty " << result.mostFaulty << " share " << result.highestShare
                   << " longest " << state::toSeconds(result.longest));
    CHECK(result.undone == 40);
    CHECK(result.highestShare <= 100);
    CHECK(result.longest <= 6min);
}

// Guards against a version that was good at a small share and is trusted for good.
TEST_CASE("a version that fails under load is undone", "[versioncontroller]")
{
    const auto result = tally(20, { 0.3, 1, 250 }, 15min, 40);
    INFO("undone " << result.undone << " faulty " << result.mostFaulty);
    CHECK(result.undone == 40);
    CHECK(result.highestShare == 250);
    CHECK(result.mostFaulty <= 30);
}

// Guards against a change that is neither done nor undone at its deadline, and against a good guess without evidence.
TEST_CASE("a change without enough traffic is undone before its deadline", "[versioncontroller]")
{
    const auto result = tally(0.2, {}, 10min, 20);
    CHECK(result.undone == 20);
    CHECK(result.longest <= 10min - VersionController::EndReserve);
}
