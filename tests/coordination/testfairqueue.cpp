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

WaitingRequest makeWaitingRequest(SlotRequest slotRequest, double serviceSeconds = 1)
{
    return {
        .slotRequest = std::move(slotRequest), .from = "host", .queuedAt = Start, .serviceSeconds = serviceSeconds
    };
}

std::string serveFront(FairQueue &queue)
{
    return queue.serve(queue.front()->slotRequest.request)->slotRequest.request;
}

} // namespace

// Guards against requests of a lower tier or with a later deadline that are served first.
TEST_CASE("the queue orders by tier, then by deadline within a customer", "[fairqueue]")
{
    FairQueue queue;
    SlotRequest late = makeSlotRequest("late", 1);
    late.deadline = Start + std::chrono::seconds(90);
    queue.push(makeWaitingRequest(makeSlotRequest("low", 2)));
    queue.push(makeWaitingRequest(late));
    queue.push(makeWaitingRequest(makeSlotRequest("early", 1)));
    queue.push(makeWaitingRequest(makeSlotRequest("urgent", 0)));

    CHECK_FALSE(queue.push(makeWaitingRequest(makeSlotRequest("late", 0))));
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
        queue.push(makeWaitingRequest(makeSlotRequest("h" + std::to_string(i), 0, "heavy")));
        SlotRequest large = makeSlotRequest("l" + std::to_string(i), 0, "large");
        large.promptTokens = 430; // four times the cost of the other requests
        queue.push(makeWaitingRequest(large));
        queue.push(makeWaitingRequest(makeSlotRequest("s" + std::to_string(i), 0, "small")));
    }
    std::map<std::string, double> tokens;
    for (int i = 0; i < 400; ++i) {
        const std::optional<WaitingRequest> served = queue.serve(queue.front()->slotRequest.request);
        tokens[served->slotRequest.customer] += served->slotRequest.promptTokens + served->slotRequest.maxOutputTokens;
    }
    CHECK(tokens["heavy"] / tokens["small"] == Approx(3).margin(0.1));
    CHECK(tokens["large"] / tokens["small"] == Approx(1).margin(0.1));
}

// Guards against a customer that accumulates credit while it is idle.
TEST_CASE("an idle customer gains no credit", "[fairqueue]")
{
    FairQueue queue;
    for (int i = 0; i < 100; ++i) {
        queue.push(makeWaitingRequest(makeSlotRequest("b" + std::to_string(i), 0, "busy")));
    }
    for (int i = 0; i < 50; ++i) {
        serveFront(queue);
    }
    for (int i = 0; i < 50; ++i) {
        queue.push(makeWaitingRequest(makeSlotRequest("i" + std::to_string(i), 0, "idle")));
    }
    int idle = 0;
    for (int i = 0; i < 20; ++i) {
        idle += serveFront(queue).starts_with("i") ? 1 : 0;
    }
    CHECK(idle >= 9);
    CHECK(idle <= 11);
}

// Guards against shedding a request of a customer that stays within its share, or of a higher tier.
TEST_CASE("the request to shed is of the lowest tier and of the customer with the largest excess", "[fairqueue]")
{
    FairQueue queue;
    const std::array weights{ CustomerWeight{ "entitled", 10 } };
    queue.setWeights(weights);
    queue.push(makeWaitingRequest(makeSlotRequest("urgent", 0, "greedy")));
    for (int i = 0; i < 4; ++i) {
        queue.push(makeWaitingRequest(makeSlotRequest("e" + std::to_string(i), 1, "entitled")));
    }
    SlotRequest last = makeSlotRequest("last", 1, "greedy");
    last.deadline += std::chrono::seconds(1);
    queue.push(makeWaitingRequest(last));
    queue.push(makeWaitingRequest(makeSlotRequest("first", 1, "greedy")));

    REQUIRE(queue.shedCandidate() != nullptr);
    CHECK(queue.shedCandidate()->slotRequest.request == "last");
    CHECK(queue.lowestTier() == 1);
    queue.remove("last");
    CHECK(queue.shedCandidate()->slotRequest.request == "first");
    queue.remove("first");
    CHECK(queue.shedCandidate()->slotRequest.customer == "entitled");
}

// Guards against wait estimates that ignore the tiers or count the backlog of one customer against another.
TEST_CASE("the work ahead includes higher tiers and the fair share of other customers", "[fairqueue]")
{
    FairQueue queue;
    queue.push(makeWaitingRequest(makeSlotRequest("urgent", 0), 5));
    for (int i = 0; i < 100; ++i) {
        queue.push(makeWaitingRequest(makeSlotRequest("b" + std::to_string(i), 1, "backlog")));
    }
    const state::Time deadline = Start + std::chrono::seconds(90);
    CHECK(queue.workAhead(0, "customer", deadline) == Approx(5));
    CHECK(queue.workAhead(1, "new", deadline) == Approx(5));
    CHECK(queue.workAhead(1, "backlog", deadline) == Approx(105));
    CHECK(queue.workAhead(2, "new", deadline) == Approx(105));
    CHECK(queue.totalWork() == Approx(105));
}
