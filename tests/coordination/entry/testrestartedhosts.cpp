#include "coordination/entry/processregistry.h"
#include "tests/coordination/entry/simulatedfleet.h"

#include <catch2/catch.hpp>

using namespace sapphirecove;
using namespace sapphirecove::tests::entry;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/** Time after which all hosts know the decider. */
constexpr state::Duration Settling = seconds(2);

constexpr std::uint64_t First = 11;
constexpr std::uint64_t Second = 22;

/** Returns a request with a long deadline for @p service. */
ScheduledRequest makeRequestFor(const std::string &service, state::Time now)
{
    ScheduledRequest request = makeRequest(0, 1, 600, now);
    request.service = service;
    request.route = "route-" + service;
    request.latencyTarget = seconds(3);
    request.deadline = now + seconds(20);
    return request;
}

PeerReport makeReport(std::uint64_t incarnation, std::uint32_t sequence)
{
    PeerReport report;
    report.host = "host-1";
    report.incarnation = incarnation;
    report.sequence = sequence;
    return report;
}

} // namespace

// Guards against ROUTE (review/6): a host numbers its requests from 1 after each start and took the decision about a
// request of the process before it for one of its own.
TEST_CASE("a restarted host sends no request to the target of its predecessor's", "[entry][fleet][restart][random]")
{
    constexpr std::uint32_t schedules = 2000;
    for (std::uint32_t seed = 1; seed <= schedules; ++seed) {
        CAPTURE(seed);
        std::mt19937 random(seed);
        const auto draw = [&](int below) {
            return static_cast<int>(random() % static_cast<unsigned>(below));
        };
        SimulatedFleet::Options options;
        options.hosts = 2 + draw(3);
        options.targets = 2;
        options.slots = 2;
        options.loss = draw(2) == 0 ? 0 : 0.05;
        options.seed = seed;
        options.twoServices = true;
        SimulatedFleet fleet(options);
        fleet.runUntil(Start + Settling);
        std::map<int, state::Time> startsAt; // Hosts that are away.
        for (int step = 0; step < 150; ++step) {
            const int host = draw(options.hosts);
            const auto work = milliseconds(100 + draw(300));
            if (!startsAt.contains(host)) {
                fleet.submit(host, makeRequestFor(draw(2) == 0 ? "llm" : "plain", fleet.now()), work);
            }
            const int victim = draw(options.hosts);
            if (draw(8) == 0 && !startsAt.contains(victim)) {
                fleet.kill(victim);
                startsAt[victim] = fleet.now() + milliseconds(draw(draw(2) == 0 ? 300 : 1200));
            }
            for (auto away = startsAt.begin(); away != startsAt.end();) {
                if (fleet.now() < away->second) {
                    ++away;
                    continue;
                }
                fleet.restart(away->first);
                away = startsAt.erase(away);
            }
            fleet.runUntil(fleet.now() + milliseconds(draw(40)));
        }
        REQUIRE(fleet.strayPlacements() == 0);
    }
}

// Guards against slots that stay in use at the decider: what a killed process waited for is placed at nobody.
TEST_CASE("a decider forgets what a killed process waited for once its successor speaks", "[entry][fleet][restart]")
{
    SimulatedFleet fleet({ 3, 1, 1 });
    fleet.runUntil(Start + Settling);
    fleet.submit(0, makeRequestFor("llm", fleet.now()), seconds(2));
    fleet.submit(1, makeRequestFor("llm", fleet.now()), seconds(2));
    fleet.runUntil(fleet.now() + milliseconds(50));
    REQUIRE(fleet.deciders().size() == 1);
    const int decider = fleet.deciders().front();
    const int killed = (decider + 1) % 3;
    const std::size_t before = fleet.scheduler(decider).waiting();
    for (int i = 0; i < 4; ++i) {
        fleet.submit(killed, makeRequestFor("llm", fleet.now()), milliseconds(300));
    }
    fleet.runUntil(fleet.now() + milliseconds(50));
    REQUIRE(fleet.scheduler(decider).waiting() == before + 4);
    fleet.restart(killed);
    fleet.runUntil(fleet.now() + milliseconds(50));
    CHECK(fleet.scheduler(decider).waiting() <= before);
}

