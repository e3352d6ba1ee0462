#include "tests/coordination/entry/requests.h"

#include <catch2/catch.hpp>

using namespace sapphirecove;
using namespace sapphirecove::tests::entry;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against targets that are dropped while the store restores their entries, or kept although they do not return.
TEST_CASE("an entry that expired while the store was unavailable may return within two seconds", "[entry][targettable]")
{
    TargetTable table;
    table.listed(makeTarget("a"));
    table.listed(makeTarget("b"));
    table.removed("a", true, Start);
    table.removed("b", true, Start);
    table.listed(makeTarget("a"));
    table.expire(Start + milliseconds(1999));
    CHECK(table.find("b") != nullptr);
    table.expire(Start + milliseconds(2000));
    CHECK(table.find("a") != nullptr);
    CHECK(table.find("b") == nullptr);
}

// Guards against requests to a target that is draining or no longer listed.
TEST_CASE("a removed or draining target gets no new requests", "[entry][targettable]")
{
    TargetTable table;
    table.listed(makeTarget("a"));
    auto leaving = makeTarget("b");
    leaving.draining = true;
    table.listed(leaving);
    CHECK(table.accepts(*table.find("a")));
    CHECK_FALSE(table.accepts(*table.find("b")));
    table.removed("a", false, Start);
    table.removed("b", true, Start);
    CHECK(table.size() == 0);
    CHECK(table.ofService("llm").empty());
}

// Guards against a restarted target that keeps the load of its former process or stays excluded.
TEST_CASE("a target that restarts under its id starts without load and with a new identity", "[entry][targettable]")
{
    TargetTable table;
    table.listed(makeTarget("a"));
    table.find("a")->dispatched({ true, 100, 10 });
    const std::uint32_t before = table.find("a")->hash();
    table.misdirected("a");
    CHECK_FALSE(table.accepts(*table.find("a")));
    auto again = makeTarget("a");
    again.startedUnixMs = 2000;
    table.listed(again);
    CHECK(table.find("a")->running() == 0);
    CHECK(table.find("a")->hash() != before);
    CHECK(table.accepts(*table.find("a")));
}

// Guards against DRAIN: the store comes back from a copy in which a target is ready that has said that it leaves.
TEST_CASE("a process that drains is not ready again", "[entry][targettable][restore]")
{
    TargetTable table;
    auto entry = makeTarget("a");
    entry.draining = true;
    table.listed(entry);
    entry.draining = false;
    table.listedInCopy(entry, Start);
    CHECK_FALSE(table.accepts(*table.find("a")));
    entry.startedUnixMs = 2000;
    table.listed(entry);
    CHECK(table.accepts(*table.find("a")));
}

// Guards against DRAIN: the same with a target that had left and whose entry is back with the copy.
TEST_CASE("an entry that a restored store brings back is used once its target must be alive",
          "[entry][targettable][restore]")
{
    TargetTable table;
    table.listed(makeTarget("left"));
    table.listed(makeTarget("lapsed"));
    table.listed(makeTarget("stays"));
    table.removed("left", false, Start);
    table.removed("lapsed", false, Start);
    const state::Time restored = Start + seconds(3);
    for (const char *id : { "left", "lapsed", "stays", "new" }) {
        table.listedInCopy(makeTarget(id), restored);
    }
    CHECK(table.find("left") == nullptr);
    CHECK(table.find("lapsed") == nullptr);
    CHECK(table.find("stays") != nullptr);
    CHECK(table.find("new") != nullptr);
    table.removed("left", false, restored + milliseconds(3600));
    CHECK(table.expire(restored + seconds(6)));
    CHECK(table.find("left") == nullptr);
    CHECK(table.find("lapsed") != nullptr);
    table.removed("stays", false, restored + seconds(7));
    table.listed(makeTarget("stays")); // The target itself has written its entry again.
    CHECK(table.find("stays") != nullptr);
}

