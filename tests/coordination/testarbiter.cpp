#include "coordination/arbiter.h"
#include "coordination/placement/register.h"
#include "tests/coordination/gates.h"
#include "tests/coordination/slotrequests.h"

#include <catch2/catch.hpp>

#include <array>

using namespace sapphirecove;
using namespace sapphirecove::coordination;
using testing::makeSlotRequest;
using testing::milliseconds;
using testing::Start;

namespace {

std::unique_ptr<Arbiter> makeArbiter(const ArbiterOptions &options)
{
    return state::handleFailure(
        [&]() -> state::Result<std::unique_ptr<Arbiter>> {
            BOOST_LEAF_AUTO(policy, placement::create("roundrobin"));
            return Arbiter::create("pool@region#0", options, std::move(policy));
        },
        [](const state::Failure &) {
            return std::unique_ptr<Arbiter>();
        });
}

/** Arbiter of a group with a number of equal targets: 100 prefill and 10 decode tokens take 20 ms. */
struct Fixture
{
    std::unique_ptr<TierGate> gate = testing::makeGate("a");
    ArbiterOptions options;
    std::vector<ArbiterTarget> targets;
    std::unique_ptr<Arbiter> arbiter;
    Replies replies;

    explicit Fixture(std::size_t count, int streams = 1, std::size_t queueLength = 100)
    {
        options.pool = "pool";
        options.self = "a";
        options.lowestTier = 2;
        options.queueLength = queueLength;
        options.gate = gate.get();
        arbiter = makeArbiter(options);
        for (std::size_t i = 0; i < count; ++i) {
            ArbiterTarget target;
            target.id = "target" + std::to_string(i);
            target.version = "v1";
            target.capacity = { .streams = streams,
                                .prefillTokens = 1000,
                                .prefillTokensPerSecond = 10'000,
                                .decodeTokensPerSecond = 1000 };
            targets.push_back(target);
        }
        arbiter->setTargets(targets, Start);
    }

    /** Sends an ask and returns all replies to it. */
    Replies ask(const SlotRequest &ask, state::Time now = Start)
    {
        replies.clear();
        arbiter->requestSlot("host", ask, now, replies);
        return replies;
    }

    Replies tick(state::Time now)
    {
        replies.clear();
        arbiter->tick(now, replies);
        return replies;
    }

    /** Ticks every 500 ms, so that no pause is detected. */
    Replies tickUntil(state::Time from, state::Time to)
    {
        Replies all;
        for (state::Time now = from; now <= to; now += milliseconds(500)) {
            const Replies some = tick(now);
            all.insert(all.end(), some.begin(), some.end());
        }
        return all;
    }

    Replies release(const SlotGrant &grant, GrantOutcome outcome, state::Time now = Start)
    {
        replies.clear();
        SlotRelease release{ .request = grant.request, .group = grant.group, .grant = grant.grant };
        release.target = grant.target;
        release.outcome = outcome;
        arbiter->release("host", release, now, replies);
        return replies;
    }

    std::string stateOf(std::size_t target) const
    {
        return arbiter->status(Start).targets[target].state;
    }
};

const SlotGrant *grantIn(const Replies &replies)
{
    for (const Reply &reply : replies) {
        if (const auto *grant = std::get_if<SlotGrant>(&reply.message)) {
            return grant;
        }
    }
    return nullptr;
}

SlotGrant grantOf(const Replies &replies)
{
    REQUIRE(grantIn(replies) != nullptr);
    return *grantIn(replies);
}

std::optional<DenialReason> denialOf(const Replies &replies, const std::string &request)
{
    for (const Reply &reply : replies) {
        const auto *denial = std::get_if<SlotDenial>(&reply.message);
        if (denial != nullptr && denial->request == request) {
            return denial->reason;
        }
    }
    return std::nullopt;
}

OutstandingReport reportOf(const SlotGrant &grant)
{
    OutstandingReport report{ .group = grant.group };
    report.dispatches.push_back({ .request = grant.request, .grant = grant.grant, .target = grant.target });
    return report;
}

} // namespace

// Guards against arbiters that cannot work.
TEST_CASE("an arbiter needs names, a gate and a policy", "[arbiter]")
{
    Fixture fixture(1);
    CHECK(fixture.arbiter != nullptr);
    fixture.options.gate = nullptr;
    CHECK(makeArbiter(fixture.options) == nullptr);
}

