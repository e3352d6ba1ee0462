#include "tests/coordination/entry/simulatedfleet.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace sapphirecove;
using namespace sapphirecove::tests::entry;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr state::Duration Settling = seconds(2);

/** Time after which the decider has heard what a target said to a host: an urgent report, lost and sent again. */
constexpr state::Duration ToldDelay = milliseconds(600);

SelfStatement leaving()
{
    SelfStatement statement;
    statement.leaving = true;
    return statement;
}

SelfStatement backOff(state::Duration time)
{
    SelfStatement statement;
    statement.backOff = time;
    return statement;
}

SelfStatement limit(double requestsPerSecond)
{
    SelfStatement statement;
    statement.rate = { RateStatement::Kind::Limit, requestsPerSecond };
    return statement;
}

ScheduledRequest requestOf(std::uint64_t id, int priority, state::Time now)
{
    ScheduledRequest request = makeRequest(id, priority, 600, now);
    request.deadline = now + seconds(10);
    return request;
}

/** Lets requests arrive at random hosts of @p fleet for @p duration; returns their ids and hosts. */
std::vector<std::pair<std::uint64_t, int>> load(
    SimulatedFleet &fleet, int hosts, state::Duration duration, std::mt19937 &random, const std::set<int> &stopped = {})
{
    std::vector<std::pair<std::uint64_t, int>> submitted;
    const state::Time end = fleet.now() + duration;
    while (fleet.now() < end) {
        const int host = std::uniform_int_distribution<int>(0, hosts - 1)(random);
        if (!stopped.contains(host)) {
            submitted.emplace_back(fleet.submit(host, requestOf(0, 1, fleet.now()), milliseconds(300)), host);
        }
        fleet.runUntil(fleet.now() + milliseconds(20));
    }
    return submitted;
}

} // namespace

// Guards against LIMIT: revisions begin at 1 with each process, so that a host that has just started took the old limit
// of the others for newer than what the target had told it.
TEST_CASE("a host that has just started keeps a limit that is newer than that of the others", "[entry][limit][restart]")
{
    constexpr std::uint32_t target = 7;
    TargetStatements running(1);
    TargetStatements started(2);
    for (const double rate : { 8.0, 6.0, 9.0 }) {
        running.heard(target, limit(rate), Start, Start);
    }
    const state::Time heard = Start + seconds(5);
    started.heard(target, limit(2), heard, heard);
    state::Time now = heard + milliseconds(100);
    SECTION("the others learn of the newer limit")
    {
        started.merge(running.shares(now), now);
        CHECK(started.find(target)->requestsPerSecond == 2);
        CHECK(started.takeUrgent());
        running.merge(started.shares(now), now);
        CHECK(running.find(target)->requestsPerSecond == 2);
        CHECK(running.digest() == started.digest());
    }
    SECTION("the others have heard the target later")
    {
        running.heard(target, limit(9), now, now);
        now += milliseconds(100);
        started.merge(running.shares(now), now);
        CHECK(started.find(target)->requestsPerSecond == 9);
    }
    SECTION("the limit has ended")
    {
        started.heard(target, SelfStatement{}, heard + milliseconds(1), heard + milliseconds(1));
        started.merge(running.shares(now), now);
        CHECK(started.find(target)->ended);
        running.merge(started.shares(now), now);
        CHECK(running.find(target)->ended);
    }
}

// Guards against an older answer, on another connection, that undoes what the target has said since.
TEST_CASE("an answer that may be older does not undo a newer statement", "[entry][statements]")
{
    TargetStatements statements;
    statements.heard(1, leaving(), Start, Start);
    statements.heard(1, {}, Start - seconds(1), Start + milliseconds(10));
    statements.heard(1, {}, Start + seconds(1), Start + seconds(2));
    CHECK(statements.isLeaving(1));

    statements.heard(2, backOff(seconds(5)), Start, Start);
    statements.heard(2, backOff(seconds(1)), Start, Start + milliseconds(10));
    statements.heard(2, {}, Start, Start + milliseconds(20));
    CHECK(statements.closedUntil(2, {}, Start + seconds(4)) == Start + seconds(5));
    CHECK_FALSE(statements.closedUntil(2, {}, Start + seconds(5)));

    statements.heard(3, limit(2), Start - milliseconds(50), Start);
    statements.heard(3, limit(20), Start - milliseconds(100), Start + milliseconds(10));
    CHECK(statements.rate(3, Start + milliseconds(10)) == 2.0);
    statements.heard(3, {}, Start - milliseconds(100), Start + milliseconds(20));
    REQUIRE(statements.find(3) != nullptr);
    CHECK_FALSE(statements.find(3)->ended);
    statements.heard(3, limit(1), Start - milliseconds(100), Start + milliseconds(30));
    CHECK(statements.rate(3, Start + milliseconds(30)) == 1.0); // A stricter one is followed at once.
    statements.heard(3, {}, Start + milliseconds(40), Start + milliseconds(80));
    CHECK(statements.find(3)->ended);
}

