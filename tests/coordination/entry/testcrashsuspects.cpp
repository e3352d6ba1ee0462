#include "coordination/entry/crashsuspects.h"
#include "tests/coordination/entry/requests.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>
#include <random>
#include <set>

using namespace sapphirecove;
using namespace sapphirecove::tests::entry;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Parts = std::vector<std::uint64_t>;

namespace {

constexpr std::uint64_t Deadly = 0xdead;
constexpr std::uint64_t Shared = 0x5a;
constexpr std::uint64_t DeadlyRequest = requestSuspect(0xdead);
constexpr std::uint32_t Build = 7;
constexpr std::uint32_t OtherBuild = 8;
constexpr state::Duration Held = milliseconds(100);

/** Records that @p target crashed at a request with @p parts that it had held for a short time. */
void crash(CrashSuspects &suspects,
           std::uint32_t target,
           const Parts &parts,
           state::Time now,
           std::uint32_t build = Build,
           state::Duration held = Held)
{
    suspects.crashed({ target, build, parts, now - held }, now);
}

/** Records @p count crashes at requests with @p parts, one a second from @p begin on; returns the time of the last. */
state::Time crashes(CrashSuspects &suspects, int count, const Parts &parts, state::Time begin, std::uint32_t first = 1)
{
    state::Time now = begin;
    for (int i = 0; i < count; ++i) {
        now = begin + seconds(i);
        crash(suspects, first + static_cast<std::uint32_t>(i), parts, now);
    }
    return now;
}

/** Different parts in the longest header of 16 KiB, and in which the first and the last place are tested. */
constexpr std::size_t LongestPrompt = 5461;

constexpr std::uint64_t DeadlyPart = 0x7bad0f00d;

/** Returns a request with @p count parts that all such prompts share, one of them replaced by the deadly one. */
Parts longPrompt(std::uint64_t request, std::size_t count, std::optional<std::size_t> deadlyPlace)
{
    Parts parts{ requestSuspect(request) };
    for (std::size_t place = 1; place <= count; ++place) {
        parts.push_back(place == deadlyPlace ? DeadlyPart : 0x5c1e000000 + place * 7919);
    }
    return parts;
}

} // namespace

TEST_CASE("a part is blocked after several crashes in a row", "[entry][crash]")
{
    CrashSuspects suspects(1);
    crashes(suspects, 2, { Deadly }, Start);
    CHECK_FALSE(suspects.isBlocked(Parts{ Deadly }, Build));
    crash(suspects, 9, { Deadly }, Start + seconds(3));
    CHECK(suspects.isBlocked(Parts{ Shared, Deadly }, Build));
    CHECK_FALSE(suspects.isBlocked(Parts{ Shared }, Build));
    CHECK(suspects.takeUrgent());
    REQUIRE(suspects.takeChanges().size() == 1);
}

// Guards against blame by the failure of a domain, a kill of many targets, or the end of a rollout's old ones.
TEST_CASE("crashes at the same moment count as one", "[entry][crash]")
{
    CrashSuspects suspects(1);
    for (std::uint32_t target = 1; target <= 50; ++target) {
        crash(suspects, target, { Shared }, Start + milliseconds(target), Build, seconds(2));
    }
    CHECK_FALSE(suspects.isBlocked(Parts{ Shared }, Build));
}

// A fast engine crashes so soon that the time between crashes does not tell them apart.
TEST_CASE("a crash at a request that was sent after another crash counts separately", "[entry][crash]")
{
    CrashSuspects suspects(1);
    for (std::uint32_t target = 1; target <= 3; ++target) {
        crash(suspects, target, { Deadly }, Start + milliseconds(4 * target), Build, milliseconds(2));
    }
    CHECK(suspects.isBlocked(Parts{ Deadly }, Build));
}