// Guards against a second slot for a request whose grant was lost, and against a grant that grows older than announced.
TEST_CASE("a repeated ask gets the same grant", "[arbiter]")
{
    Fixture fixture(2);
    const SlotGrant first = grantOf(fixture.ask(makeSlotRequest("r")));
    CHECK(first.validFor == milliseconds(1000));
    const Replies again = fixture.ask(makeSlotRequest("r"), Start + milliseconds(300));
    REQUIRE(grantIn(again) != nullptr);
    CHECK(grantIn(again)->grant == first.grant);
    CHECK(grantIn(again)->target == first.target);
    CHECK(grantIn(again)->validFor == milliseconds(700));
    CHECK(fixture.ask(makeSlotRequest("r"), Start + milliseconds(1000)).empty());
    CHECK(fixture.arbiter->summary(Start).freeStreams == 1);
}

// Guards against slots that leak with a lost release, or that are taken back while the request runs.
TEST_CASE("a grant expires only if its dispatch was not reported", "[arbiter]")
{
    Fixture fixture(1);
    const SlotGrant grant = grantOf(fixture.ask(makeSlotRequest("r")));
    CHECK(fixture.ask(makeSlotRequest("next")).empty());

    SECTION("not reported")
    {
        CHECK(fixture.tickUntil(Start, Start + milliseconds(1999)).empty());
        CHECK(grantOf(fixture.tick(Start + milliseconds(2000))).request == "next");
    }
    SECTION("reported")
    {
        fixture.arbiter->report("host", reportOf(grant), Start + milliseconds(100));
        CHECK(fixture.tickUntil(Start, Start + milliseconds(9000)).empty());
        OutstandingReport partial{ .group = grant.group, .complete = false };
        fixture.arbiter->report("host", partial, Start + milliseconds(9100));
        CHECK(fixture.tick(Start + milliseconds(9200)).empty());
        const OutstandingReport complete{ .group = grant.group };
        fixture.arbiter->report("other", complete, Start + milliseconds(9200));
        CHECK(fixture.tick(Start + milliseconds(9300)).empty());
        fixture.arbiter->report("host", complete, Start + milliseconds(9300));
        CHECK(grantOf(fixture.tick(Start + milliseconds(9400))).request == "next");
    }
    SECTION("reported by a host that is lost")
    {
        fixture.arbiter->report("host", reportOf(grant), Start + milliseconds(100));
        fixture.arbiter->hostLost("host", Start + milliseconds(200));
        CHECK(fixture.arbiter->summary(Start).waiting == 0);
        fixture.replies.clear();
        fixture.arbiter->requestSlot("other", makeSlotRequest("later"), Start + milliseconds(200), fixture.replies);
        CHECK(fixture.tickUntil(Start, Start + milliseconds(1100)).empty());
        CHECK(grantOf(fixture.tick(Start + milliseconds(1200))).request == "later");
    }
}

// Guards against waiting for something that cannot happen.
TEST_CASE("asks that cannot be served are denied at once", "[arbiter]")
{
    Fixture fixture(1);
    SlotRequest late = makeSlotRequest("late");
    late.deadline = Start + milliseconds(19);
    CHECK(denialOf(fixture.ask(late), "late") == DenialReason::DeadlineInfeasible);
    late.deadline = Start + milliseconds(21);
    CHECK(grantIn(fixture.ask(late)) != nullptr);

    SlotRequest refused = makeSlotRequest("refused");
    refused.excluded = { "target0" };
    CHECK(denialOf(fixture.ask(refused), "refused") == DenialReason::NoTarget);

    CHECK(fixture.ask(makeSlotRequest("waiting")).empty());
    fixture.targets[0].listing = TargetListing::Leaving;
    fixture.arbiter->setTargets(fixture.targets, Start);
    CHECK(denialOf(fixture.ask(makeSlotRequest("r")), "r") == DenialReason::NoTarget);
    CHECK(denialOf(fixture.tick(Start), "waiting") == DenialReason::NoTarget);
}

