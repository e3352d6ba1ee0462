#include "coordination/claimtable.h"
#include "tests/coordination/simulatedlog.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace sapphirecove;
using namespace sapphirecove::coordination;
using namespace std::chrono_literals;

namespace {

const state::Time Start = state::timeFromMicroseconds(1'000'000'000);
constexpr state::Duration Retention = 10s;

ClaimTable create(const std::string &host = "a1", state::Incarnation incarnation = 1)
{
    return ClaimTable::create({ host, incarnation, Retention, 100 });
}

ClaimTable createCaughtUp()
{
    auto table = create();
    table.readTo(0, true);
    return table;
}

state::ClaimMade claimOf(const std::string &id, const std::string &host = "a2", state::Incarnation incarnation = 1)
{
    return { id, "osu-events", "badge-7", host, incarnation };
}

/** Applies records to a table with consecutive offsets. */
struct Feed
{
    ClaimTable &table;
    state::Offset offset = 0;

    void operator()(const state::LogRecord &record, state::Time time = Start)
    {
        table.apply({ offset++, time, record });
    }
};

KeyView viewOf(const ClaimTable &table)
{
    return table.view("osu-events", "badge-7");
}

} // namespace

// Guards against two requests with the same key that both win.
TEST_CASE("the first claim in log order wins", "[claimtable]")
{
    auto table = createCaughtUp();
    Feed feed{ table };
    REQUIRE(table.propose("mine", "osu-events", "badge-7"));
    CHECK(table.result("mine") == ClaimResult::Pending);
    CHECK(table.takeBatch(Start).size() == 1);
    feed(claimOf("other"));
    feed(claimOf("mine", "a1"));
    CHECK(table.result("mine") == ClaimResult::Lost);
    CHECK(viewOf(table).claim == "other");
    CHECK(viewOf(table).host == "a2");
    feed(state::ClaimReleased{ "other", "osu-events", "badge-7" });
    CHECK(table.result("mine") == ClaimResult::Lost);
    CHECK(table.claimsAwaitingRelease() == std::vector<state::ClaimId>{ "mine" });
    feed(state::ClaimReleased{ "mine", "osu-events", "badge-7" });
    CHECK(viewOf(table).state == KeyState::Free);
}

// Guards against a duplicate append that counts as a second claim, or that holds a key after its release.
TEST_CASE("a duplicate claim record has no effect", "[claimtable]")
{
    auto table = createCaughtUp();
    Feed feed{ table };
    table.propose("mine", "osu-events", "badge-7");
    feed(claimOf("mine", "a1"));
    feed(claimOf("mine", "a1"));
    CHECK(table.result("mine") == ClaimResult::Won);
    table.abandon("mine");
    feed(state::ClaimReleased{ "mine", "osu-events", "badge-7" });
    feed(claimOf("mine", "a1"));
    CHECK(viewOf(table).state == KeyState::Free);
    // A reader that starts between the release and the duplicate sees the claim as held, so it is released again.
    CHECK(table.claimsAwaitingRelease() == std::vector<state::ClaimId>{ "mine" });
}

// Guards against a key that becomes free while another claim holds it, or after its request has run.
TEST_CASE("only the holder's own release or result counts", "[claimtable]")
{
    auto table = createCaughtUp();
    Feed feed{ table };
    feed(claimOf("winner"));
    feed(claimOf("loser", "a3"));
    feed(state::ClaimReleased{ "loser", "osu-events", "badge-7" });
    feed(state::ClaimFinished{ "loser", "osu-events", "badge-7", 500 });
    CHECK(viewOf(table).state == KeyState::Held);
    feed(state::ClaimFinished{ "winner", "osu-events", "badge-7", 201 });
    feed(state::ClaimReleased{ "winner", "osu-events", "badge-7" });
    CHECK(viewOf(table).state == KeyState::Finished);
    CHECK(viewOf(table).status == 201);
}

// Guards against a key that stays held because its claim was stored after the request was rejected.
TEST_CASE("a claim stored after its request ended is released, and the release is repeated until read back",
          "[claimtable]")
{
    auto table = createCaughtUp();
    Feed feed{ table };
    table.propose("late", "osu-events", "badge-7");
    table.takeBatch(Start);
    table.abandon("late");
    CHECK(table.takeBatch(Start + 600ms).empty());
    feed(claimOf("late", "a1"));
    CHECK(table.claimsAwaitingRelease() == std::vector<state::ClaimId>{ "late" });
    CHECK(std::holds_alternative<state::ClaimReleased>(table.takeBatch(Start + 700ms).at(0)));
    CHECK(table.takeBatch(Start + 900ms).empty());
    CHECK(table.takeBatch(Start + 1200ms).size() == 1);
    feed(state::ClaimReleased{ "late", "osu-events", "badge-7" });
    CHECK(table.claimsAwaitingRelease().empty());
    CHECK(table.takeBatch(Start + 2s).empty());
}

// Guards against a restarted host that releases the key of a request which its earlier process may have dispatched.
TEST_CASE("claims of an earlier incarnation stay held", "[claimtable]")
{
    auto table = create("a1", 2);
    Feed feed{ table };
    feed(claimOf("earlier", "a1", 1));
    CHECK(table.claimsAwaitingRelease().empty());
    CHECK(viewOf(table).incarnation == 1);
}

// Guards against claims that expire within the retention time, or never.
TEST_CASE("a claim expires when it is older than the retention time by the log's clock", "[claimtable]")
{
    auto table = createCaughtUp();
    Feed feed{ table };
    feed(claimOf("first"));
    feed(state::ClaimReleased{ "unrelated", "osu-events", "badge-7" }, Start + Retention);
    CHECK(viewOf(table).claim == "first");
    feed(claimOf("second"), Start + Retention + 1us);
    CHECK(viewOf(table).claim == "second");
    CHECK(table.size() == 1);
}

// Guards against readers that disagree on the holder of a key: a reader that starts after the winner expired takes a
// lost claim for the holder, and frees the key when that claim expires although a later claim holds it for other
// readers.
TEST_CASE("the holder of a key does not depend on when a reader started", "[claimtable]")
{
    auto early = createCaughtUp();
    auto late = create();
    Feed feedEarly{ early };
    feedEarly(claimOf("expired"));
    late.readFrom(1);
    Feed feedLate{ late, 1 };
    const auto feedBoth = [&](const state::LogRecord &record, state::Duration after) {
        feedEarly(record, Start + after);
        feedLate(record, Start + after);
    };
    feedBoth(claimOf("lost"), Retention / 2);
    feedBoth(claimOf("next"), Retention + 1s);
    feedBoth(claimOf("last"), Retention * 3 / 2 + 1s);
    CHECK(viewOf(early).claim == "next");
    CHECK(viewOf(late).claim == "next");
}

// Guards against winning over a claim that expired before this host read it, and against a claim before the first read.
TEST_CASE("a claim that was pending when records were missed does not win", "[claimtable]")
{
    auto table = create();
    CHECK_FALSE(table.propose("mine", "osu-events", "badge-7"));
    table.readFrom(3);
    table.readTo(3, true);
    REQUIRE(table.propose("mine", "osu-events", "badge-7"));
    table.readFrom(4);
    CHECK(table.result("mine") == ClaimResult::Unknown);
    table.apply({ 4, Start, claimOf("mine", "a1") });
    CHECK(table.claimsAwaitingRelease().size() == 1);
}

// Guards against exceeding the log's rate of appends, and against a claim that is lost with its append.
TEST_CASE("claims are appended in batches and sent again until they are read back", "[claimtable]")
{
    auto table = createCaughtUp();
    Feed feed{ table };
    for (int i = 0; i < 5; ++i) {
        table.propose("c" + std::to_string(i), "osu-events", "key" + std::to_string(i));
    }
    CHECK(table.takeBatch(Start).size() == 5);
    table.propose("c5", "osu-events", "key5");
    CHECK(table.takeBatch(Start + 19ms).empty());
    CHECK(table.takeBatch(Start + 20ms).size() == 1);
    feed(state::ClaimMade{ "c5", "osu-events", "key5", "a1", 1 });
    CHECK(table.takeBatch(Start + 600ms).size() == 5);
    table.appendFailed(Start + 600ms);
    CHECK(table.takeBatch(Start + 639ms).empty());
}

// Guards against memory that grows with the number of keys, and against removing claims in force to make room.
TEST_CASE("a full table rejects new claims", "[claimtable]")
{
    auto table = createCaughtUp();
    Feed feed{ table };
    for (int i = 0; i < 100; ++i) {
        feed(state::ClaimMade{ "c" + std::to_string(i), "osu-events", std::to_string(i), "a2", 1 });
    }
    CHECK_FALSE(table.propose("mine", "osu-events", "badge-7"));
    feed(state::ClaimReleased{ "c1", "osu-events", "1" });
    CHECK(table.propose("mine", "osu-events", "badge-7"));
}

namespace {

/** Host that claims keys, dispatches requests whose claim won, abandons claims after 2 s, pauses and restarts. */
class ClaimingHost
{
public:
    ClaimingHost(std::string host, std::map<state::ClaimId, std::string> &dispatched)
        : m_host(std::move(host))
        , m_table(create(m_host, 1))
        , m_dispatched(dispatched)
    {
    }