TEST_CASE("one crash counts once, however many requests and deciders see it", "[entry][crash]")
{
    CrashSuspects suspects(1);
    CrashSuspects other(2);
    for (int i = 0; i < 6; ++i) {
        crash(suspects, 1, { Deadly }, Start + seconds(i));
        crash(other, 1, { Deadly }, Start + milliseconds(700 * i));
    }
    suspects.merge(other.shares(Start + seconds(6)), Start + seconds(6));
    CHECK_FALSE(suspects.isBlocked(Parts{ Deadly }, Build));
}

// Guards against LOST: sound requests share their other parts with the deadly ones.
TEST_CASE("a part that is answered in between is not blocked", "[entry][crash]")
{
    CrashSuspects suspects(1);
    for (std::uint32_t target = 1; target <= 6; ++target) {
        const state::Time now = Start + seconds(target);
        crash(suspects, target, { Shared, Deadly }, now);
        suspects.answered(Build, Parts{ Shared }, now + milliseconds(300));
    }
    CHECK_FALSE(suspects.isBlocked(Parts{ Shared }, Build));
    CHECK(suspects.isBlocked(Parts{ Deadly }, Build));
}

// Guards against LOST: until a request with the shared part is answered, nothing tells it from the deadly one.
TEST_CASE("of parts that always come together only requests with all of them are blocked", "[entry][crash]")
{
    CrashSuspects suspects(1);
    const state::Time last = crashes(suspects, 3, { Shared, Deadly }, Start);
    CHECK(suspects.isBlocked(Parts{ Shared, Deadly }, Build));
    CHECK_FALSE(suspects.isBlocked(Parts{ Shared, 0xb }, Build));
    SECTION("an answer to a request with one of them leaves the other")
    {
        suspects.answered(Build, Parts{ Shared, 0xb }, last + milliseconds(50));
        CHECK(suspects.isBlocked(Parts{ Deadly }, Build));
    }
    SECTION("a crash at a request with only one of them blocks it alone")
    {
        crash(suspects, 9, { 0xc, Deadly }, last + seconds(1));
        CHECK(suspects.isBlocked(Parts{ Deadly }, Build));
        CHECK_FALSE(suspects.isBlocked(Parts{ Shared, 0xb }, Build));
    }
}

// Guards against LOST: a part that all requests share is there at every crash, and nothing may be answered in a storm.
TEST_CASE("a part that many broken requests share is not blocked beside a rare one", "[entry][crash]")
{
    CrashSuspects suspects(1);
    for (std::uint32_t target = 1; target <= 6; ++target) {
        const state::Time now = Start + seconds(target);
        crash(suspects, target, { Shared, Deadly }, now);
        for (std::uint64_t i = 0; i < 4; ++i) {
            crash(suspects, target, { Shared, 100 * target + i }, now);
        }
    }
    CHECK(suspects.isBlocked(Parts{ Shared, Deadly }, Build));
    CHECK_FALSE(suspects.isBlocked(Parts{ Shared, 0xb }, Build));
    CHECK(suspects.blockedCount() == 1);
}

TEST_CASE("a part that was there at some crashes of another one is not blocked", "[entry][crash]")
{
    CrashSuspects suspects(1);
    constexpr std::uint64_t busy = 0xb5;
    for (std::uint32_t target = 1; target <= 5; ++target) {
        const state::Time now = Start + seconds(target);
        crash(suspects, target, { Deadly }, now);
        if (target != 2) {
            crash(suspects, target, { busy }, now);
        }
    }
    CHECK(suspects.isBlocked(Parts{ Deadly }, Build));
    CHECK_FALSE(suspects.isBlocked(Parts{ busy }, Build));
}

TEST_CASE("two deadly parts are both blocked", "[entry][crash]")
{
    CrashSuspects suspects(1);
    for (std::uint32_t i = 0; i < 3; ++i) {
        crash(suspects, 2 * i + 1, { Shared, Deadly }, Start + milliseconds(400 * i));
        crash(suspects, 2 * i + 2, { Shared, 0xdead2 }, Start + milliseconds(400 * i + 200));
    }
    CHECK(suspects.isBlocked(Parts{ Shared, Deadly }, Build));
    CHECK(suspects.isBlocked(Parts{ Shared, 0xdead2 }, Build));
    CHECK_FALSE(suspects.isBlocked(Parts{ Shared, 0xb }, Build));
}