// Guards against one answer that takes a target away for a day, and against memory that grows with targets.
TEST_CASE("a back-off is bounded and statements are forgotten in the end", "[entry][statements]")
{
    TargetStatements statements;
    statements.heard(1, backOff(std::chrono::hours(24)), Start, Start);
    CHECK(statements.closedUntil(1, {}, Start + seconds(59)));
    CHECK_FALSE(statements.closedUntil(1, {}, Start + seconds(60)));
    for (std::uint32_t target = 2; target < 40000; ++target) {
        statements.heard(target, leaving(), Start, Start + milliseconds(target));
    }
    CHECK(statements.leavingCount() <= 16384);
    CHECK(statements.isLeaving(39999));
    statements.expire(Start + std::chrono::hours(2));
    CHECK(statements.leavingCount() == 0);
    // Each statement ends by itself, so that hosts agree about what is known and do not exchange it for ever.
    statements.heard(1, limit(2), Start, Start);
    statements.heard(1, leaving(), Start, Start);
    statements.expire(Start + std::chrono::minutes(30));
    CHECK(statements.isLeaving(1));
    TargetStatements other;
    other.heard(1, leaving(), Start, Start);
    CHECK(statements.digest() == other.digest());
}

// Guards against a target that starts again under the same id and is taken for the one that was leaving.
TEST_CASE("a new incarnation under the same id owes nothing", "[entry][statements]")
{
    auto scheduler = makeScheduler();
    auto entry = makeTarget("a");
    scheduler->targets().listed(entry);
    const std::uint32_t before = scheduler->targets().find("a")->hash();
    scheduler->statements().heard(before, leaving(), Start, Start);
    scheduler->targets().listed(entry); // The store still says that it is ready.
    scheduler->enqueue(requestOf(1, 1, Start), Start);
    CHECK(scheduler->decide(Start).empty());
    entry.startedUnixMs += 1;
    scheduler->targets().listed(entry);
    CHECK(scheduler->targets().find("a")->hash() != before);
    CHECK(scheduler->decide(Start).size() == 1);
}

// Guards against a back-off towards one host that keeps all others away while the target is all there is.
TEST_CASE("a back-off closes a target to the host that heard it and is avoided by others", "[entry][statements]")
{
    auto scheduler = makeScheduler();
    scheduler->targets().listed(makeTarget("a"));
    scheduler->targets().listed(makeTarget("b", 1));
    PeerReport report;
    report.host = "other";
    report.incarnation = 7;
    report.backOffs.push_back({ scheduler->targets().find("a")->hash(), 3000 });
    scheduler->statements().peerReported(report, Start);
    const auto place = [&](std::uint64_t id, const std::string &host) {
        ScheduledRequest request = requestOf(id, 1, Start);
        request.host = host;
        scheduler->enqueue(request, Start);
        const auto decisions = scheduler->decide(Start);
        return decisions.empty() ? std::string("none") : decisions.front().target.id;
    };
    CHECK(place(1, "third") == "b");
    CHECK(place(2, "third") == "a"); // The other one is full.
    CHECK(place(3, "other") == "none");
    // A new process of that host has heard nothing.
    report.incarnation = 8;
    report.backOffs.clear();
    scheduler->statements().peerReported(report, Start);
    const auto decisions = scheduler->decide(Start);
    REQUIRE(decisions.size() == 1);
    CHECK(decisions.front().target.id == "a");
}