// Guards against requests that wait for their deadline although the queue is known to be too long.
TEST_CASE("an ask that cannot be served in time because of load is shed at once", "[arbiter]")
{
    Fixture fixture(1);
    const SlotGrant running = grantOf(fixture.ask(makeSlotRequest("running")));
    for (int i = 0; i < 50; ++i) {
        CHECK(fixture.ask(makeSlotRequest("w" + std::to_string(i), 2)).empty()); // 20 ms of work each
    }
    SlotRequest hurried = makeSlotRequest("hurried", 2);
    hurried.deadline = Start + milliseconds(900);
    hurried.customer = "customer";
    CHECK(fixture.ask(hurried).empty()); // the earliest deadline comes first
    SlotRequest later = makeSlotRequest("later", 2);
    later.deadline = Start + std::chrono::seconds(61);
    later.maxOutputTokens = 60'300; // takes 60.3 s and there are 1.02 s of work ahead of it
    const Replies replies = fixture.ask(later);
    REQUIRE(denialOf(replies, "later") == DenialReason::Overloaded);
    CHECK(std::get<SlotDenial>(replies.back().message).retryAfter >= std::chrono::seconds(1));
    // The slot stays taken, so the other ask is given up on when even an idle target would be too late.
    fixture.arbiter->report("host", reportOf(running), Start);
    CHECK(denialOf(fixture.tick(Start + milliseconds(880)), "hurried") == std::nullopt);
    CHECK(denialOf(fixture.tick(Start + milliseconds(881)), "hurried") == DenialReason::Overloaded);
}

// Guards against a full queue that drops a request of a higher tier.
TEST_CASE("a full queue sheds the lowest tier first", "[arbiter]")
{
    Fixture fixture(1, 1, 2);
    fixture.ask(makeSlotRequest("running"));
    CHECK(fixture.ask(makeSlotRequest("low", 2)).empty());
    CHECK(fixture.ask(makeSlotRequest("middle", 1)).empty());
    CHECK(denialOf(fixture.ask(makeSlotRequest("urgent", 0)), "low") == DenialReason::Overloaded);
    CHECK(denialOf(fixture.ask(makeSlotRequest("lower", 2)), "lower") == DenialReason::Overloaded);
}

// Guards against a tier that is shed without a floor after the configuration gained a lower one.
TEST_CASE("a new configuration changes which tier is shed without a floor", "[arbiter]")
{
    Fixture fixture(1, 1, 5);
    const std::array<state::HostId, 2> hosts{ "a", "b" };
    fixture.gate->setPeers(hosts, Start);
    fixture.ask(makeSlotRequest("running"));
    fixture.arbiter->setLimits(3, 1);
    CHECK(fixture.ask(makeSlotRequest("first", 2)).empty());
    CHECK(fixture.ask(makeSlotRequest("second", 2)).empty());
    CHECK(fixture.gate->floors(Start).size() == 1);
    fixture.arbiter->setLimits(2, 1);
    CHECK(fixture.tick(Start).size() == 1);
}

// Guards against shedding a tier that other hosts may still undercut, and against grants below the floor.
TEST_CASE("a shed above the lowest tier waits for the gate", "[arbiter]")
{
    Fixture fixture(1, 1, 1);
    const std::array<state::HostId, 2> hosts{ "a", "b" };
    fixture.gate->setPeers(hosts, Start);
    const SlotGrant running = grantOf(fixture.ask(makeSlotRequest("running")));
    CHECK(fixture.ask(makeSlotRequest("first", 1)).empty());
    CHECK(fixture.ask(makeSlotRequest("second", 1)).empty());
    CHECK(fixture.gate->floors(Start).size() == 1);

    fixture.gate->heartbeatSent(1, Start + milliseconds(10));
    Heartbeat heartbeat;
    heartbeat.acknowledged = 1;
    fixture.gate->heartbeatReceived("b", heartbeat, Start + milliseconds(20));
    const Replies replies = fixture.tick(Start + milliseconds(30));
    REQUIRE(replies.size() == 1);
    CHECK(std::holds_alternative<SlotDenial>(replies[0].message));

    // Tier 2 stays below the floor although there is room for it.
    fixture.release(running, GrantOutcome::Cancelled, Start + milliseconds(40));
    const SlotGrant next = grantOf(fixture.replies);
    fixture.release(next, GrantOutcome::Cancelled, Start + milliseconds(50));
    CHECK(fixture.ask(makeSlotRequest("low", 2), Start + milliseconds(60)).empty());
}