TEST_CASE("a part that crashes some versions only is blocked at these", "[entry][crash]")
{
    CrashSuspects suspects(1);
    for (std::uint32_t target = 1; target <= 3; ++target) {
        const state::Time now = Start + seconds(target);
        crash(suspects, target, { Deadly }, now);
        suspects.answered(OtherBuild, Parts{ Deadly }, now + milliseconds(10));
    }
    CHECK(suspects.isBlocked(Parts{ Deadly }, Build));
    CHECK_FALSE(suspects.isBlocked(Parts{ Deadly }, OtherBuild));
    CHECK(suspects.isBlocked(Parts{ Deadly }, OtherBuild + 1)); // Nothing is known of a new version.
}

TEST_CASE("a blocked part gets one trial at a time, later after each crash, and few in all", "[entry][crash]")
{
    CrashSuspects suspects(1);
    state::Time now = crashes(suspects, 3, { Deadly }, Start);
    const Parts parts{ Deadly };
    CHECK_FALSE(suspects.trialIsDue(parts, now));
    CHECK(suspects.timeToTrial(parts, now) == CrashSuspects::FirstQuarantine);
    now += CrashSuspects::FirstQuarantine;
    REQUIRE(suspects.trialIsDue(parts, now));
    suspects.trialStarted(parts, now);
    CHECK_FALSE(suspects.trialIsDue(parts, now));
    SECTION("an answer unblocks the part")
    {
        suspects.answered(Build, parts, now + seconds(1));
        CHECK_FALSE(suspects.isBlocked(parts, Build));
    }
    SECTION("crashes go on")
    {
        int trials = 1;
        const state::Time end = now + std::chrono::hours(5);
        crash(suspects, 100, parts, now + Held);
        for (now += seconds(1); now < end; now += seconds(1)) {
            suspects.expire(now);
            CHECK(suspects.isBlocked(parts, Build));
            if (suspects.trialIsDue(parts, now)) {
                ++trials;
                suspects.trialStarted(parts, now);
                crash(suspects, 100 + static_cast<std::uint32_t>(trials), parts, now + Held);
            }
        }
        // Two of them are the fourth and the fifth crash; three may follow these.
        CHECK(trials == 5);
    }
}

// Guards against BUDGET: three retries may reach targets after the third crash, trials among them.
TEST_CASE("a blocked request gets fewer trials than a part", "[entry][crash]")
{
    CrashSuspects suspects(1);
    state::Time now = crashes(suspects, 3, { DeadlyRequest, Shared, 0xb }, Start);
    const Parts parts{ DeadlyRequest, Shared, 0xb };
    suspects.answered(Build, Parts{ Shared }, now + milliseconds(1));
    std::size_t trials = 0;
    const state::Time end = now + std::chrono::hours(5);
    for (now += seconds(1); now < end; now += seconds(1)) {
        suspects.expire(now);
        CHECK(suspects.isBlocked(parts, Build));
        if (suspects.trialIsDue(parts, now)) {
            ++trials;
            suspects.trialStarted(parts, now);
            crash(suspects, 100 + static_cast<std::uint32_t>(trials), parts, now + Held);
        }
    }
    CHECK(trials == 2);
}

