#include "tests/coordination/entry/requests.h"

#include <catch2/catch.hpp>

using namespace sapphirecove;
using namespace sapphirecove::tests::entry;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against estimates that ignore the prompts which other hosts sent to the target.
TEST_CASE("pending prompts of all hosts delay the first event", "[entry][targetload]")
{
    TargetLoad load(makeTarget("a"));
    const Work small{ true, 1000, 50 };
    const double alone = load.expectedFirstMs(small);
    load.dispatched({ true, 20000, 50 });
    load.addRemote(2, 10000);
    CHECK(load.running() == 3);
    CHECK(load.pendingPromptTokens() == 30000);
    CHECK(load.expectedFirstMs(small) > 10 * alone);
    load.addRemote(-2, -10000);
    load.finished({ true, 20000, 50 }, false, AttemptOutcome::Abandoned, Start);
    CHECK(load.running() == 0);
    CHECK(load.expectedFirstMs(small) == Approx(alone));
}

// Guards against averages that follow a slow engine too late: it would get requests as if it were still fast.
TEST_CASE("an engine that becomes slow is detected after a few streams", "[entry][targetload]")
{
    TargetLoad load(makeTarget("a"));
    const Work work{ true, 5000, 50 };
    const auto serve = [&](double slowness) {
        load.dispatched(work);
        load.firstEvent(work, 5000, milliseconds(static_cast<int>(20 + 50 * slowness)));
        load.streamed(50, milliseconds(static_cast<int>(49 * 13 * slowness)));
        load.finished(work, true, AttemptOutcome::Served, Start);
    };
    serve(1);
    const double before = load.expectedFirstMs(work) + load.expectedStreamMs(work);
    for (int i = 0; i < 8; ++i) {
        serve(5);
    }
    CHECK(load.expectedFirstMs(work) + load.expectedStreamMs(work) > 3 * before);
}

// Guards against the ejection of a target that answers with errors, and against errors that do not count as failures.
TEST_CASE("an engine that fails part of its requests is avoided but not ejected", "[entry][targetload]")
{
    TargetLoad load(makeTarget("a"));
    const Work work{ true, 500, 50 };
    for (int i = 0; i < 10; ++i) {
        load.dispatched(work);
        load.finished(work, true, AttemptOutcome::ServerError, Start);
    }
    CHECK(load.failureShare() > 0.7);
    CHECK(load.usable(Start));
}

// Guards against requests to a target that breaks all connections, and against a target that stays ejected after it
// recovered.
TEST_CASE("broken connections eject a target for a limited time", "[entry][targetload]")
{
    TargetLoad load(makeTarget("a"));
    const Work work{ true, 500, 50 };
    state::Time now = Start;
    for (int i = 0; i < 20; ++i) {
        load.dispatched(work);
        load.finished(work, false, AttemptOutcome::Broken, now);
    }
    CHECK_FALSE(load.usable(now));
    CHECK(load.usable(now + seconds(4)));
    load.dispatched(work);
    CHECK_FALSE(load.usable(now + seconds(4))); // One trial at a time.
    load.finished(work, false, AttemptOutcome::Served, now + seconds(4));
    CHECK(load.usable(now + seconds(4)));
}

// Guards against the ejection of a good target because callers left or it did not run requests.
TEST_CASE("outcomes that say nothing about a target do not change its health", "[entry][targetload]")
{
    TargetLoad load(makeTarget("a"));
    const Work work{ true, 500, 50 };
    for (const auto outcome : { AttemptOutcome::Abandoned, AttemptOutcome::NotExecuted }) {
        for (int i = 0; i < 10; ++i) {
            load.dispatched(work);
            load.finished(work, false, outcome, Start);
        }
    }
    CHECK(load.usable(Start));
    CHECK(load.failureShare() == 0);
}
