#include "tests/coordination/entry/requests.h"

#include <catch2/catch.hpp>

using namespace sapphirecove;
using namespace sapphirecove::tests::entry;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

std::vector<std::uint64_t> dispatchedIds(const std::vector<Decision> &decisions)
{
    std::vector<std::uint64_t> ids;
    for (const auto &decision : decisions) {
        if (!decision.refusal) {
            ids.push_back(decision.request);
        }
    }
    return ids;
}

/** Prefill times: a fast engine prefills 100 tokens a ms, a slow one 22. */
constexpr double FastMsPerToken = 0.0103;
constexpr double SlowMsPerToken = 0.045;

} // namespace

// Guards against an order by arrival, in which a less urgent request delays an urgent one.
TEST_CASE("a free slot goes to the most urgent of the waiting requests", "[entry][scheduler]")
{
    auto scheduler = makeScheduler();
    scheduler->targets().listed(makeTarget("a", 1));
    CHECK_FALSE(scheduler->enqueue(makeRequest(1, 1, 600), Start));
    CHECK(dispatchedIds(scheduler->decide(Start)) == std::vector<std::uint64_t>{ 1 });
    scheduler->enqueue(makeRequest(2, 1, 600), Start);
    scheduler->enqueue(makeRequest(3, 0, 600), Start);
    CHECK(scheduler->decide(Start).empty());
    scheduler->firstEvent(1, Start + milliseconds(50));
    scheduler->finished(1, AttemptOutcome::Served, 50, Start + milliseconds(900));
    CHECK(dispatchedIds(scheduler->decide(Start + milliseconds(300))) == std::vector<std::uint64_t>{ 3 });
}

// Guards against requests that wait for the caller's whole time limit although the service has no target.
TEST_CASE("without a target a request is refused at once with a time to retry", "[entry][scheduler]")
{
    auto scheduler = makeScheduler();
    const auto refusal = scheduler->enqueue(makeRequest(1, 0, 600), Start);
    REQUIRE(refusal);
    CHECK(refusal->refusal == RefusalReason::NoTarget);
    CHECK(refusal->retryAfter > state::Duration::zero());
}

// Guards against long prompts on a slow engine: their prefill makes the pauses of all its streams too long.
TEST_CASE("a slow engine with running streams gets short prompts only", "[entry][scheduler]")
{
    auto scheduler = makeScheduler();
    scheduler->targets().listed(makeTarget("fast", 1));
    scheduler->targets().listed(makeTarget("slow", 12));
    recordSpeed(*scheduler, "fast", FastMsPerToken, 13, Start);
    recordSpeed(*scheduler, "slow", SlowMsPerToken, 65, Start);
    scheduler->enqueue(makeRequest(1, 1, 600), Start);
    scheduler->enqueue(makeRequest(2, 1, 600), Start);
    CHECK(scheduler->decide(Start).size() == 2); // One runs at each engine now.
    scheduler->enqueue(makeRequest(3, 0, 6600), Start);
    scheduler->enqueue(makeRequest(4, 1, 600), Start);
    const auto decisions = scheduler->decide(Start);
    REQUIRE(dispatchedIds(decisions) == std::vector<std::uint64_t>{ 4 });
    CHECK(decisions.front().target.id == "slow");
}

// Guards against refusals at the start of a burst: a group of urgent requests arrives while all slots are taken but
// about to become free.
TEST_CASE("a group of the most urgent requests does not count as a long queue", "[entry][scheduler]")
{
    auto scheduler = makeScheduler();
    scheduler->targets().listed(makeTarget("a", 10));
    std::uint64_t id = 0;
    // Recently served: one request of priority 0, then ten of priority 1 a second.
    for (int i = 0; i < 15; ++i) {
        const state::Time now = Start + milliseconds(100 * i);
        scheduler->enqueue(makeRequest(++id, i == 0 ? 0 : 1, 600, now), now);
        REQUIRE(scheduler->decide(now).size() == 1);
        scheduler->firstEvent(id, now + milliseconds(40));
        scheduler->finished(id, AttemptOutcome::Served, 50, now + milliseconds(90));
    }
    const state::Time burst = Start + milliseconds(1500);
    for (int i = 0; i < 10; ++i) {
        scheduler->enqueue(makeRequest(++id, 1, 600, burst), burst);
    }
    scheduler->decide(burst); // All slots are taken.
    int refused = 0;
    for (int i = 0; i < 6; ++i) {
        refused += scheduler->enqueue(makeRequest(++id, 0, 6600, burst), burst) ? 1 : 0;
    }
    CHECK(refused == 0);
}

