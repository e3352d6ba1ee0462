#include "coordination/fairqueue.h"
#include "tests/coordination/slotrequests.h"

#include <catch2/catch.hpp>

#include <array>
#include <map>

using namespace sapphirecove;
using namespace sapphirecove::coordination;
using testing::makeSlotRequest;
using testing::Start;

namespace {

WaitingAsk waiting(SlotRequest ask, double serviceSeconds = 1)
{
    return { .ask = std::move(ask), .from = "host", .queuedAt = Start, .serviceSeconds = serviceSeconds };
}

std::string serveFront(FairQueue &queue)
{
    return queue.serve(queue.front()->ask.request)->ask.request;
}

} // namespace

// Guards against a low tier or a late deadline that overtakes.
TEST_CASE("the queue orders by tier, then by deadline within a customer", "[fairqueue]")
{
    FairQueue queue;
    SlotRequest late = makeSlotRequest("late", 1);
    late.deadline = Start + std::chrono::seconds(90);
    queue.push(waiting(makeSlotRequest("low", 2)));
    queue.push(waiting(late));
    queue.push(waiting(makeSlotRequest("early", 1)));
    queue.push(waiting(makeSlotRequest("urgent", 0)));

    CHECK_FALSE(queue.push(waiting(makeSlotRequest("late", 0))));
    CHECK(serveFront(queue) == "urgent");
    CHECK(serveFront(queue) == "early");
    CHECK(serveFront(queue) == "late");
    CHECK(serveFront(queue) == "low");
    CHECK(queue.empty());
}

// Guards against a customer that gets more than its share by sending more or larger requests.
TEST_CASE("customers of a tier share tokens by weight", "[fairqueue]")
{
    FairQueue queue;
    const std::array weights{ CustomerWeight{ "heavy", 3 }, CustomerWeight{ "large", 1 } };
    queue.setWeights(weights);
    for (int i = 0; i < 400; ++i) {
        queue.push(waiting(makeSlotRequest("h" + std::to_string(i), 0, "heavy")));
        SlotRequest large = makeSlotRequest("l" + std::to_string(i), 0, "large");
        large.promptTokens = 430; // four times the cost of the other asks
        queue.push(waiting(large));
        queue.push(waiting(makeSlotRequest("s" + std::to_string(i), 0, "small")));
    }
    std::map<std::string, double> tokens;
    for (int i = 0; i < 400; ++i) {
        const std::optional<WaitingAsk> served = queue.serve(queue.front()->ask.request);
        tokens[served->ask.customer] += served->ask.promptTokens + served->ask.maxOutputTokens;
    }
    CHECK(tokens["heavy"] / tokens["small"] == Approx(3).margin(0.1));
    CHECK(tokens["large"] / tokens["small"] == Approx(1).margin(0.1));
}

// Guards against a customer that saves up an advantage while it is idle.
TEST_CASE("an idle customer gains no credit", "[fairqueue]")
{
    FairQueue queue;
    for (int i = 0; i < 100; ++i) {
        queue.push(waiting(makeSlotRequest("b" + std::to_string(i), 0, "busy")));
    }
    for (int i = 0; i < 50; ++i) {
        serveFront(queue);
    }
    for (int i = 0; i < 50; ++i) {
        queue.push(waiting(makeSlotRequest("i" + std::to_string(i), 0, "idle")));
    }
    int idle = 0;
    for (int i = 0; i < 20; ++i) {
        idle += serveFront(queue).starts_with("i") ? 1 : 0;
    }
    CHECK(idle >= 9);
    CHECK(idle <= 11);
}

// Guards against shedding a request of a customer that stays within its share, or of a higher tier.
TEST_CASE("the victim is of the lowest tier and of the customer with the largest excess", "[fairqueue]")
{
    FairQueue queue;
    const std::array weights{ CustomerWeight{ "entitled", 10 } };
    queue.setWeights(weights);
    queue.push(waiting(makeSlotRequest("urgent", 0, "greedy")));
    for (int i = 0; i < 4; ++i) {
        queue.push(waiting(makeSlotRequest("e" + std::to_string(i), 1, "entitled")));
    }
    SlotRequest last = makeSlotRequest("last", 1, "greedy");
    last.deadline += std::chrono::seconds(1);
    queue.push(waiting(last));
    queue.push(waiting(makeSlotRequest("first", 1, "greedy")));

    REQUIRE(queue.victim() != nullptr);
    CHECK(queue.victim()->ask.request == "last");
    CHECK(queue.lowestTier() == 1);
    queue.remove("last");
    CHECK(queue.victim()->ask.request == "first");
    queue.remove("first");
    CHECK(queue.victim()->ask.customer == "entitled");
}

// Guards against wait estimates that ignore the tier order or charge a light customer for a heavy one's backlog.
TEST_CASE("the work ahead counts higher tiers and the fair share of others", "[fairqueue]")
{
    FairQueue queue;
    queue.push(waiting(makeSlotRequest("urgent", 0), 5));
    for (int i = 0; i < 100; ++i) {
        queue.push(waiting(makeSlotRequest("b" + std::to_string(i), 1, "backlog")));
    }
    const state::Time deadline = Start + std::chrono::seconds(90);
    CHECK(queue.workAhead(0, "customer", deadline) == Approx(5));
    CHECK(queue.workAhead(1, "new", deadline) == Approx(5));
    CHECK(queue.workAhead(1, "backlog", deadline) == Approx(105));
    CHECK(queue.workAhead(2, "new", deadline) == Approx(105));
    CHECK(queue.totalWork() == Approx(105));
}