    void step(tests::SimulatedLog &log, state::Time now)
    {
        if (log.randomBelow(100) == 0) {
            m_pausedUntil = now + log.randomDelay(2 * Retention);
        }
        if (now < m_pausedUntil) {
            return;
        }
        if (log.randomBelow(60) == 0) {
            m_table = create(m_host, ++m_incarnation);
            m_pendingClaims.clear();
        }
        if (log.randomBelow(4) == 0) {
            claim(log, now);
        }
        for (const auto &record : m_table.takeBatch(now)) {
            log.send(record, now, 4s);
        }
        if (log.randomBelow(3) != 0) {
            read(log);
        }
        endPendingClaims(log, now);
    }

private:
    void claim(tests::SimulatedLog &log, state::Time now)
    {
        const auto id = m_host + "." + std::to_string(m_incarnation) + "." + std::to_string(++m_number);
        const auto key = "key" + std::to_string(log.randomBelow(3));
        if (m_table.propose(id, "osu-events", key)) {
            m_pendingClaims[id] = { key, now };
        }
    }

    void read(tests::SimulatedLog &log)
    {
        const auto from = m_table.readPosition();
        const auto stale = std::min<state::Offset>(from, log.randomBelow(5));
        const auto read = log.read(from - stale, 1 + log.randomBelow(40));
        m_table.readFrom(read.first);
        for (const auto &record : read.records) {
            m_table.apply(record);
        }
        m_table.readTo(read.next, read.atEnd);
    }