// Guards against requests that wait in vain, or return at once, while all targets back off, and against a herd at the
// end of that time.
TEST_CASE("when all targets back off at once the most urgent request goes first at the end", "[entry][statements]")
{
    auto scheduler = makeScheduler();
    for (const char *id : { "a", "b" }) {
        scheduler->targets().listed(makeTarget(id, 30));
        scheduler->statements().heard(scheduler->targets().find(id)->hash(), backOff(seconds(2)), Start, Start);
    }
    std::uint64_t id = 0;
    for (int i = 0; i < 30; ++i) {
        CHECK_FALSE(scheduler->enqueue(requestOf(++id, 2, Start), Start));
    }
    const std::uint64_t urgent = ++id;
    CHECK_FALSE(scheduler->enqueue(requestOf(urgent, 0, Start), Start));
    // A request that could not wait so long is refused at once, with the time after which it may return.
    std::set<state::Duration> times;
    for (int i = 0; i < 8; ++i) {
        const auto refusal = scheduler->enqueue(makeRequest(++id, 0, 600), Start);
        REQUIRE(refusal);
        CHECK(refusal->retryAfter >= seconds(2));
        times.insert(refusal->retryAfter);
    }
    CHECK(times.size() >= 4);
    CHECK(scheduler->decide(Start + milliseconds(1990)).empty());
    std::vector<std::uint64_t> order;
    state::Time now = Start + seconds(2);
    std::size_t first100Ms = 0;
    for (; now < Start + milliseconds(3900); now += milliseconds(10)) {
        for (const auto &decision : scheduler->decide(now)) {
            order.push_back(decision.request);
            CHECK_FALSE(decision.refusal);
        }
        first100Ms = now <= Start + milliseconds(2100) ? order.size() : first100Ms;
    }
    CHECK(first100Ms <= 4);
    REQUIRE(order.size() == 31); // All are placed in time.
    CHECK(order.front() == urgent);
}

// Guards against requests that wait although the statement that came meanwhile leaves them no time.
TEST_CASE("a waiting request is refused as soon as its targets back off for longer than it can wait",
          "[entry][statements]")
{
    auto scheduler = makeScheduler();
    scheduler->targets().listed(makeTarget("a", 1));
    scheduler->enqueue(requestOf(1, 1, Start), Start);
    REQUIRE(scheduler->decide(Start).size() == 1);
    scheduler->enqueue(requestOf(2, 1, Start), Start);
    CHECK(scheduler->decide(Start).empty());
    scheduler->statements().heard(scheduler->targets().find("a")->hash(), backOff(seconds(20)), Start, Start);
    const auto decisions = scheduler->decide(Start + milliseconds(10));
    REQUIRE(decisions.size() == 1);
    CHECK(decisions.front().refusal == RefusalReason::Overloaded);
    CHECK(decisions.front().retryAfter >= seconds(5)); // The longest that callers are told, and a spread.
}

// Guards against a refusal where the replacement of leaving targets would have been there in time.
TEST_CASE("a request waits while all targets leave and goes to the one that replaces them", "[entry][statements]")
{
    auto scheduler = makeScheduler();
    scheduler->targets().listed(makeTarget("a"));
    scheduler->statements().heard(scheduler->targets().find("a")->hash(), leaving(), Start, Start);
    CHECK_FALSE(scheduler->enqueue(requestOf(1, 1, Start), Start));
    CHECK(scheduler->decide(Start + seconds(1)).empty());
    scheduler->targets().listed(makeTarget("b"));
    REQUIRE(scheduler->decide(Start + milliseconds(1100)).size() == 1);
    CHECK_FALSE(scheduler->enqueue(requestOf(2, 1, Start + seconds(2)), Start + seconds(2)));
    scheduler->statements().heard(scheduler->targets().find("b")->hash(), leaving(), Start, Start + seconds(2));
    CHECK(scheduler->decide(Start + seconds(3)).empty());
    const auto refused = scheduler->decide(Start + milliseconds(6100));
    REQUIRE(refused.size() == 1);
    CHECK(refused.front().refusal);
}

