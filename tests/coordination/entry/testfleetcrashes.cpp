#include "tests/coordination/entry/simulatedfleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <numeric>
#include <optional>

using namespace sapphirecove;
using namespace sapphirecove::tests::entry;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/** Terms of the users' rule BUDGET, for a part of prompts and for a whole request. */
constexpr std::size_t CrashesToLearn = 5;
constexpr std::size_t RequestCrashesToLearn = 3;
constexpr std::size_t AllowedAfter = 3;
constexpr state::Duration ContactTime = seconds(4);

/** Time after which all hosts know the decider. */
constexpr state::Duration Settling = seconds(2);

constexpr std::uint64_t Deadly = 0xdead;
constexpr std::uint64_t Shared = 0x5a;

/** Highest bit of a number that stands for a whole request and not for a part of a prompt. */
constexpr std::uint64_t RequestBit = std::uint64_t{ 1 } << 63U;
constexpr std::uint64_t DeadlyRequest = RequestBit | 0xdead;

/** Fleet that gets sound requests and requests with a deadly part; all have the same first part. */
class CrashScenario
{
public:
    explicit CrashScenario(const SimulatedFleet::Options &options)
        : m_options(options)
        , m_fleet(options)
        , m_random(options.seed * 7919 + 1)
    {
        m_fleet.setDeadlyParts({ Deadly, DeadlyRequest });
        m_fleet.runUntil(Start + Settling);
    }

    SimulatedFleet &fleet()
    {
        return m_fleet;
    }

    /** Lets @p soundPerSecond and one deadly request in @p deadlyEvery of them arrive at random hosts. */
    void load(state::Duration duration, int soundPerSecond, int deadlyEvery)
    {
        const state::Time end = m_fleet.now() + duration;
        std::uniform_int_distribution<int> host(0, m_options.hosts - 1);
        std::uniform_int_distribution<std::uint64_t> part(1, 20);
        for (int i = 0; m_fleet.now() < end; ++i) {
            submit(host(m_random), { Shared, part(m_random) }, milliseconds(600));
            if (deadlyEvery > 0 && i % deadlyEvery == 0) {
                submit(host(m_random), { Shared, Deadly }, milliseconds(600));
            }
            m_fleet.runUntil(m_fleet.now() + state::Duration(seconds(1)) / soundPerSecond);
        }
    }

    /** Lets sound requests, each another one, and the deadly request arrive at random hosts; all have @p parts. */
    void loadRequests(state::Duration duration,
                      int soundPerSecond,
                      state::Duration deadlyInterval,
                      const std::vector<std::uint64_t> &parts)
    {
        const state::Time end = m_fleet.now() + duration;
        std::uniform_int_distribution<int> host(0, m_options.hosts - 1);
        state::Time nextDeadly = m_fleet.now();
        const auto withParts = [&parts](std::uint64_t request) {
            std::vector<std::uint64_t> result{ request };
            result.insert(result.end(), parts.begin(), parts.end());
            return result;
        };
        while (m_fleet.now() < end) {
            submit(host(m_random), withParts(RequestBit | (0x1000000 + ++m_lastRequest)), milliseconds(600));
            if (m_fleet.now() >= nextDeadly) {
                submit(host(m_random), withParts(DeadlyRequest), milliseconds(600));
                nextDeadly = m_fleet.now() + deadlyInterval;
            }
            m_fleet.runUntil(m_fleet.now() + state::Duration(seconds(1)) / soundPerSecond);
        }
    }

    /**
     * Lets sound requests and deadly ones arrive at random hosts, each another one; all have the same @p count parts,
     * of which the one at @p place is the deadly one in deadly requests.
     */
    void loadLongPrompts(state::Duration duration,
                         int soundPerSecond,
                         state::Duration deadlyInterval,
                         std::size_t count,
                         std::size_t place)
    {
        const state::Time end = m_fleet.now() + duration;
        std::uniform_int_distribution<int> host(0, m_options.hosts - 1);
        state::Time nextDeadly = m_fleet.now();
        while (m_fleet.now() < end) {
            std::vector<std::uint64_t> parts{ RequestBit | (0x1000000 + ++m_lastRequest) };
            for (std::size_t i = 1; i <= count; ++i) {
                parts.push_back(0x5c1e000000 + i);
            }
            submit(host(m_random), parts, milliseconds(400));
            if (m_fleet.now() >= nextDeadly) {
                parts.front() = RequestBit | (0x1000000 + ++m_lastRequest);
                parts[place] = Deadly;
                submit(host(m_random), parts, milliseconds(400));
                nextDeadly = m_fleet.now() + deadlyInterval;
            }
            m_fleet.runUntil(m_fleet.now() + state::Duration(seconds(1)) / soundPerSecond);
        }
    }