// Guards against small prompts that for ever take the room that a large prompt waits for.
TEST_CASE("a large prompt is not starved by small ones", "[arbiter]")
{
    Fixture fixture(2, 100);
    state::Time now = Start;
    int number = 0;
    bool granted = false;
    const auto look = [&](const Replies &replies) {
        for (const Reply &reply : replies) {
            granted = granted || std::get<SlotGrant>(reply.message).request == "large";
        }
    };
    const auto small = [&](int count) {
        for (int i = 0; i < count; ++i) {
            SlotRequest ask = makeSlotRequest("small" + std::to_string(number++), 0, "other");
            ask.promptTokens = 250;
            look(fixture.ask(ask, now));
        }
    };
    small(8);
    SlotRequest large = makeSlotRequest("large");
    large.promptTokens = 2000; // more than the limit, so it needs a target without other prefill
    CHECK(fixture.ask(large, now).empty());
    for (int i = 0; i < 20 && !granted; ++i) {
        now += milliseconds(20);
        small(2);
        look(fixture.tick(now));
    }
    CHECK(granted);
}

// Guards against a lower tier that is served while a reservation keeps a higher tier from the only target it can use.
TEST_CASE("a reservation holds up lower tiers with its own", "[arbiter]")
{
    Fixture fixture(2, 100);
    for (int i = 0; i < 2; ++i) {
        SlotRequest filling = makeSlotRequest("filling" + std::to_string(i), 0);
        filling.promptTokens = 900;
        REQUIRE(grantIn(fixture.ask(filling)) != nullptr);
    }
    SlotRequest large = makeSlotRequest("large", 1);
    large.promptTokens = 2000;
    CHECK(fixture.ask(large).empty()); // target0 is reserved for it
    SlotRequest bound = makeSlotRequest("bound", 1, "other");
    bound.excluded = { "target1" };
    CHECK(fixture.ask(bound).empty());
    CHECK(fixture.ask(makeSlotRequest("low", 2)).empty());
    const Replies replies = fixture.tick(Start + milliseconds(100));
    REQUIRE_FALSE(replies.empty());
    CHECK(grantOf(replies).request == "large");
}

// Guards against an arbiter that grants slots which its predecessor's requests still use.
TEST_CASE("a new arbiter grants after all reports or half a second", "[arbiter]")
{
    Fixture fixture(1);
    const std::array<state::HostId, 2> expected{ "host", "other" };
    fixture.arbiter->beginRebuild(expected, Start);
    CHECK(fixture.ask(makeSlotRequest("r")).empty());

    SECTION("all have reported")
    {
        OutstandingReport report{ .group = "pool@region#0" };
        report.dispatches.push_back({ .request = "old", .grant = 7, .target = "target0" });
        fixture.arbiter->report("host", report, Start);
        CHECK(fixture.tick(Start + milliseconds(20)).empty());
        fixture.arbiter->report("other", { .group = "pool@region#0" }, Start + milliseconds(20));
        CHECK(fixture.tick(Start + milliseconds(40)).empty()); // the only stream is in use
        const Replies replies = fixture.release({ .request = "old", .grant = 7 }, GrantOutcome::Cancelled, Start);
        CHECK(grantOf(replies).request == "r");
    }
    SECTION("one host does not report")
    {
        fixture.arbiter->report("host", { .group = "pool@region#0" }, Start);
        CHECK(fixture.tick(Start + milliseconds(499)).empty());
        CHECK(grantOf(fixture.tick(Start + milliseconds(500))).request == "r");
    }
    SECTION("the request was dispatched with another arbiter's grant")
    {
        OutstandingReport report{ .group = "pool@region#0" };
        report.dispatches.push_back({ .request = "r", .grant = 7, .target = "target0" });
        fixture.arbiter->report("host", report, Start);
        CHECK(fixture.arbiter->summary(Start).waiting == 0);
    }
}

// Guards against a paused arbiter that goes on with slots which another one has granted meanwhile.
TEST_CASE("an arbiter resets itself after a pause", "[arbiter]")
{
    Fixture fixture(1);
    fixture.tick(Start);
    const SlotGrant before = grantOf(fixture.ask(makeSlotRequest("r")));
    fixture.ask(makeSlotRequest("waiting"));
    const state::Time resumed = Start + milliseconds(1001);
    CHECK(fixture.ask(makeSlotRequest("new"), resumed).empty());
    CHECK(fixture.arbiter->summary(resumed).waiting == 1);
    CHECK(fixture.release(before, GrantOutcome::Complete, resumed).empty());
    CHECK(fixture.tick(resumed + milliseconds(499)).empty());
    CHECK(grantOf(fixture.tick(resumed + milliseconds(500))).request == "new");
}