// Guards against requests that are refused only after the caller's time limit: in a burst, such as one of 1.6 times the
// capacity, they would wait too long. Here 20 requests arrive while the only slot is taken.
TEST_CASE("a request that would wait longer than its caller is refused on arrival", "[entry][scheduler]")
{
    auto scheduler = makeScheduler();
    scheduler->targets().listed(makeTarget("a", 1));
    std::uint64_t id = 0;
    scheduler->enqueue(makeRequest(++id, 1, 600), Start);
    REQUIRE(scheduler->decide(Start).size() == 1);
    int waiting = 0;
    int refused = 0;
    for (int i = 0; i < 20; ++i) {
        const auto refusal = scheduler->enqueue(makeRequest(++id, 1, 600), Start);
        (refusal ? refused : waiting) += 1;
        if (refusal) {
            CHECK(refusal->refusal == RefusalReason::Overloaded);
            CHECK(refusal->retryAfter >= milliseconds(200));
            CHECK(refusal->retryAfter <= seconds(5));
        }
    }
    CHECK(waiting >= 1);
    CHECK(refused >= 15);
    // Queued requests that get no slot are refused within two fifths of the caller's time limit of 3.2 s.
    std::size_t expired = 0;
    for (const auto &decision : scheduler->decide(Start + milliseconds(1280))) {
        expired += decision.refusal == RefusalReason::Expired ? 1 : 0;
    }
    CHECK(expired == static_cast<std::size_t>(waiting));
}

// Guards against traffic to a distant target while a near one is free, and against idle distant targets.
TEST_CASE("targets of the own failure domain are preferred, distant ones take the rest", "[entry][scheduler]")
{
    auto scheduler = makeScheduler();
    auto far = makeTarget("far", 1);
    far.failureDomain = "adum";
    scheduler->targets().listed(far);
    scheduler->targets().listed(makeTarget("near", 1));
    scheduler->enqueue(makeRequest(1, 1, 600), Start);
    scheduler->enqueue(makeRequest(2, 1, 600), Start);
    const auto decisions = scheduler->decide(Start);
    REQUIRE(decisions.size() == 2);
    CHECK(decisions[0].target.id == "near");
    CHECK(decisions[1].target.id == "far");
}

// Guards against further requests to an unreachable target, and against a target that never gets another trial.
TEST_CASE("an unreachable target is ejected and tried again with one request", "[entry][scheduler]")
{
    auto scheduler = makeScheduler();
    scheduler->targets().listed(makeTarget("a", 4));
    scheduler->enqueue(makeRequest(1, 0, 600), Start);
    REQUIRE(scheduler->decide(Start).size() == 1);
    scheduler->finished(1, AttemptOutcome::Unreachable, 0, Start);
    scheduler->enqueue(makeRequest(2, 0, 600), Start);
    CHECK(scheduler->decide(Start + milliseconds(100)).empty());
    scheduler->enqueue(makeRequest(3, 0, 600), Start + milliseconds(600));
    const auto trial = scheduler->decide(Start + milliseconds(600));
    CHECK(dispatchedIds(trial).size() == 1);
    scheduler->finished(trial.front().request, AttemptOutcome::Served, 5, Start + milliseconds(700));
    CHECK(dispatchedIds(scheduler->decide(Start + milliseconds(700))).size() == 1);
}

// Guards against a retry at the target where the request has just failed.
TEST_CASE("a request never returns to a target that it has tried", "[entry][scheduler]")
{
    auto scheduler = makeScheduler();
    scheduler->targets().listed(makeTarget("a"));
    auto request = makeRequest(1, 0, 600);
    request.excludedTargets = { "a" };
    scheduler->enqueue(request, Start);
    CHECK(scheduler->decide(Start).empty());
    scheduler->targets().listed(makeTarget("b"));
    const auto decisions = scheduler->decide(Start);
    REQUIRE(decisions.size() == 1);
    CHECK(decisions.front().target.id == "b");
}

// Guards against refusing a request that failed at an unresponsive target under load before it could wait for another.
TEST_CASE("a request whose attempt failed may wait for another target", "[entry][scheduler]")
{
    auto scheduler = makeScheduler();
    scheduler->targets().listed(makeTarget("a", 1));
    scheduler->enqueue(makeRequest(1, 0, 600), Start);
    scheduler->decide(Start);
    const state::Time later = Start + milliseconds(1600);
    scheduler->finished(1, AttemptOutcome::Stalled, 0, later);
    scheduler->targets().listed(makeTarget("b", 1));
    scheduler->enqueue(makeRequest(2, 1, 600, later), later);
    scheduler->decide(later); // Takes one of the two targets.
    scheduler->enqueue(makeRequest(3, 1, 600, later), later);
    scheduler->decide(later); // Takes the other one.
    auto again = makeRequest(4, 0, 600);
    again.excludedTargets = { "a" };
    CHECK_FALSE(scheduler->enqueue(again, later));
    CHECK(scheduler->decide(later + milliseconds(300)).empty());
    scheduler->targets().listed(makeTarget("c", 1));
    CHECK(dispatchedIds(scheduler->decide(later + milliseconds(300))) == std::vector<std::uint64_t>{ 4 });
}