    std::uint64_t submit(int host, std::vector<std::uint64_t> parts, state::Duration work)
    {
        ScheduledRequest request = makeRequest(0, 1, 600, m_fleet.now());
        request.latencyTarget = seconds(1);
        request.deadline = m_fleet.now() + seconds(10);
        request.parts = std::move(parts);
        const auto &all = request.parts;
        const bool isDeadly = all.front() == DeadlyRequest || std::find(all.begin(), all.end(), Deadly) != all.end();
        const std::uint64_t id = m_fleet.submit(host, std::move(request), work);
        (isDeadly ? m_deadly : m_sound).push_back(id);
        return id;
    }

    /** Requests that reached targets later than the rule allows for the first ones. */
    std::size_t lateArrivals(std::size_t crashesToLearn = CrashesToLearn) const
    {
        const auto &crashes = m_fleet.deadlyCrashes();
        if (crashes.size() < crashesToLearn) {
            return 0;
        }
        const state::Time learned = crashes[crashesToLearn - 1] + ContactTime;
        const auto &arrivals = m_fleet.deadlyArrivals();
        return static_cast<std::size_t>(std::count_if(arrivals.begin(), arrivals.end(), [learned](state::Time at) {
            return at > learned;
        }));
    }

    /** Sound requests that were refused because of their parts. */
    std::size_t wronglyRefused() const
    {
        return refusedOf(m_sound);
    }

    std::size_t deadlyRefused() const
    {
        return refusedOf(m_deadly);
    }

private:
    std::size_t refusedOf(const std::vector<std::uint64_t> &ids) const
    {
        return static_cast<std::size_t>(std::count_if(ids.begin(), ids.end(), [this](std::uint64_t id) {
            const auto found = m_fleet.decisions().find(id);
            return found != m_fleet.decisions().end() && found->second.refusal == RefusalReason::CrashesTargets;
        }));
    }

    SimulatedFleet::Options m_options;
    SimulatedFleet m_fleet;
    std::mt19937 m_random;
    std::vector<std::uint64_t> m_sound;
    std::vector<std::uint64_t> m_deadly;
    std::uint64_t m_lastRequest = 0;
};

} // namespace

// Guards against BUDGET: the crashes are seen by different hosts, each once.
TEST_CASE("a fleet stops sending a part that crashes targets, and nothing else", "[entry][fleet][crash]")
{
    const auto options = GENERATE(SimulatedFleet::Options{ 6, 9, 12, 0, 3, 0 },
                                  SimulatedFleet::Options{ 6, 9, 12, 0.05, 4, 0 },
                                  SimulatedFleet::Options{ 40, 20, 8, 0.01, 5, 0 });
    CrashScenario scenario(options);
    scenario.load(seconds(2), 60, 0);
    scenario.load(seconds(12), 60, 20);
    CHECK(scenario.fleet().deadlyCrashes().size() <= CrashesToLearn);
    CHECK(scenario.lateArrivals() == 0);
    CHECK(scenario.deadlyRefused() > 0);
    CHECK(scenario.wronglyRefused() == 0);
}

// Guards against BUDGET and LOST (review/8): the part stands behind more others than were accused.
TEST_CASE("a deadly part at any place of long prompts is kept from targets, and nothing else",
          "[entry][fleet][crash][long]")
{
    const auto [count, place] = GENERATE(table<std::size_t, std::size_t>(
        { { 80, 70 }, { 120, 10 }, { 120, 110 }, { 120, 120 }, { 1000, 1 }, { 1000, 999 } }));
    const auto interval = GENERATE(milliseconds(150), milliseconds(400));
    CAPTURE(count, place, interval.count());
    CrashScenario scenario({ 6, 12, 8, 0.01, 3, 0 });
    scenario.loadLongPrompts(seconds(1), 40, std::chrono::hours(1), count, count);
    scenario.loadLongPrompts(seconds(10), 40, interval, count, place);
    CHECK(scenario.fleet().deadlyCrashes().size() <= CrashesToLearn + AllowedAfter);
    CHECK(scenario.lateArrivals() == 0);
    CHECK(scenario.deadlyRefused() > 0);
    CHECK(scenario.wronglyRefused() == 0);
}

