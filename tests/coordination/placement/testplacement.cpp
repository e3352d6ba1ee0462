#include "coordination/placement/register.h"
#include "tests/coordination/slotrequests.h"

#include <catch2/catch.hpp>

#include <map>
#include <vector>

using namespace sapphirecove;
using namespace sapphirecove::coordination;
using namespace sapphirecove::coordination::placement;
using testing::makeSlotRequest;
using testing::milliseconds;
using testing::Start;

namespace {

std::unique_ptr<Placement> makePolicy(std::string_view name)
{
    return state::handleFailure(
        [&] {
            return create(name);
        },
        [](const state::Failure &) {
            return std::unique_ptr<Placement>();
        });
}

std::vector<Candidate> candidates()
{
    std::vector<Candidate> result(3);
    for (std::size_t i = 0; i < result.size(); ++i) {
        result[i].target = 2 * i;
        result[i].streamLimit = 8;
        result[i].streams = 4;
        result[i].timeToFirstToken = milliseconds(100);
        result[i].timeToEnd = milliseconds(1100);
        result[i].prefillTime = milliseconds(100);
    }
    return result;
}

} // namespace

// Guards against a policy that fails without candidates or selects one that does not exist.
TEST_CASE("every registered policy selects one of the candidates", "[placement]")
{
    CHECK(names().size() == 6);
    CHECK(makePolicy("unknown") == nullptr);
    Random random(1);
    for (const std::string_view name : names()) {
        INFO(name);
        const std::unique_ptr<Placement> policy = makePolicy(name);
        REQUIRE(policy != nullptr);
        CHECK_FALSE(policy->choose({}, makeSlotRequest("r"), Start, random));
        for (int i = 0; i < 100; ++i) {
            const std::optional<std::size_t> chosen = policy->choose(candidates(), makeSlotRequest("r"), Start, random);
            REQUIRE(chosen);
            REQUIRE(*chosen < 3);
        }
    }
}

// Guards against a cost in which one of the documented parts has no effect.
TEST_CASE("the cost policy weighs each documented part", "[placement]")
{
    const std::unique_ptr<Placement> policy = makePolicy("cost");
    Random random(1);
    std::vector<Candidate> targets = candidates();
    SlotRequest ask = makeSlotRequest("r");
    ask.bodyBytes = 400'000;
    const auto chosen = [&] {
        return policy->choose(targets, ask, Start, random);
    };
    CHECK(chosen() == 0);
    targets[0].distance = Distance::SameRegion;
    CHECK(chosen() == 1);
    targets[1].streams = 5;
    CHECK(chosen() == 2);
    targets[2].timeToEnd += milliseconds(500);
    CHECK(chosen() == 0);
    targets[1].prefillTime = milliseconds(0); // its prefix is cached
    targets[1].timeToFirstToken = milliseconds(0);
    CHECK(chosen() == 1);
    targets[1].timeToFirstToken = milliseconds(300); // but its queue is long
    CHECK(chosen() == 0);
    targets[1].timeToFirstToken = milliseconds(0);
    targets[1].distance = Distance::OtherRegion; // 400 KB over the link between regions cost more than the prefill
    CHECK(chosen() == 0);
    ask.bodyBytes = 1000;
    ask.maxOutputTokens = 1;
    CHECK(chosen() == 1);
}

// Guards against baselines that do not do what their name says, which would make comparisons worthless.
TEST_CASE("the baselines follow their rules", "[placement]")
{
    Random random(1);
    std::vector<Candidate> targets = candidates();
    targets[1].streams = 0;
    const SlotRequest ask = makeSlotRequest("r");
    CHECK(makePolicy("firstcome")->choose(targets, ask, Start, random) == 0);
    CHECK(makePolicy("leastoutstanding")->choose(targets, ask, Start, random) == 1);

    const std::unique_ptr<Placement> roundRobin = makePolicy("roundrobin");
    CHECK(roundRobin->choose(targets, ask, Start, random) == 0);
    CHECK(roundRobin->choose(targets, ask, Start, random) == 1);
    const std::vector<Candidate> without(targets.begin(), targets.begin() + 2);
    CHECK(roundRobin->choose(without, ask, Start, random) == 0); // target 4 has no room

    std::map<std::string, std::map<std::size_t, int>> counts;
    for (const std::string name : { "random", "twochoices" }) {
        const std::unique_ptr<Placement> policy = makePolicy(name);
        for (int i = 0; i < 9000; ++i) {
            ++counts[name][*policy->choose(targets, ask, Start, random)];
        }
    }
    CHECK(counts["random"][1] == Approx(3000).margin(300));
    CHECK(counts["twochoices"][1] == Approx(5000).margin(300)); // 5 of 9 pairs contain the idle target
}