// Guards against a bad version that gets more than its share, and a good one that never reaches it.
TEST_CASE("versions get their share of the grants", "[arbiter]")
{
    Fixture fixture(2, 2000);
    fixture.targets[1].version = "v2";
    fixture.arbiter->setTargets(fixture.targets, Start);
    const auto countNew = [&](int share, bool halted) {
        const std::array weights{ VersionWeight{ "v2", share, halted } };
        fixture.arbiter->setVersionWeights(weights);
        static int number = 0;
        int count = 0;
        for (int i = 0; i < 500; ++i) {
            const SlotRequest ask = makeSlotRequest("r" + std::to_string(number++));
            const SlotGrant grant = grantOf(fixture.ask(ask));
            count += grant.version == "v2" ? 1 : 0;
            fixture.release(grant, GrantOutcome::Cancelled);
        }
        return count;
    };
    CHECK(countNew(0, false) == 0);
    CHECK(countNew(50, false) == 24); // one of every 20 once the first credit is earned
    CHECK(countNew(1000, true) == 0);
    CHECK(countNew(1000, false) > 0);

    // A load report tells that the first target serves the halted version by now.
    const std::array weights{ VersionWeight{ "v2", 1000, true } };
    fixture.arbiter->setVersionWeights(weights);
    fixture.arbiter->loadReported({ .target = "target0", .measuredAt = Start, .version = "v2" }, Start);
    CHECK(denialOf(fixture.ask(makeSlotRequest("last")), "last") == DenialReason::NoTarget);
}

// Guards against a failing target that keeps its traffic, and against ejecting most of a group.
TEST_CASE("at most a third of a group is ejected", "[arbiter]")
{
    Fixture fixture(6);
    int number = 0;
    const auto use = [&](bool fail, state::Time now) {
        Replies open;
        for (int i = 0; i < 6; ++i) {
            const Replies replies = fixture.ask(makeSlotRequest("r" + std::to_string(number++), 1), now);
            open.insert(open.end(), replies.begin(), replies.end());
        }
        while (!open.empty()) {
            const SlotGrant grant = std::get<SlotGrant>(open.back().message);
            open.pop_back();
            const Replies next = fixture.release(grant, fail ? GrantOutcome::Failed : GrantOutcome::Complete, now);
            open.insert(open.end(), next.begin(), next.end());
        }
    };
    for (int i = 0; i < 20; ++i) {
        use(true, Start);
    }
    std::size_t ejected = 0;
    for (std::size_t i = 0; i < 6; ++i) {
        ejected += fixture.stateOf(i) == "ejected" ? 1 : 0;
    }
    CHECK(ejected == 2);
    fixture.tickUntil(Start, Start + milliseconds(5000));
    use(false, Start + milliseconds(5000));
    for (std::size_t i = 0; i < 6; ++i) {
        CHECK(fixture.stateOf(i) == "live");
    }
}

// Guards against a target that answers correctly but many times slower than the others.
TEST_CASE("a slow outlier is ejected", "[arbiter]")
{
    Fixture fixture(4);
    state::Time now = Start;
    for (int round = 0; round < 30; ++round) {
        std::vector<SlotGrant> grants;
        for (int i = 0; i < 4; ++i) {
            SlotRequest ask = makeSlotRequest("r" + std::to_string(4 * round + i));
            ask.deadline = now + std::chrono::seconds(60);
            const Replies replies = fixture.ask(ask, now);
            if (const SlotGrant *grant = grantIn(replies)) {
                grants.push_back(*grant);
            }
        }
        for (const SlotGrant &grant : grants) {
            SlotRelease release{ .request = grant.request, .group = grant.group, .grant = grant.grant };
            release.outcome = GrantOutcome::Complete;
            release.outputTokens = 10;
            release.total = milliseconds(grant.target == "target2" ? 200 : 10);
            fixture.arbiter->release("host", release, now, fixture.replies);
        }
        now += milliseconds(500);
        fixture.tick(now);
        if (fixture.stateOf(2) == "ejected") {
            break;
        }
    }
    CHECK(fixture.stateOf(2) == "ejected");
    CHECK(fixture.stateOf(0) == "live");
}