// Guards against BUDGET: what a message leaves out is lost with the decider.
TEST_CASE("what a decider knows of a deadly part of long prompts survives it", "[entry][fleet][crash][long]")
{
    CrashScenario scenario({ 6, 12, 8, 0, 3, 0 });
    scenario.loadLongPrompts(seconds(1), 40, std::chrono::hours(1), 120, 110);
    for (int killed = 0; killed < 3; ++killed) {
        scenario.loadLongPrompts(milliseconds(1500), 40, milliseconds(700), 120, 110);
        const auto deciders = scenario.fleet().deciders();
        REQUIRE_FALSE(deciders.empty());
        scenario.fleet().restart(deciders.front());
    }
    scenario.loadLongPrompts(seconds(10), 40, milliseconds(400), 120, 110);
    CHECK(scenario.lateArrivals() <= AllowedAfter);
    CHECK(scenario.fleet().deadlyCrashes().size() <= CrashesToLearn + AllowedAfter);
    CHECK(scenario.wronglyRefused() == 0);
}

// Guards against BUDGET: a request that comes again and again gets a trial after each quarantine.
TEST_CASE("a request that crashes targets reaches few of them however long it comes", "[entry][fleet][crash]")
{
    const auto options =
        GENERATE(SimulatedFleet::Options{ 6, 9, 12, 0, 3, 0 }, SimulatedFleet::Options{ 6, 3, 6, 0.05, 4, 0 });
    const auto parts = GENERATE(std::vector<std::uint64_t>{}, std::vector<std::uint64_t>{ Shared, 7 });
    CrashScenario scenario(options);
    scenario.loadRequests(std::chrono::minutes(12), 2, seconds(4), parts);
    CHECK(scenario.lateArrivals(RequestCrashesToLearn) <= AllowedAfter);
    CHECK(scenario.deadlyRefused() > 0);
    CHECK(scenario.wronglyRefused() == 0);
}

// Guards against BUDGET: crashes at the same moment count as one, and the next ones as well.
TEST_CASE("a request that crashes targets and comes in bursts is blocked in time", "[entry][fleet][crash]")
{
    CrashScenario scenario({ 6, 12, 6, 0, 3, 0 });
    scenario.loadRequests(seconds(1), 20, std::chrono::hours(1), {});
    for (int burst = 0; burst < 4; ++burst) {
        for (int host = 0; host < 6; ++host) {
            scenario.submit(host, { DeadlyRequest }, milliseconds(600));
        }
        scenario.fleet().runUntil(scenario.fleet().now() + seconds(6));
    }
    CHECK(scenario.lateArrivals(RequestCrashesToLearn) <= AllowedAfter);
    CHECK(scenario.wronglyRefused() == 0);
}

// Guards against BUDGET: of hundreds of hosts, hardly any sees a request twice.
TEST_CASE("a large fleet stops sending a request that crashes targets", "[entry][fleet][crash]")
{
    CrashScenario scenario({ 195, 60, 8, 0.01, 5, 0 });
    scenario.loadRequests(seconds(1), 200, std::chrono::hours(1), {});
    scenario.loadRequests(seconds(6), 200, milliseconds(200), {});
    CHECK(scenario.lateArrivals(RequestCrashesToLearn) == 0);
    CHECK(scenario.fleet().deadlyCrashes().size() <= RequestCrashesToLearn + AllowedAfter);
    CHECK(scenario.deadlyRefused() > 0);
    CHECK(scenario.wronglyRefused() == 0);
}

// Guards against a verdict that only one host has: it dies, or each request is decided by another one.
TEST_CASE("what a decider knows of a request that crashes targets survives it", "[entry][fleet][crash]")
{
    CrashScenario scenario({ 6, 9, 12, 0, 3, 0 });
    scenario.loadRequests(seconds(1), 40, milliseconds(1500), {});
    for (int killed = 0; killed < 3; ++killed) {
        const auto deciders = scenario.fleet().deciders();
        REQUIRE_FALSE(deciders.empty());
        scenario.fleet().restart(deciders.front());
        scenario.loadRequests(milliseconds(1500), 40, milliseconds(700), {});
    }
    scenario.loadRequests(seconds(10), 40, milliseconds(700), {});
    CHECK(scenario.lateArrivals(RequestCrashesToLearn) <= AllowedAfter);
    CHECK(scenario.fleet().deadlyCrashes().size() <= RequestCrashesToLearn + AllowedAfter);
    CHECK(scenario.wronglyRefused() == 0);
}