// Guards against targets that stay listed because their removal was missed.
TEST_CASE("a complete list removes the targets that it does not contain", "[entry][targettable]")
{
    TargetTable table;
    table.listed(makeTarget("a"));
    table.listed(makeTarget("b"));
    table.retainOnly({ "b" }, false, Start);
    CHECK(table.find("a") == nullptr);
    CHECK(table.find("b") != nullptr);
}

// Guards against load of a peer that is counted from an old report, after the peer has gone, or not again once it is
// back.
TEST_CASE("a peer's load counts until it stops reporting", "[entry][peertable]")
{
    TargetTable targets;
    targets.listed(makeTarget("a"));
    PeerTable peers;
    PeerReport report;
    report.host = "host-2";
    report.incarnation = 7;
    report.sequence = 2;
    report.targets.push_back({ targets.find("a")->hash(), 9, 3, 4000 });
    CHECK(peers.receive(report, targets, Start));
    CHECK(targets.find("a")->running() == 3);
    CHECK(targets.find("a")->pendingPromptTokens() == 4000);

    SECTION("an older report is ignored")
    {
        report.sequence = 1;
        report.targets.clear();
        CHECK_FALSE(peers.receive(report, targets, Start));
        CHECK(targets.find("a")->running() == 3);
    }
    SECTION("a new process of the peer replaces the old one, whatever its sequence")
    {
        report.incarnation = 3;
        report.sequence = 1;
        report.targets.clear();
        CHECK(peers.receive(report, targets, Start));
        CHECK(targets.find("a")->running() == 0);
    }
    SECTION("missing reports remove the load, and a later report restores it")
    {
        CHECK(peers.expire(targets, Start + PeerTable::LiveFor).empty());
        CHECK(peers.expire(targets, Start + PeerTable::LiveFor + milliseconds(1)).size() == 1);
        CHECK(targets.find("a")->running() == 0);
        CHECK(peers.liveCount() == 0);
        report.sequence = 3;
        CHECK(peers.receive(report, targets, Start + seconds(3)));
        CHECK(targets.find("a")->running() == 3);
    }
    SECTION("load is counted again after the set of targets changed")
    {
        targets.listed(makeTarget("b"));
        peers.recount(targets);
        CHECK(targets.find("a")->running() == 3);
    }
}

// Requests that this host has placed for a peer are already counted by its scheduler.
TEST_CASE("a peer's load that this host placed is not counted twice", "[entry][peertable]")
{
    constexpr std::uint32_t self = 77;
    TargetTable targets;
    targets.listed(makeTarget("a"));
    PeerTable peers(self);
    PeerReport report;
    report.host = "host-2";
    report.targets.push_back({ targets.find("a")->hash(), self, 3, 4000 });
    report.targets.push_back({ targets.find("a")->hash(), self + 1, 2, 1000 });
    REQUIRE(peers.receive(report, targets, Start));
    CHECK(targets.find("a")->running() == 2);
    CHECK(targets.find("a")->pendingPromptTokens() == 1000);
}

// Guards against retries that exceed the bounds of the deployment, and a budget that is never refilled.
TEST_CASE("retries stay within a share of the requests and the host's part of the slack", "[entry][repeatbudget]")
{
    state::entry::Bounds bounds;
    bounds.retryRatio = 0.2;
    bounds.retrySlack = 50;
    constexpr std::size_t Hosts = 5;
    FleetRetryBudget budget(bounds);
    for (int i = 0; i < 100; ++i) {
        budget.recordRequest("llm", Start);
    }
    int taken = 0;
    while (budget.take("llm", Hosts, Start)) {
        ++taken;
    }
    CHECK(taken > 0);
    CHECK(taken <= 100 * bounds.retryRatio + bounds.retrySlack / Hosts);
    CHECK_FALSE(budget.take("llm", Hosts, Start + seconds(9)));
    CHECK(budget.take("llm", Hosts, Start + seconds(11)));
}