    void endPendingClaims(tests::SimulatedLog &log, state::Time now)
    {
        for (auto item = m_pendingClaims.begin(); item != m_pendingClaims.end();) {
            const auto &[key, since] = item->second;
            const auto result = m_table.result(item->first);
            if (result == ClaimResult::Won && log.randomBelow(4) != 0) {
                m_dispatched[item->first] = key;
                m_table.finish(item->first, 200);
            } else if (result != ClaimResult::Pending || now - since > 2s) {
                m_table.abandon(item->first);
            } else {
                ++item;
                continue;
            }
            item = m_pendingClaims.erase(item);
        }
    }

    std::string m_host;
    state::Incarnation m_incarnation = 1;
    std::uint64_t m_number = 0;
    state::Time m_pausedUntil{};
    ClaimTable m_table;
    std::map<state::ClaimId, std::pair<std::string, state::Time>> m_pendingClaims;
    std::map<state::ClaimId, std::string> &m_dispatched;
};

/** Counts pairs of dispatched claims on one key whose first log records are not further apart than the retention. */
int duplicateExecutions(const tests::SimulatedLog &log, const std::map<state::ClaimId, std::string> &dispatched)
{
    std::map<std::string, state::Time> last;
    std::set<state::ClaimId> seen;
    int duplicates = 0;
    for (const auto &record : log.records) {
        const auto *claim = std::get_if<state::ClaimMade>(&record.record);
        if (claim == nullptr || !dispatched.contains(claim->claimId) || !seen.insert(claim->claimId).second) {
            continue;
        }
        const auto previous = last.find(claim->key);
        duplicates += previous != last.end() && record.time - previous->second <= Retention ? 1 : 0;
        last[claim->key] = record.time;
    }
    return duplicates;
}

} // namespace

// Guards against a request that runs twice within the retention time, with lost, duplicate and delayed appends, stale
// reads, pauses, restarts and expiry.
TEST_CASE("no key has two winners within the retention time in random schedules", "[claimtable]")
{
    std::size_t dispatchedClaims = 0;
    for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
        tests::SimulatedLog log(seed);
        std::map<state::ClaimId, std::string> dispatched;
        std::vector<ClaimingHost> hosts;
        for (const auto *host : { "a1", "a2", "k1" }) {
            hosts.emplace_back(host, dispatched);
        }
        auto now = Start;
        for (int step = 0; step < 200; ++step) {
            now += log.randomDelay(400ms);
            log.advance(now, Retention);
            for (auto &host : hosts) {
                host.step(log, now);
            }
        }
        INFO("seed " << seed);
        REQUIRE(duplicateExecutions(log, dispatched) == 0);
        dispatchedClaims += dispatched.size();
    }
    CHECK(dispatchedClaims > 10'000);
}