// Guards against a verdict that only one host has: it dies, or each request is decided by another one.
TEST_CASE("what a decider knows of deadly parts survives it", "[entry][fleet][crash]")
{
    CrashScenario scenario({ 6, 9, 12, 0, 3, 0 });
    scenario.load(seconds(2), 60, 0);
    std::size_t killed = 0;
    while (killed < 3) {
        const auto before = scenario.fleet().deadlyCrashes().size();
        scenario.load(seconds(1), 60, 20);
        const auto deciders = scenario.fleet().deciders();
        if (scenario.fleet().deadlyCrashes().size() > before || killed > 0) {
            REQUIRE_FALSE(deciders.empty());
            scenario.fleet().restart(deciders.front());
            ++killed;
        }
        scenario.load(milliseconds(500), 60, 0);
    }
    scenario.load(seconds(10), 60, 20);
    CHECK(scenario.lateArrivals() <= AllowedAfter);
    CHECK(scenario.fleet().deadlyCrashes().size() <= CrashesToLearn + AllowedAfter);
    CHECK(scenario.wronglyRefused() == 0);
}

TEST_CASE("a host that was paused or cut off learns of a deadly part before it sends", "[entry][fleet][crash]")
{
    CrashScenario scenario({ 6, 9, 12, 0, 3, 0 });
    scenario.load(seconds(2), 60, 0);
    scenario.fleet().pause(5, false);
    scenario.load(seconds(6), 60, 10);
    const auto crashes = scenario.fleet().deadlyCrashes().size();
    scenario.fleet().resume(5);
    for (int i = 0; i < 20; ++i) {
        scenario.submit(5, { Shared, Deadly }, milliseconds(600));
        scenario.fleet().runUntil(scenario.fleet().now() + milliseconds(50));
    }
    scenario.load(seconds(2), 60, 0);
    CHECK(scenario.fleet().deadlyCrashes().size() == crashes);
    CHECK(scenario.wronglyRefused() == 0);
}

// Guards against blame at an ordinary failure: many targets end at once, or one after the other, at the busiest time.
TEST_CASE("crashes of targets that no request causes block no part", "[entry][fleet][crash]")
{
    CrashScenario scenario({ 6, 12, 8, 0.01, 7, 0 });
    scenario.load(seconds(3), 80, 0);
    const bool atOnce = GENERATE(true, false);
    for (int target = 0; target < 10; ++target) {
        scenario.fleet().crash("t" + std::to_string(target));
        if (!atOnce) {
            scenario.load(milliseconds(700), 80, 0);
        }
    }
    scenario.load(seconds(8), 80, 0);
    CHECK(scenario.wronglyRefused() == 0);
}

TEST_CASE("requests that wait when their part is blocked are refused with a time to come back", "[entry][crash]")
{
    auto scheduler = makeScheduler();
    scheduler->targets().listed(makeTarget("a", 1));
    ScheduledRequest running = makeRequest(1, 1, 600);
    scheduler->enqueue(running, Start);
    REQUIRE(scheduler->decide(Start).size() == 1);
    ScheduledRequest deadly = makeRequest(2, 1, 600);
    deadly.parts = { Shared, Deadly };
    ScheduledRequest sound = makeRequest(3, 1, 600);
    sound.parts = { Shared, 1 };
    CHECK_FALSE(scheduler->enqueue(deadly, Start));
    CHECK_FALSE(scheduler->enqueue(sound, Start));
    const std::uint32_t build = scheduler->targets().find("a")->build();
    for (std::uint32_t target = 1; target <= 3; ++target) {
        const state::Time at = Start + milliseconds(10 * target);
        scheduler->suspects().crashed({ target, build, deadly.parts, at - milliseconds(5) }, at);
    }
    const state::Time now = Start + milliseconds(50);
    const auto decisions = scheduler->decide(now);
    REQUIRE(decisions.size() == 1);
    CHECK(decisions.front().request == 2);
    CHECK(decisions.front().refusal == RefusalReason::CrashesTargets);
    CHECK(decisions.front().retryAfter > seconds(20));
    deadly.id = 4;
    REQUIRE(scheduler->enqueue(deadly, now));
    CHECK(scheduler->waiting() == 1);
}

