#include "coordination/targetbaselines.h"

#include <catch2/catch.hpp>

using namespace sapphirecove;
using namespace sapphirecove::coordination;
using std::chrono::milliseconds;

namespace {

SlotRelease releaseOf(state::Duration firstToken, state::Duration total)
{
    SlotRelease release;
    release.outcome = GrantOutcome::Complete;
    release.promptTokens = 10;
    release.outputTokens = 11;
    release.timeToFirstToken = firstToken;
    release.total = total;
    return release;
}

} // namespace

// Guards against a good version that is halted because of differences of milliseconds, which no caller notices.
TEST_CASE("latency differences below the lower bounds are ignored", "[targetbaselines]")
{
    const auto fast = latencyLogarithms(releaseOf(milliseconds(1), milliseconds(11)));
    const auto slower = latencyLogarithms(releaseOf(milliseconds(2), milliseconds(14)));
    REQUIRE(fast.prefill);
    REQUIRE(fast.decode);
    CHECK(fast.prefill == slower.prefill);
    CHECK(fast.decode == slower.decode);
    const auto slow = latencyLogarithms(releaseOf(milliseconds(40), milliseconds(140)));
    CHECK(slow.prefill > fast.prefill);
    CHECK(slow.decode > fast.decode);
}
