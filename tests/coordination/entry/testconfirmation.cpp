#include "coordination/entry/confirmation.h"

#include <catch2/catch.hpp>

#include <random>

using namespace sapphirecove;
using namespace sapphirecove::coordination::entry;
using std::chrono::milliseconds;

namespace {

/** Fraction of a wait that the store has certainly waited when it answers after the whole wait. */
constexpr double ConfirmedWaitShare = 0.9;

} // namespace

// Guards against keys that are unconfirmed for half a second, after a change of the configuration in the middle of a
// wait and then a full wait.
TEST_CASE("the configuration stays confirmed when it changes at any time during a wait", "[entry][confirmation]")
{
    const auto seed = GENERATE(1U, 2U, 3U, 4U, 5U);
    const auto revocation = GENERATE(milliseconds(2000), milliseconds(5000), milliseconds(20000));
    INFO("seed " << seed << ", revocation " << revocation.count() << " ms");
    state::entry::Bounds bounds;
    bounds.revocation = revocation;
    const state::Duration answerTime = milliseconds(20);
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> draw(0, 1);
    state::Time now{ std::chrono::hours(1) };
    state::Time confirmed = now;
    for (int call = 0; call < 2000; ++call) {
        const state::Time sent = now;
        const state::Duration wait = confirmationWait(now - confirmed, bounds);
        const bool changes = draw(random) < 0.5;
        const state::Duration waited = changes ? state::scaled(wait, draw(random)) : wait;
        now += waited + answerTime;
        REQUIRE(now - confirmed <= maxConfirmationAge(bounds));
        confirmed = changes ? sent : sent + state::scaled(wait, ConfirmedWaitShare);
    }
}

// Guards against waits that are shortened although the deployment does not require strict revocation.
TEST_CASE("without strict revocation a call may wait for the full time at any age", "[entry][confirmation]")
{
    state::entry::Bounds bounds;
    bounds.strictRevocation = false;
    CHECK(confirmationWait(std::chrono::hours(1), bounds) == confirmationWait(milliseconds(0), bounds));
}