// Guards against BUDGET: a target is back before the host asks whether it refuses connections.
TEST_CASE("a target whose address another one has after a connection broke has crashed", "[entry][crash]")
{
    auto scheduler = makeScheduler();
    auto entry = makeTarget("a", 1);
    scheduler->targets().listed(entry);
    const bool restarts = GENERATE(true, false);
    const bool changesId = GENERATE(true, false);
    const std::vector<std::uint64_t> parts{ DeadlyRequest };
    for (std::uint64_t id = 1; id <= 3; ++id) {
        const state::Time now = Start + seconds(10 * id);
        ScheduledRequest request = makeRequest(id, 1, 600, now);
        request.parts = parts;
        CHECK_FALSE(scheduler->enqueue(request, now));
        REQUIRE(scheduler->decide(now).size() == 1);
        scheduler->finished(id, AttemptOutcome::Broken, 0, now + milliseconds(20));
        if (restarts) {
            scheduler->targets().removed(entry.id, false, now + milliseconds(500));
            entry.id = changesId ? "a" + std::to_string(id) : entry.id;
            ++entry.startedUnixMs;
            scheduler->targets().listed(entry);
        }
        scheduler->expireTargets(now + seconds(1));
    }
    CHECK(scheduler->suspects().isBlocked(parts, scheduler->targets().find(entry.id)->build()) == restarts);
}

TEST_CASE("a stream that began long before its target crashed accuses no part", "[entry][crash]")
{
    auto scheduler = makeScheduler();
    for (std::uint64_t id = 1; id <= 4; ++id) {
        const std::string target = "t" + std::to_string(id);
        scheduler->targets().listed(makeTarget(target, 1));
        ScheduledRequest request = makeRequest(id, 1, 600, Start + seconds(10 * id));
        request.parts = { Shared };
        CHECK_FALSE(scheduler->enqueue(request, request.arrived));
        REQUIRE(scheduler->decide(request.arrived).size() == 1);
        scheduler->firstEvent(id, request.arrived + milliseconds(100));
        scheduler->finished(id, AttemptOutcome::Crashed, 20, request.arrived + milliseconds(900));
    }
    CHECK(scheduler->suspects().suspectCount() == 0);
}

// Guards against a decider that runs out of memory: it holds the parts of all prompts that wait or run in the fleet.
TEST_CASE("long prompts are refused as overload when the memory for parts is used up, and short ones are not",
          "[entry][crash][long]")
{
    auto scheduler = makeScheduler();
    scheduler->targets().listed(makeTarget("a", 2));
    std::vector<std::uint64_t> longest(ScheduledRequest::MaxParts);
    std::iota(longest.begin(), longest.end(), 1);
    std::size_t held = 0;
    std::optional<Decision> refusal;
    for (std::uint64_t id = 1; id <= 2000 && !refusal; ++id) {
        ScheduledRequest request = makeRequest(id, 1, 600);
        request.deadline = Start + std::chrono::hours(100);
        request.parts = longest;
        refusal = scheduler->enqueue(request, Start);
        held += refusal ? 0 : longest.size();
        scheduler->decide(Start);
    }
    REQUIRE(refusal);
    CHECK(refusal->refusal == RefusalReason::Overloaded);
    CHECK(refusal->retryAfter > state::Duration::zero());
    CHECK(held >= 100 * longest.size());
    CHECK(held * sizeof(std::uint64_t) <= 16'000'000);
    ScheduledRequest ordinary = makeRequest(5000, 1, 600);
    ordinary.deadline = Start + std::chrono::hours(100);
    ordinary.parts = { 1, 2, 3 };
    CHECK_FALSE(scheduler->enqueue(ordinary, Start));
    scheduler->withdraw(300, Start);
    ScheduledRequest next = makeRequest(5001, 1, 600);
    next.deadline = Start + std::chrono::hours(100);
    next.parts = longest;
    CHECK_FALSE(scheduler->enqueue(next, Start));
}