// Guards against LOST: sound requests share their subject with one that crashes targets, and each comes once.
TEST_CASE("a part that one request brings to the crashed targets is not blocked without it", "[entry][crash]")
{
    CrashSuspects suspects(1);
    constexpr std::uint64_t subject = 0xb;
    const Parts deadly{ DeadlyRequest, Shared, subject };
    state::Time now = crashes(suspects, 4, deadly, Start);
    SECTION("nothing else was at these targets")
    {
    }
    SECTION("a sound request was at one of them")
    {
        crash(suspects, 2, { requestSuspect(1), Shared, subject }, now);
    }
    SECTION("a sound request was at a target that crashed for another reason, and one was answered before")
    {
        suspects.answered(Build, Parts{ requestSuspect(3), Shared, subject }, now + milliseconds(500));
        now += seconds(1);
        crash(suspects, 9, { requestSuspect(1), Shared, subject }, now);
    }
    CHECK(suspects.isBlocked(deadly, Build));
    CHECK_FALSE(suspects.isBlocked(Parts{ requestSuspect(2), Shared, subject }, Build));
    CHECK_FALSE(suspects.isBlocked(Parts{ requestSuspect(2), Shared }, Build));
}

// Guards against BUDGET: the request is held against the part that it shares with others, or the other way round.
TEST_CASE("a deadly part is blocked although one of its requests came more often", "[entry][crash]")
{
    CrashSuspects suspects(1);
    const state::Time last = crashes(suspects, 4, { requestSuspect(1), Shared, Deadly }, Start);
    suspects.answered(Build, Parts{ Shared }, last + milliseconds(1));
    crash(suspects, 9, { requestSuspect(2), Shared, Deadly }, last + seconds(1));
    CHECK(suspects.isBlocked(Parts{ requestSuspect(4), Shared, Deadly }, Build));
    CHECK_FALSE(suspects.isBlocked(Parts{ requestSuspect(4), Shared }, Build));
}

// Guards against LOST: an idempotent request that many callers repeat ran beside a deadly one.
TEST_CASE("a request that is answered between crashes is not blocked", "[entry][crash]")
{
    CrashSuspects suspects(1);
    const std::uint64_t sound = requestSuspect(1);
    for (std::uint32_t target = 1; target <= 5; ++target) {
        const state::Time now = Start + seconds(target);
        crash(suspects, target, { DeadlyRequest }, now);
        crash(suspects, target, { sound }, now);
        suspects.answered(Build, Parts{ sound }, now + milliseconds(30));
    }
    CHECK(suspects.isBlocked(Parts{ DeadlyRequest }, Build));
    CHECK_FALSE(suspects.isBlocked(Parts{ sound }, Build));
}

TEST_CASE("a long prompt keeps the request itself among the companions of its parts", "[entry][crash]")
{
    CrashSuspects suspects(1);
    Parts parts{ DeadlyRequest };
    for (std::uint64_t part = 1; part <= 30; ++part) {
        parts.push_back(part);
    }
    crashes(suspects, 4, parts, Start);
    CHECK(suspects.isBlocked(parts, Build));
    parts.front() = requestSuspect(1);
    CHECK_FALSE(suspects.isBlocked(parts, Build));
}

// Guards against LOST: a host that missed the answer, or hears of it minutes later, goes on refusing.
TEST_CASE("an answer that unblocked a request reaches hosts that still block it", "[entry][crash]")
{
    CrashSuspects decider(1);
    CrashSuspects host(2);
    const state::Time last = crashes(decider, 3, { DeadlyRequest }, Start);
    host.merge(decider.shares(last), last);
    REQUIRE(host.isBlocked(Parts{ DeadlyRequest }, Build));
    for (std::uint64_t other = 1; other <= 40; ++other) {
        crash(decider, 100, { other }, last + seconds(1));
        decider.answered(Build, Parts{ other }, last + seconds(2));
    }
    decider.answered(Build, Parts{ DeadlyRequest }, last + seconds(31));
    const state::Time later = last + std::chrono::minutes(10);
    decider.expire(later);
    CHECK(decider.digest() != host.digest());
    decider.merge(host.shares(later), later);
    CHECK_FALSE(decider.isBlocked(Parts{ DeadlyRequest }, Build));
    host.merge(decider.shares(later), later);
    CHECK_FALSE(host.isBlocked(Parts{ DeadlyRequest }, Build));
}

