#include "coordination/membership.h"

#include <catch2/catch.hpp>

#include <set>

using namespace sapphirecove;
using namespace sapphirecove::coordination;
using namespace std::chrono_literals;

namespace {

const state::Time Start = state::timeFromMicroseconds(1'000'000'000);

Membership create(const std::string &host = "a1")
{
    return Membership::create({ host, 100, "accra", "accra-osu" });
}

state::ListedHost listedHost(const std::string &id, const std::string &region)
{
    return { id, "127.0.0.1", 8002, region, region + "-1", state::ListedState::Live };
}

state::HostList fleet()
{
    return {
        { listedHost("a1", "accra"), listedHost("a2", "accra"), listedHost("a3", "accra"), listedHost("k1", "kumasi") },
        { { "layout-1", state::ListedState::Live }, { "layout-2", state::ListedState::Leaving } }
    };
}

Heartbeat heartbeat(std::uint64_t sequence)
{
    Heartbeat result;
    result.sequence = sequence;
    return result;
}

Membership joined(state::Time now, const std::string &host = "a1")
{
    auto membership = create(host);
    membership.updateHostList(fleet(), now);
    for (const auto *id : { "a1", "a2", "a3", "k1" }) {
        membership.recordHeartbeat(id, 7, heartbeat(8), now);
    }
    return membership;
}

} // namespace

// Guards against a delayed heartbeat of an ended process that replaces the newer state of the restarted host.
TEST_CASE("a heartbeat of an older incarnation is rejected", "[membership]")
{
    auto membership = joined(Start);
    CHECK(membership.recordHeartbeat("a2", 9, heartbeat(10), Start + 500ms));
    CHECK_FALSE(membership.recordHeartbeat("a2", 7, heartbeat(99), Start + 600ms));
    CHECK(membership.acknowledgedTo("a2") == 10);
    CHECK(membership.incarnationOf("a2") == 9);
    CHECK_FALSE(membership.isAlive("a2", Start + 1500ms));
}

// Guards against a restarted host that no other one hears again: its incarnation is lower if the time of day was set
// back.
TEST_CASE("a process that starts after the clock was set back replaces the one before it", "[membership][restart]")
{
    auto membership = joined(Start);
    CHECK(membership.recordHeartbeat("a2", 9, heartbeat(10), Start + 500ms));
    CHECK_FALSE(membership.recordHeartbeat("a2", 5, heartbeat(6), Start + 1499ms));
    CHECK(membership.recordHeartbeat("a2", 5, heartbeat(7), Start + 1500ms));
    CHECK(membership.isAlive("a2", Start + 2s));
    CHECK(membership.incarnationOf("a2") == 5);
    CHECK(membership.acknowledgedTo("a2") == 7);
    CHECK(membership.recordHeartbeat("a2", 9, heartbeat(11), Start + 1600ms));
    CHECK_FALSE(membership.recordHeartbeat("a2", 5, heartbeat(8), Start + 1700ms));
}

// Guards against a host that counts as alive for too long, or not long enough, after its last heartbeat.
TEST_CASE("a host is alive for one second after a heartbeat", "[membership]")
{
    const auto membership = joined(Start);
    CHECK(membership.isAlive("a2", Start + 999ms));
    CHECK_FALSE(membership.isAlive("a2", Start + 1s));
    CHECK(membership.isAlive("a1", Start + 1h));
    CHECK(membership.aliveHosts(Start + 1s) == std::vector<state::HostId>{ "a1" });
}

// Guards against two arbiters of one group when all hosts have the same view, and against a host in the region that is
// never selected.
TEST_CASE("all hosts select the same arbiter, and groups are spread over the hosts of the region", "[membership]")
{
    const auto a1 = joined(Start, "a1");
    const auto a2 = joined(Start, "a2");
    std::set<state::HostId> selected;
    for (int shard = 0; shard < 60; ++shard) {
        const auto group = "layout-llm@accra#" + std::to_string(shard);
        const auto arbiter = a1.arbiterOf(group, "accra", Start);
        REQUIRE(arbiter);
        CHECK(arbiter == a2.arbiterOf(group, "accra", Start));
        selected.insert(*arbiter);
    }
    CHECK(selected == std::set<state::HostId>{ "a1", "a2", "a3" });
}

// Guards against a task being given to a host that is dead, draining, leaving or not listed.
TEST_CASE("only live, listed hosts that are not draining are selected", "[membership]")
{
    auto membership = joined(Start);
    membership.setDraining(true);
    auto draining = heartbeat(9);
    draining.draining = true;
    membership.recordHeartbeat("a2", 7, draining, Start);
    membership.recordHeartbeat("unlisted", 7, heartbeat(1), Start);
    CHECK(membership.arbiterOf("g", "accra", Start) == "a3");
    auto list = fleet();
    list.hosts[2].state = state::ListedState::Leaving;
    membership.updateHostList(list, Start);
    CHECK(membership.arbiterOf("g", "accra", Start) == "k1");
    CHECK(membership.selectHost("checkpoint", Start) == "k1");
    CHECK_FALSE(membership.arbiterOf("g", "accra", Start + 1s));
}

// Guards against groups of other hosts changing their arbiter when one host fails.
TEST_CASE("the failure of a host moves only the groups that it arbitrated", "[membership]")
{
    auto membership = joined(Start);
    for (const auto *id : { "a2", "k1" }) {
        membership.recordHeartbeat(id, 7, heartbeat(9), Start + 900ms);
    }
    for (int shard = 0; shard < 60; ++shard) {
        const auto group = "layout-llm@accra#" + std::to_string(shard);
        const auto before = membership.arbiterOf(group, "accra", Start);
        if (before != "a3") {
            CHECK(membership.arbiterOf(group, "accra", Start + 1s) == before);
        }
    }
}

// Guards against an acknowledgement for an earlier incarnation of this host that counts for the current one.
TEST_CASE("acknowledgements count only for this incarnation", "[membership]")
{
    auto membership = joined(Start);
    const auto first = membership.nextSequence();
    CHECK(first > 100);
    auto answer = heartbeat(9);
    answer.acknowledged = 60;
    membership.recordHeartbeat("a2", 7, answer, Start);
    CHECK(membership.acknowledgedBy("a2") == 0);
    CHECK_FALSE(membership.lastAcknowledgement("a2"));
    answer.sequence = 10;
    answer.acknowledged = first;
    membership.recordHeartbeat("a2", 7, answer, Start + 100ms);
    CHECK(membership.acknowledgedBy("a2") == first);
    CHECK(membership.lastAcknowledgement("a2") == Start + 100ms);
}

// Guards against a host that resumes after a pause, takes all peers for dead and selects itself for every task.
TEST_CASE("a pause of this host does not make its peers look dead", "[membership]")
{
    auto membership = joined(Start);
    membership.compensatePause(5s);
    CHECK(membership.isAlive("a2", Start + 5500ms));
    CHECK_FALSE(membership.isAlive("a2", Start + 6s));
}

// Guards against a readiness decision before the peers had time to send a heartbeat.
TEST_CASE("the view is settled once all listed hosts have sent a heartbeat or one second has passed", "[membership]")
{
    auto membership = create();
    CHECK_FALSE(membership.isSettled(Start));
    membership.updateHostList(fleet(), Start);
    CHECK(membership.hasHostList());
    CHECK_FALSE(membership.isSettled(Start + 500ms));
    CHECK(membership.isSettled(Start + 1s));
    auto known = heartbeat(1);
    known.generation = 4;
    for (const auto *id : { "a2", "a3", "k1" }) {
        membership.recordHeartbeat(id, 7, known, Start + 500ms);
    }
    CHECK(membership.isSettled(Start + 500ms));
    CHECK(membership.highestPeerGeneration(Start + 500ms) == 4);
    CHECK(membership.highestPeerGeneration(Start + 1500ms) == 0);
}

// Guards against work for a target that is listed as leaving or not listed.
TEST_CASE("the state of a target follows the latest host list", "[membership]")
{
    const auto membership = joined(Start);
    CHECK(membership.targetState("layout-1") == state::ListedState::Live);
    CHECK(membership.targetState("layout-2") == state::ListedState::Leaving);
    CHECK_FALSE(membership.targetState("layout-3"));
    CHECK(membership.peers().size() == 3);
    CHECK(membership.status(Start).size() == 3);
}