// Guards against a decider that goes on placing requests of a host at a target that has told that host to send nothing.
TEST_CASE("a decider knows what the hosts have heard", "[entry][fleet][statements]")
{
    for (const bool leaves : { true, false }) {
        INFO((leaves ? "leaving" : "back-off"));
        std::mt19937 random(5);
        SimulatedFleet fleet({ 8, 3, 12 });
        fleet.runUntil(Start + Settling);
        REQUIRE(fleet.deciders().size() <= 1);
        const auto before = load(fleet, 8, seconds(2), random);
        REQUIRE(fleet.deciders().size() == 1);
        // The decider hears nothing itself.
        std::set<int> hearers{ 0, 1, 2, 3, 4, 5, 6, 7 };
        hearers.erase(fleet.deciders().front());
        fleet.setClosing("t0", leaves, leaves ? state::Duration() : seconds(20), hearers);
        const auto submitted = load(fleet, 8, seconds(6), random);
        fleet.runUntil(fleet.now() + seconds(11));
        CHECK(fleet.forbiddenArrivals() == 0);
        for (const auto &withheld : fleet.withheld()) {
            CHECK(withheld.at - withheld.heardAt < ToldDelay);
        }
        for (const auto &[id, host] : submitted) {
            CHECK(fleet.decisions().contains(id));
        }
        if (leaves) { // Nobody else goes on sending.
            const auto &arrivals = fleet.arrivalsAt("t0");
            CHECK(arrivals.back().at < Start + Settling + seconds(3));
        }
    }
}

// Guards against schedules that no case above has: statements to one host only, with hosts and the store away.
TEST_CASE("statements bind under random schedules of faults", "[entry][fleet][statements][random]")
{
    for (std::uint32_t seed = 1; seed <= 40; ++seed) {
        INFO("seed " << seed);
        std::mt19937 random(seed);
        const auto pick = [&random](int first, int last) {
            return std::uniform_int_distribution<int>(first, last)(random);
        };
        const int hosts = pick(2, 10);
        const int targets = pick(2, 5);
        SimulatedFleet fleet({ hosts, targets, 12, 0.01 * pick(0, 4), seed });
        fleet.runUntil(Start + Settling);
        std::vector<std::pair<std::uint64_t, int>> submitted;
        std::set<int> disturbed;
        const auto run = [&](state::Duration duration, const std::set<int> &stopped = {}) {
            const auto more = load(fleet, hosts, duration, random, stopped);
            submitted.insert(submitted.end(), more.begin(), more.end());
        };
        const auto cut = [&](int host, bool isCut) {
            for (int other = 0; other < hosts; ++other) {
                if (other != host) {
                    fleet.setPartition(host, other, isCut);
                    fleet.setPartition(other, host, isCut);
                }
            }
        };
        run(seconds(1));
        for (int step = 0; step < 7; ++step) {
            const int host = pick(0, hosts - 1);
            const std::string target = "t" + std::to_string(pick(0, targets - 1));
            std::set<int> hearers{ host };
            for (int other = 0; other < hosts && pick(0, 1) == 0; ++other) {
                hearers.insert(other);
            }
            switch (pick(0, 6)) {
            case 0:
                fleet.setClosing(target, true, {}, hearers);
                break;
            case 1:
            case 2:
                fleet.setClosing(target, false, milliseconds(pick(20, 6000)), hearers);
                break;
            case 3:
                fleet.crash(target); // It returns as a new incarnation, which has said nothing.
                break;
            case 4:
                disturbed.insert(host);
                cut(host, true);
                run(milliseconds(pick(300, 3000)));
                cut(host, false);
                break;
            case 5:
                disturbed.insert(host);
                fleet.restart(host);
                break;
            case 6:
                disturbed.insert(host);
                fleet.pause(host, pick(0, 1) == 0);
                run(milliseconds(pick(300, 3000)), { host });
                fleet.resume(host);
                break;
            }
            if (pick(0, 3) == 0) {
                fleet.denyDiscovery(pick(0, hosts - 1)); // The store is away for this host.
            }
            run(milliseconds(pick(300, 2500)));
        }
        fleet.runUntil(fleet.now() + seconds(11));
        CHECK(fleet.forbiddenArrivals() == 0);
        const auto lost = std::count_if(submitted.begin(), submitted.end(), [&](const auto &item) {
            return !disturbed.contains(item.second) && !fleet.decisions().contains(item.first);
        });
        CHECK(lost == 0);
    }
}