// Guards against BUDGET and LOST (review/8): parts beyond a bound were never accused, and the first ones in their
// place.
TEST_CASE("a deadly part is blocked at any place of a prompt of any length", "[entry][crash][long]")
{
    const std::size_t count = GENERATE(2, 10, 64, 65, 120, 1000, LongestPrompt);
    const std::size_t place = GENERATE(1, 2, 62, 63, 64, 65, 110, 999, LongestPrompt);
    const bool isAnswered = GENERATE(true, false);
    if (place > count) {
        return;
    }
    CAPTURE(count, place, isAnswered);
    CrashSuspects decider(1);
    CrashSuspects host(2);
    state::Time now = Start;
    for (std::uint32_t i = 1; i <= 3; ++i) {
        now += milliseconds(400);
        if (isAnswered) {
            decider.answered(Build, longPrompt(1000 + i, count, std::nullopt), now - milliseconds(100));
        }
        crash(decider, i, longPrompt(i, count, place), now);
        // Sound requests run at the target as well, more than one if none was answered in between: one of their parts,
        // the one that deadly requests lack, is there at each crash.
        for (std::uint64_t sound = 0; sound < (isAnswered ? 1U : 2U); ++sound) {
            crash(decider, i, longPrompt(100 + 10 * i + sound, count, std::nullopt), now);
        }
        host.merge(decider.shares(now), now);
    }
    for (const CrashSuspects *suspects : { &decider, &host }) {
        CHECK(suspects->isBlocked(longPrompt(9, count, place), Build));
        CHECK_FALSE(suspects->isBlocked(longPrompt(9, count, std::nullopt), Build));
    }
    // Answers to long prompts take several messages.
    for (int exchange = 0; exchange < 10; ++exchange) {
        now += milliseconds(75);
        decider.merge(host.shares(now), now);
        host.merge(decider.shares(now), now);
    }
    CHECK(decider.digest() == host.digest());
    CHECK(decider.unsharedSuspects() == 0);
    CHECK(decider.droppedSuspects() == 0);
}

// Guards against LOST: until an answer comes, all parts of the prompt may be the one, but only all of them together.
TEST_CASE("of a long prompt only requests with all its parts are blocked before any answer", "[entry][crash][long]")
{
    const std::size_t count = GENERATE(2, 9, 10, 120, LongestPrompt);
    CrashSuspects suspects(1);
    for (std::uint32_t i = 1; i <= 3; ++i) {
        crash(suspects, i, longPrompt(i, count, count), Start + seconds(i));
    }
    CHECK(suspects.isBlocked(longPrompt(9, count, count), Build));
    CHECK(suspects.blockedCount() == 1);
    for (std::size_t missing = 1; missing <= count; missing += std::max<std::size_t>(1, count / 7)) {
        Parts parts = longPrompt(9, count, count);
        parts[missing] = 0xabcdef;
        CHECK_FALSE(suspects.isBlocked(parts, Build));
    }
}

TEST_CASE("several deadly parts of long prompts are blocked, and sound prompts with the rest are not",
          "[entry][crash][long]")
{
    constexpr std::size_t count = 1000;
    constexpr std::size_t places[] = { 5, 500, 995 };
    CrashSuspects suspects(1);
    state::Time now = Start;
    std::uint32_t target = 0;
    for (int round = 0; round < 3; ++round) {
        for (const std::size_t place : places) {
            now += milliseconds(300);
            ++target;
            crash(suspects, target, longPrompt(target, count, place), now);
            suspects.answered(Build, longPrompt(1000 + target, count, std::nullopt), now + milliseconds(100));
        }
    }
    for (const std::size_t place : places) {
        CHECK(suspects.isBlocked(longPrompt(9999, count, place), Build));
    }
    CHECK_FALSE(suspects.isBlocked(longPrompt(9999, count, std::nullopt), Build));
}