TEST_CASE("a decision about a request of an earlier process is not taken", "[entry][fleet][restart]")
{
    SimulatedFleet::Options options;
    options.hosts = 2;
    options.targets = 2;
    options.slots = 1;
    options.twoServices = true;
    SimulatedFleet fleet(options);
    fleet.runUntil(Start + Settling);
    for (int i = 0; i < 2; ++i) {
        fleet.submit(i, makeRequestFor("llm", fleet.now()), seconds(5));
        fleet.runUntil(fleet.now() + milliseconds(50));
    }
    REQUIRE(fleet.deciders().size() == 1);
    const int decider = fleet.deciders().front();
    const int requester = 1 - decider;
    const auto waiting = fleet.submit(requester, makeRequestFor("llm", fleet.now()), seconds(5));
    fleet.runUntil(fleet.now() + milliseconds(50));
    DecisionReply reply;
    reply.decider = fleet.fleet(decider).self().host;
    reply.deciderIncarnation = fleet.fleet(decider).self().incarnation;
    reply.requesterIncarnation = fleet.fleet(requester).self().incarnation + 100;
    reply.requestSent = state::toMicroseconds(fleet.now());
    reply.state = DecisionReply::State::Decided;
    reply.decision.request = 2;
    reply.decision.target = makeTarget("t1", 1);
    reply.decision.target.service = "plain";
    CHECK_FALSE(fleet.fleet(requester).received(reply, fleet.now()));
    CHECK_FALSE(fleet.decisions().contains(waiting));
    CHECK(fleet.strayPlacements() == 0);
}

// Guards against load and quota that count twice or not at all: reports of a process are numbered from 1.
TEST_CASE("a late report of an earlier process changes nothing", "[entry][peertable][restart]")
{
    PeerTable peers;
    TargetTable targets;
    CHECK(peers.receive(makeReport(First, 100), targets, Start));
    CHECK(peers.receive(makeReport(Second, 1), targets, Start + milliseconds(300)));
    CHECK_FALSE(peers.receive(makeReport(First, 101), targets, Start + milliseconds(310)));
    CHECK(peers.peers().at("host-1").report.incarnation == Second);
    CHECK(peers.receive(makeReport(Second, 2), targets, Start + milliseconds(600)));
}

TEST_CASE("a process that counts as ended is believed again once the other one is silent", "[entry][restart]")
{
    using Sender = ProcessRegistry::Sender;
    ProcessRegistry processes;
    CHECK(processes.heard("a", Second, Start) == Sender::Successor);
    CHECK(processes.heard("a", First, Start + milliseconds(5)) == Sender::Successor); // A late message.
    CHECK(processes.heard("a", Second, Start + milliseconds(300)) == Sender::Ended);
    CHECK(processes.heard("b", Second, Start + milliseconds(300)) == Sender::Successor);
    const state::Time later = Start + milliseconds(10) + ProcessRegistry::SilentFor;
    CHECK(processes.heard("a", Second, later) == Sender::Successor);
    CHECK(processes.heard("a", Second, later + milliseconds(300)) == Sender::Current);
    CHECK(processes.heard("a", First, later + milliseconds(300)) == Sender::Ended);
    const state::Time forgotten = later + ProcessRegistry::ForgetAfter + seconds(1);
    processes.expire(forgotten);
    CHECK(processes.heard("a", First, forgotten) == Sender::Successor);
}

// Guards against keys and deciders that count as confirmed for too long: the reply echoes the clock of the process that
// reported, which may have run ahead of this one's.
TEST_CASE("a reply to a report of an earlier process is not taken", "[entry][fleet][restart]")
{
    SimulatedFleet fleet({ 2, 1, 1 });
    ReportReply reply;
    reply.host = "host-1";
    reply.canDecide = true;
    reply.qualified = true;
    reply.reportSentAt = state::toMicroseconds(Start + std::chrono::hours(3));
    reply.reporterIncarnation = fleet.fleet(0).self().incarnation + 1;
    CHECK_FALSE(fleet.fleet(0).received(reply, Start));
    CHECK(fleet.fleet(0).directory().latestReplyOf("host-1") == nullptr);
    reply.reporterIncarnation = fleet.fleet(0).self().incarnation;
    reply.reportSentAt = state::toMicroseconds(Start);
    CHECK(fleet.fleet(0).received(reply, Start));
}

// Guards against a full target: the end of what an earlier process of the decider placed is not that of a new
// placement.
TEST_CASE("an update about a placement of an earlier process ends no other one", "[entry][fleet][restart]")
{
    SimulatedFleet fleet({ 2, 1, 1 });
    fleet.runUntil(Start + Settling);
    fleet.submit(0, makeRequestFor("llm", fleet.now()), seconds(5));
    fleet.submit(1, makeRequestFor("llm", fleet.now()), seconds(5));
    fleet.runUntil(fleet.now() + milliseconds(50));
    REQUIRE(fleet.deciders().size() == 1);
    const int decider = fleet.deciders().front();
    const HostProcess self = fleet.fleet(decider).self();
    const HostProcess requester = fleet.fleet(1 - decider).self();
    const auto known = [&] {
        return fleet.scheduler(decider).waiting() + fleet.slotsInUseAt(decider);
    };
    REQUIRE(known() == 2);
    AttemptUpdate update{ requester.host, requester.incarnation, processHash(self.host, self.incarnation + 100), 1 };
    update.kind = AttemptUpdate::Kind::Withdrawn;
    CHECK_FALSE(fleet.fleet(decider).received(update, fleet.now()));
    CHECK(known() == 2);
    update.decider = processHash(self.host, self.incarnation);
    CHECK(fleet.fleet(decider).received(update, fleet.now()));
    CHECK(known() == 1);
}
