#include "coordination/customerlimiter.h"
#include "coordination/grouptable.h"
#include "coordination/retrybudget.h"

#include <catch2/catch.hpp>

using namespace sapphirecove;
using namespace sapphirecove::coordination;

namespace {

constexpr state::Time Start = state::timeFromMicroseconds(1'000'000'000);

state::Configuration makeConfiguration(int targets)
{
    state::Configuration configuration;
    configuration.failureDomains["d"] = "r";
    for (int i = 0; i < targets; ++i) {
        state::Target target;
        target.id = "t" + std::to_string(i);
        target.pool = "p";
        target.failureDomain = "d";
        configuration.targets[target.id] = target;
    }
    return configuration;
}

} // namespace

// Guards against a retry storm when many targets refuse connections.
TEST_CASE("retries are bounded to a tenth of the recent requests", "[retrybudget]")
{
    RetryBudget budget;
    for (int i = 0; i < 100; ++i) {
        budget.recordRequest(Start);
    }
    int taken = 0;
    while (budget.take(Start)) {
        ++taken;
    }
    CHECK(taken == 10);
    CHECK(budget.take(Start + std::chrono::seconds(11)));
}

// Guards against one customer that uses all capacity of a host.
TEST_CASE("a customer is limited in rate and in concurrent requests", "[customerlimiter]")
{
    CustomerLimiter limiter;
    state::Customer customer;
    customer.id = "c";
    customer.requestsPerSecond = 4;
    // Two live hosts share the rate of 4 per second; a burst holds two seconds of it.
    for (int i = 0; i < 4; ++i) {
        CHECK_FALSE(limiter.admit(customer, 2, Start));
    }
    const auto wait = limiter.admit(customer, 2, Start);
    REQUIRE(wait);
    CHECK(*wait == std::chrono::milliseconds(500));
    CHECK_FALSE(limiter.admit(customer, 2, Start + *wait));

    state::Customer narrow;
    narrow.id = "n";
    narrow.maxConcurrent = 1;
    CHECK_FALSE(limiter.admit(narrow, 1, Start));
    CHECK(limiter.admit(narrow, 1, Start));
    limiter.finish("n");
    CHECK_FALSE(limiter.admit(narrow, 1, Start));
}

// Guards against hosts that form different groups, and against targets that change groups when one is added.
TEST_CASE("groups are stable when a target is added", "[grouptable]")
{
    GroupTable before;
    before.configure(makeConfiguration(100));
    GroupTable after;
    after.configure(makeConfiguration(101));
    REQUIRE(before.groupsOf("p").size() == 2);
    REQUIRE(after.groupsOf("p").size() == 2);
    for (int i = 0; i < 100; ++i) {
        const std::string id = "t" + std::to_string(i);
        REQUIRE(before.groupOfTarget(id) != nullptr);
        CHECK(before.groupOfTarget(id)->id == after.groupOfTarget(id)->id);
    }
}