// An answer to a prompt with some of the parts tells these from the rest, and nothing else.
TEST_CASE("what is known of parts that came together holds for each of them", "[entry][crash][long][random]")
{
    for (std::uint32_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        std::mt19937 random(seed);
        CrashSuspects suspects(1);
        std::set<std::uint64_t> answered;
        const Parts prompt = longPrompt(1, 150, 75);
        const state::Time last = crashes(suspects, 3, prompt, Start);
        REQUIRE(suspects.isBlocked(prompt, Build));
        for (int i = 0; i < 20; ++i) {
            Parts some;
            std::copy_if(prompt.begin(), prompt.end(), std::back_inserter(some), [&random](std::uint64_t part) {
                return part != DeadlyPart && random() % 4 == 0;
            });
            suspects.answered(Build, some, last + milliseconds(10 * i));
            answered.insert(some.begin(), some.end());
            Parts rest;
            for (const std::uint64_t part : prompt) {
                const bool isAccused = !answered.contains(part);
                CHECK(suspects.isAccused(part) == isAccused);
                if (isAccused) {
                    rest.push_back(part);
                }
            }
            CHECK(suspects.isBlocked(rest, Build));
            const std::uint64_t missing = rest[random() % rest.size()];
            Parts fewer = prompt;
            std::erase(fewer, missing);
            CHECK_FALSE(suspects.isBlocked(fewer, Build));
        }
    }
}

TEST_CASE("a block ends when the part has not crashed a target for hours", "[entry][crash]")
{
    CrashSuspects suspects(1);
    const state::Time last = crashes(suspects, 9, { Deadly }, Start);
    suspects.expire(last + CrashSuspects::KeepBlocked - seconds(10));
    CHECK(suspects.isBlocked(Parts{ Deadly }, Build));
    suspects.expire(last + CrashSuspects::KeepBlocked + seconds(1));
    CHECK_FALSE(suspects.isBlocked(Parts{ Deadly }, Build));
    CHECK(suspects.suspectCount() == 0);
}

// Guards against a host that takes old news for new: an answer that it hears of late, and crashes that it hears again.
TEST_CASE("an answer that another host saw counts, and crashes before it do not come back", "[entry][crash]")
{
    CrashSuspects first(1);
    CrashSuspects second(2);
    const state::Time last = crashes(first, 3, { Shared }, Start);
    const auto old = first.shares(last);
    second.merge(old, last);
    CHECK(second.isBlocked(Parts{ Shared }, Build));
    const state::Time answer = last + seconds(1);
    second.answered(Build, Parts{ Shared }, answer);
    CHECK_FALSE(second.isBlocked(Parts{ Shared }, Build));
    first.merge(second.shares(answer + milliseconds(20)), answer + milliseconds(20));
    CHECK_FALSE(first.isBlocked(Parts{ Shared }, Build));
    second.merge(old, last + milliseconds(30));
    CHECK_FALSE(second.isBlocked(Parts{ Shared }, Build));
}

// Guards against BUDGET: messages take time, and an answer that hosts tell each other again seems to become later.
TEST_CASE("an answer that hosts pass on many times does not clear later crashes", "[entry][crash]")
{
    CrashSuspects first(1);
    CrashSuspects second(2);
    crash(first, 9, { Deadly }, Start);
    first.answered(Build, Parts{ Deadly }, Start + milliseconds(100));
    state::Time now = crashes(first, 3, { Deadly }, Start + milliseconds(200));
    constexpr state::Duration delay = milliseconds(15);
    for (int exchange = 0; exchange < 300; ++exchange) {
        const auto forth = first.shares(now);
        now += delay;
        second.merge(forth, now);
        const auto back = second.shares(now);
        now += delay;
        first.merge(back, now);
    }
    CHECK(first.isBlocked(Parts{ Deadly }, Build));
    CHECK(second.isBlocked(Parts{ Deadly }, Build));
}

