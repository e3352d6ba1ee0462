#include "coordination/requesttable.h"

#include "tests/coordination/recordingeffects.h"

#include <catch2/catch.hpp>

#include <random>

using namespace sapphirecove;
using namespace sapphirecove::coordination;
using sapphirecove::coordination::test::RecordingEffects;

namespace {

constexpr state::Time Start = state::timeFromMicroseconds(1'000'000'000);

state::Configuration makeConfiguration()
{
    state::Configuration configuration;
    configuration.customers["c"].id = "c";
    configuration.pools["p"].id = "p";
    for (const std::string id : { "t1", "t2" }) {
        state::Target target;
        target.id = id;
        target.pool = "p";
        target.address = "127.0.0.1";
        target.port = 9001;
        configuration.targets[id] = target;
    }
    return configuration;
}

RequestInfo makeRequest(const std::string &id)
{
    RequestInfo request;
    request.id = id;
    request.customer = "c";
    request.pool = "p";
    request.promptTokens = 10;
    request.maxOutputTokens = 10;
    request.deadline = Start + std::chrono::seconds(30);
    return request;
}

SlotGrant makeGrant(const std::string &request, state::GrantId grant, const std::string &target = "t1")
{
    return SlotGrant{ request, "p@r#0", grant, target, "v1", std::chrono::seconds(1) };
}

struct Fixture
{
    Fixture()
        : table(effects, "accra-osu")
        , configuration(makeConfiguration())
    {
        effects.routes = { Route{ "p@r#0", "arbiter" } };
        effects.arbiters = { { "p@r#0", "arbiter" } };
        table.setTargets(configuration.targets);
    }

    void arrive(const RequestInfo &request)
    {
        table.arrived(request, configuration, 1, Start);
    }

    RecordingEffects effects;
    RequestTable table;
    state::Configuration configuration;
};

} // namespace

// Guards against a second dispatch when two arbiters grant the same request.
TEST_CASE("a second grant is returned unused", "[requesttable]")
{
    Fixture f;
    f.arrive(makeRequest("r"));
    f.table.granted("arbiter", makeGrant("r", 1), true, Start);
    f.table.granted("other", makeGrant("r", 2, "t2"), true, Start);
    CHECK(f.effects.all<Dispatch>().size() == 1);
    const auto releases = f.effects.sentTo<SlotRelease>("other");
    REQUIRE(releases.size() == 1);
    CHECK(releases[0].outcome == GrantOutcome::Unused);
    CHECK(releases[0].grant == 2);
}

// Guards against returning a grant that is in use because its message was delivered twice.
TEST_CASE("a duplicate grant changes nothing", "[requesttable]")
{
    Fixture f;
    f.arrive(makeRequest("r"));
    f.table.granted("arbiter", makeGrant("r", 1), true, Start);
    f.table.granted("arbiter", makeGrant("r", 1), true, Start);
    CHECK(f.effects.all<Dispatch>().size() == 1);
    CHECK(f.effects.sentTo<SlotRelease>("arbiter").empty());
}

// Guards against a dispatch to a leaving target through a grant that was issued before the host list showed it as
// leaving.
TEST_CASE("a grant for an unusable target is returned", "[requesttable]")
{
    Fixture f;
    f.arrive(makeRequest("r"));
    f.table.granted("arbiter", makeGrant("r", 1), false, Start);
    CHECK(f.effects.all<Dispatch>().empty());
    CHECK(f.effects.sentTo<SlotRelease>("arbiter").size() == 1);
    // The slot request is resent after a delay: if resent immediately, a local arbiter would repeat the grant in an
    // endless loop.
    CHECK(f.effects.sentTo<SlotRequest>("arbiter").size() == 1);
    f.table.tick(Start + std::chrono::milliseconds(100));
    CHECK(f.effects.sentTo<SlotRequest>("arbiter").size() == 2);
}

// Guards against a second dispatch after the first byte may have reached a target.
TEST_CASE("a request never waits for a grant again after its dispatch started", "[requesttable]")
{
    Fixture f;
    f.arrive(makeRequest("r"));
    f.table.granted("arbiter", makeGrant("r", 1), true, Start);
    f.table.dispatchStarted({ "r", 1 });
    f.table.dispatchRefused({ "r", 1, "late" }, Start);
    f.table.granted("arbiter", makeGrant("r", 2), true, Start);
    f.table.denied("arbiter", SlotDenial{ "r", "p@r#0", DenialReason::Overloaded, {} }, Start);
    CHECK(f.effects.all<Dispatch>().size() == 1);
    CHECK(f.effects.all<Refuse>().empty());
}

// Guards against lost requests when a target refuses connections, and against endless retries.
TEST_CASE("a refused connection is retried within the retry budget", "[requesttable]")
{
    Fixture f;
    f.arrive(makeRequest("r"));
    for (state::GrantId grant = 1; grant <= 4; ++grant) {
        f.table.granted("arbiter", makeGrant("r", grant), true, Start);
        f.table.dispatchRefused({ "r", grant, "refused" }, Start);
    }
    CHECK(f.effects.all<Dispatch>().size() == 4);
    const auto refusals = f.effects.all<Refuse>();
    REQUIRE(refusals.size() == 1);
    CHECK(refusals[0].refusal.executed == Executed::No);
    CHECK(f.table.size() == 0);
}

// Guards against an expired grant that counts as a failure of its target or uses up the retry budget.
TEST_CASE("an expired grant is returned as unused and the slot is requested again", "[requesttable]")
{
    Fixture f;
    f.arrive(makeRequest("r"));
    for (state::GrantId grant = 1; grant <= 10; ++grant) {
        f.table.granted("arbiter", makeGrant("r", grant), true, Start);
        f.table.dispatchRefused({ "r", grant, "grant expired", false }, Start);
    }
    CHECK(f.effects.all<Refuse>().empty());
    for (const SlotRelease &release : f.effects.sentTo<SlotRelease>("arbiter")) {
        CHECK(release.outcome == GrantOutcome::Unused);
    }
    CHECK(f.effects.sentTo<SlotRequest>("arbiter").size() == 11);
}

// Guards against placement that cannot distinguish near targets from far ones.
TEST_CASE("a slot request names the failure domain of its host", "[requesttable]")
{
    Fixture f;
    f.arrive(makeRequest("r"));
    REQUIRE(f.effects.sentTo<SlotRequest>("arbiter").size() == 1);
    CHECK(f.effects.sentTo<SlotRequest>("arbiter")[0].sourceFailureDomain == "accra-osu");
}

// Guards against a caller that waits in vain because a slot request was lost or the arbiter failed.
TEST_CASE("a slot request is resent, also to a new arbiter", "[requesttable]")
{
    Fixture f;
    f.arrive(makeRequest("r"));
    f.table.tick(Start + std::chrono::milliseconds(500));
    CHECK(f.effects.sentTo<SlotRequest>("arbiter").size() == 1);
    f.table.tick(Start + std::chrono::milliseconds(1001));
    CHECK(f.effects.sentTo<SlotRequest>("arbiter").size() == 2);
    f.effects.arbiters["p@r#0"] = "successor";
    f.table.tick(Start + std::chrono::milliseconds(1020));
    CHECK(f.effects.sentTo<SlotRequest>("successor").size() == 1);
}

// Guards against a key that stays claimed although its request was never dispatched.
TEST_CASE("a claimed request that is not dispatched releases its key", "[requesttable]")
{
    Fixture f;
    RequestInfo request = makeRequest("r");
    request.idempotencyKey = "k";
    f.arrive(request);
    CHECK(f.effects.sentTo<SlotRequest>("arbiter").empty());
    f.table.claimResolved("r", ClaimOutcome::Won, Start);
    CHECK(f.effects.sentTo<SlotRequest>("arbiter").size() == 1);
    f.table.denied("arbiter", SlotDenial{ "r", "p@r#0", DenialReason::Overloaded, std::chrono::seconds(2) }, Start);
    CHECK(f.effects.released == std::vector<state::RequestId>{ "r" });
    REQUIRE(f.effects.all<Refuse>().size() == 1);
    CHECK(f.effects.all<Refuse>()[0].refusal.retryAfter == std::chrono::seconds(2));
}

// Guards against a second execution for a key that another request has claimed.
TEST_CASE("a lost claim is answered as a duplicate with an unknown result", "[requesttable]")
{
    Fixture f;
    RequestInfo request = makeRequest("r");
    request.idempotencyKey = "k";
    f.arrive(request);
    f.table.claimResolved("r", ClaimOutcome::Lost, Start);
    REQUIRE(f.effects.all<Refuse>().size() == 1);
    CHECK(f.effects.all<Refuse>()[0].refusal.reason == RefusalReason::DuplicateRequest);
    CHECK(f.effects.all<Refuse>()[0].refusal.executed == Executed::Unknown);
    CHECK(f.effects.messages.empty());
}

// Guards against "executed: yes" for a key whose request was interrupted.
TEST_CASE("the result of a claimed request is recorded only if the target answered", "[requesttable]")
{
    const auto outcome =
        GENERATE(GrantOutcome::Complete, GrantOutcome::Failed, GrantOutcome::Interrupted, GrantOutcome::Cancelled);
    Fixture f;
    RequestInfo request = makeRequest("r");
    request.idempotencyKey = "k";
    f.arrive(request);
    f.table.claimResolved("r", ClaimOutcome::Won, Start);
    f.table.granted("arbiter", makeGrant("r", 1), true, Start);
    f.table.dispatchStarted({ "r", 1 });
    f.table.dispatchFinished({ "r", 1, outcome, 200 }, Start);
    REQUIRE(f.effects.finished.size() == 1);
    const bool answered = outcome == GrantOutcome::Complete || outcome == GrantOutcome::Failed;
    CHECK(f.effects.finished[0].second.has_value() == answered);
    CHECK(f.effects.released.empty());
}

// Guards against a request with a key that waits indefinitely while the log is unavailable.
TEST_CASE("a request whose claim the log does not confirm is refused as not executed", "[requesttable]")
{
    Fixture f;
    RequestInfo request = makeRequest("r");
    request.idempotencyKey = "k";
    f.arrive(request);
    f.table.tick(Start + std::chrono::milliseconds(1999));
    CHECK(f.effects.all<Refuse>().empty());
    f.table.tick(Start + std::chrono::milliseconds(2000));
    REQUIRE(f.effects.all<Refuse>().size() == 1);
    CHECK(f.effects.all<Refuse>()[0].refusal.reason == RefusalReason::ClaimsUnavailable);
    CHECK(f.effects.all<Refuse>()[0].refusal.executed == Executed::No);
    CHECK(f.effects.released.size() == 1);
}

// Guards against a caller that waits indefinitely for an engine that accepted a request and does not answer.
TEST_CASE("a dispatch without a response at the deadline is cancelled and reported as unknown", "[requesttable]")
{
    Fixture f;
    f.arrive(makeRequest("r"));
    f.table.granted("arbiter", makeGrant("r", 1), true, Start);
    f.table.dispatchStarted({ "r", 1 });
    f.table.tick(Start + std::chrono::seconds(31));
    f.table.tick(Start + std::chrono::seconds(32));
    REQUIRE(f.effects.all<Refuse>().size() == 1);
    CHECK(f.effects.all<Refuse>()[0].refusal.executed == Executed::Unknown);
    CHECK(f.effects.all<CancelDispatch>().size() == 1);
}

// Guards against a second dispatch and against refusals that wrongly say "not executed", under any order of events,
// including duplicate and lost ones.
TEST_CASE("random event orders dispatch at most once and report execution truthfully", "[requesttable][random]")
{
    for (std::uint32_t seed = 1; seed <= 3000; ++seed) {
        INFO("seed " << seed);
        Fixture f;
        std::mt19937 random(seed);
        const auto randomBelow = [&](int bound) {
            return static_cast<int>(random() % static_cast<unsigned>(bound));
        };
        RequestInfo request = makeRequest("r");
        if (randomBelow(2) == 0) {
            request.idempotencyKey = "k";
        }
        f.arrive(request);
        bool started = false;
        std::size_t answered = 0;
        state::Time now = Start;
        for (int step = 0; step < 40; ++step) {
            now += std::chrono::milliseconds(randomBelow(1500));
            const auto grant = static_cast<state::GrantId>(1 + randomBelow(4));
            switch (randomBelow(9)) {
            case 0:
            case 1:
                f.table.granted(
                    randomBelow(2) == 0 ? "arbiter" : "other", makeGrant("r", grant), randomBelow(4) != 0, now);
                break;
            case 2:
                f.table.denied(
                    "arbiter", SlotDenial{ "r", "p@r#0", static_cast<DenialReason>(randomBelow(4)), {} }, now);
                break;
            case 3:
                f.table.claimResolved("r", randomBelow(2) == 0 ? ClaimOutcome::Won : ClaimOutcome::Lost, now);
                break;
            case 4:
            case 5: {
                // The transport layer reports each Dispatch once, as started or refused.
                const auto dispatches = f.effects.all<Dispatch>();
                if (dispatches.size() > answered && f.table.contains("r")) {
                    ++answered;
                    if (randomBelow(2) == 0) {
                        started = true;
                        f.table.dispatchStarted({ "r", dispatches.back().grant });
                    } else {
                        f.table.dispatchRefused({ "r", dispatches.back().grant, "refused" }, now);
                    }
                }
                break;
            }
            case 6:
                f.table.tick(now);
                break;
            case 7:
                if (randomBelow(8) == 0) {
                    f.table.callerDisconnected("r", now);
                }
                break;
            case 8:
                if (started) {
                    f.table.dispatchFinished({ "r", f.effects.all<Dispatch>().back().grant }, now);
                }
                break;
            }
            const std::size_t dispatchesAfterStart = f.effects.all<Dispatch>().size();
            if (started) {
                f.table.granted("other", makeGrant("r", 9), true, now);
                REQUIRE(f.effects.all<Dispatch>().size() == dispatchesAfterStart);
            }
        }
        for (const Refuse &refuse : f.effects.all<Refuse>()) {
            REQUIRE((!started || refuse.refusal.executed != Executed::No));
        }
        REQUIRE(f.effects.all<Refuse>().size() <= 1);
    }
}