TEST_CASE("hosts that exchange their evidence in any order come to the same blocks", "[entry][crash][random]")
{
    for (std::uint32_t seed = 1; seed <= 200; ++seed) {
        INFO("seed " << seed);
        std::mt19937 random(seed);
        const auto pick = [&random](int first, int last) {
            return std::uniform_int_distribution<int>(first, last)(random);
        };
        std::vector<CrashSuspects> hosts;
        for (std::uint32_t host = 1; host <= 4; ++host) {
            hosts.emplace_back(host);
        }
        state::Time now = Start;
        const int crashCount = pick(3, 8);
        for (int i = 0; i < crashCount; ++i) {
            now += milliseconds(pick(1, 800));
            const auto target = static_cast<std::uint32_t>(i + 1);
            crash(hosts[static_cast<std::size_t>(pick(0, 3))], target, { Shared, Deadly }, now);
            for (int other = pick(0, 3); other > 0; --other) {
                const Parts parts{ Shared, static_cast<std::uint64_t>(pick(1, 4)) };
                crash(hosts[static_cast<std::size_t>(pick(0, 3))], target, parts, now);
            }
            hosts[static_cast<std::size_t>(pick(0, 3))].answered(Build, Parts{ Shared }, now + milliseconds(1));
        }
        std::vector<std::pair<std::size_t, std::size_t>> exchanges;
        for (int round = 0; round < 3; ++round) {
            for (std::size_t from = 0; from < hosts.size(); ++from) {
                for (std::size_t to = 0; to < hosts.size(); ++to) {
                    exchanges.emplace_back(from, to);
                }
            }
        }
        std::shuffle(exchanges.begin(), exchanges.end(), random);
        exchanges.insert(exchanges.end(), exchanges.begin(), exchanges.end());
        for (const auto &[from, to] : exchanges) {
            hosts[to].merge(hosts[from].shares(now), now);
        }
        for (const auto &host : hosts) {
            CHECK(host.digest() == hosts.front().digest());
            CHECK(host.isBlocked(Parts{ Shared, Deadly }, Build)
                  == hosts.front().isBlocked(Parts{ Shared, Deadly }, Build));
            CHECK_FALSE(host.isBlocked(Parts{ Shared }, Build));
        }
    }
}

TEST_CASE("a caller that makes up parts does not exhaust the memory or displace a blocked one", "[entry][crash]")
{
    CrashSuspects suspects(1);
    state::Time now = crashes(suspects, 3, { Deadly }, Start);
    std::uint64_t part = 1'000'000;
    for (std::uint32_t target = 1000; target < 1040; ++target) {
        now += seconds(1);
        Parts parts(500);
        std::generate(parts.begin(), parts.end(), [&part] {
            return ++part;
        });
        crash(suspects, target, parts, now);
    }
    CHECK(suspects.suspectCount() <= 4096);
    CHECK(suspects.isBlocked(Parts{ Deadly }, Build));
    CHECK(suspects.shares(now).size() <= 64);
}

// Guards against a host that runs out of memory, and against evidence that is missing without a trace.
TEST_CASE("the longest prompts do not exhaust the memory, and what is dropped is counted", "[entry][crash][long]")
{
    CrashSuspects suspects(1);
    state::Time now = crashes(suspects, 3, { Deadly }, Start);
    std::mt19937_64 random(5);
    for (std::uint32_t target = 1000; target < 1060; ++target) {
        now += seconds(1);
        Parts parts(LongestPrompt);
        std::generate(parts.begin(), parts.end(), [&random] {
            return promptPartSuspect(random());
        });
        for (int request = 0; request < 3; ++request) {
            std::shuffle(parts.begin(), parts.end(), random);
            crash(suspects, target, { parts.begin(), parts.begin() + LongestPrompt / 2 }, now);
        }
        CHECK(suspects.heldParts() <= 1'200'000); // Of 8 bytes each.
    }
    CHECK(suspects.droppedSuspects() > 0);
    CHECK(suspects.suspectCount() <= 4096);
    CHECK(suspects.isBlocked(Parts{ Deadly }, Build));
    CHECK(suspects.shares(now).size() <= 64);
}

// Guards against answers that never reach a host since others always go first.
TEST_CASE("all answers reach a host that has outdated crashes, however many they are", "[entry][crash][long]")
{
    constexpr std::size_t count = 3000;
    CrashSuspects decider(1);
    CrashSuspects host(2);
    state::Time now = crashes(decider, 3, longPrompt(1, count, 70), Start);
    host.merge(decider.shares(now), now);
    REQUIRE(host.isBlocked(longPrompt(1, count, 70), Build));
    now += seconds(1);
    for (std::uint32_t i = 0; i < 30; ++i) {
        Parts some = longPrompt(1, count, 70);
        some = { some.begin() + 100 * i, some.begin() + 100 * (i + 1) };
        decider.answered(Build, some, now);
    }
    decider.answered(Build, longPrompt(1, count, 70), now + seconds(2));
    now += seconds(3);
    for (int exchange = 0; exchange < 20; ++exchange) {
        decider.merge(host.shares(now), now);
        host.merge(decider.shares(now), now);
        now += milliseconds(300);
    }
    for (const std::uint64_t part : longPrompt(1, count, 70)) {
        CHECK_FALSE(host.isAccused(part));
    }
    CHECK(decider.digest() == host.digest());
}

// Guards against a decider that the failure of a domain keeps busy: each request that it broke is another suspect.
TEST_CASE("broken requests of which each comes once do not exhaust memory or time", "[entry][crash]")
{
    CrashSuspects suspects(1);
    state::Time now = crashes(suspects, 3, { DeadlyRequest }, Start);
    constexpr std::uint64_t requests = 200'000;
    constexpr std::uint64_t first = 1'000'000;
    for (std::uint64_t i = first; i < first + requests; ++i) {
        now += state::Duration(100);
        crash(suspects, 1000 + static_cast<std::uint32_t>((i - first) / 12), { requestSuspect(i) }, now);
        suspects.expire(now);
        if (i % 12 == 0) {
            suspects.answered(Build, Parts{ requestSuspect(i) }, now);
        }
        CHECK_FALSE(suspects.isBlocked(Parts{ requestSuspect(i) }, Build));
    }
    CHECK(suspects.suspectCount() <= 4096);
    CHECK(suspects.isBlocked(Parts{ DeadlyRequest }, Build));
    CHECK(suspects.shares(now).size() <= 64);
}

TEST_CASE("evidence against blocked parts is stored once and blocks them after a restart", "[entry][crash]")
{
    CrashSuspects suspects(1);
    CHECK_FALSE(suspects.evidenceToStore(Start));
    const state::Time last = crashes(suspects, 3, { Deadly }, Start);
    const auto stored = suspects.evidenceToStore(last);
    REQUIRE(stored);
    suspects.evidenceStored(suspects.blockedDigest());
    CHECK_FALSE(suspects.evidenceToStore(last));
    CrashSuspects restarted(2);
    restarted.merge(*stored, last + seconds(20));
    CHECK(restarted.isBlocked(Parts{ Deadly }, Build));
    suspects.answered(Build, Parts{ Deadly }, last + seconds(40));
    REQUIRE(suspects.evidenceToStore(last + seconds(40)));
    CHECK(suspects.evidenceToStore(last + seconds(40))->empty());
}

// Guards against a restored store that has lost a block, or has one that was taken back since.
TEST_CASE("evidence is stored again after the store may have lost it", "[entry][crash][restore]")
{
    CrashSuspects suspects(1);
    suspects.storeAgain();
    REQUIRE(suspects.evidenceToStore(Start));
    CHECK(suspects.evidenceToStore(Start)->empty());
    suspects.evidenceStored(suspects.blockedDigest());
    CHECK_FALSE(suspects.evidenceToStore(Start));
    const state::Time last = crashes(suspects, 3, { Deadly }, Start);
    suspects.evidenceStored(suspects.blockedDigest());
    suspects.storeAgain();
    REQUIRE(suspects.evidenceToStore(last));
    CHECK(suspects.evidenceToStore(last)->size() == 3);
}
