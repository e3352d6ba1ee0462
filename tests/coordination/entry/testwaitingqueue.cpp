#include "tests/coordination/entry/requests.h"

#include <catch2/catch.hpp>

using namespace sapphirecove;
using namespace sapphirecove::tests::entry;
using std::chrono::milliseconds;

namespace {

WaitingRequest waiting(std::uint64_t id,
                       const std::string &route,
                       int priority,
                       double slotMs,
                       state::Time latestOnTimeDispatch = Start + milliseconds(500))
{
    WaitingRequest request;
    request.id = id;
    request.service = "llm";
    request.route = route;
    request.priority = priority;
    request.usualSlotMs = slotMs;
    request.arrived = Start;
    request.latestOnTimeDispatch = latestOnTimeDispatch;
    request.expiresAt = Start + milliseconds(1500);
    return request;
}

std::vector<std::uint64_t> idsOf(const std::vector<const WaitingRequest *> &requests)
{
    std::vector<std::uint64_t> ids;
    for (const auto *request : requests) {
        ids.push_back(request->id);
    }
    return ids;
}

} // namespace

// Guards against an order by priority or arrival alone, and late requests that go before those still on time.
TEST_CASE("routes are ordered by value per slot time, which falls for late requests", "[entry][waitingqueue]")
{
    WaitingQueue queue;
    queue.add(waiting(1, "query", 1, 1300));
    queue.add(waiting(2, "draft", 0, 1800));
    queue.add(waiting(3, "tag", 2, 130));
    queue.add(waiting(4, "draft", 0, 1800, Start - milliseconds(1)));

    CHECK(idsOf(queue.candidates("llm", Start)) == std::vector<std::uint64_t>{ 2, 3, 1, 4 });
    CHECK(queue.candidates("other", Start).empty());
}

// Guards against an order by arrival within a route, and a request that is removed twice.
TEST_CASE("within a route the request closest to its latency target goes first", "[entry][waitingqueue]")
{
    WaitingQueue queue;
    queue.add(waiting(1, "draft", 0, 1800, Start + milliseconds(600)));
    queue.add(waiting(2, "draft", 0, 1800, Start + milliseconds(400)));

    CHECK(idsOf(queue.candidates("llm", Start)) == std::vector<std::uint64_t>{ 2 });
    CHECK(queue.remove(2));
    CHECK_FALSE(queue.remove(2));
    CHECK(idsOf(queue.candidates("llm", Start)) == std::vector<std::uint64_t>{ 1 });
    CHECK(queue.size() == 1);
}

// Guards against requests that hold a place in the queue when a response is of no use to the caller.
TEST_CASE("requests leave the queue once a response would come too late", "[entry][waitingqueue]")
{
    WaitingQueue queue;
    queue.add(waiting(1, "draft", 0, 1800));
    queue.add(waiting(2, "query", 1, 1300));

    CHECK(queue.takeExpired(Start + milliseconds(1499)).empty());
    CHECK(queue.takeExpired(Start + milliseconds(1500)).size() == 2);
    CHECK(queue.size() == 0);
    CHECK(queue.services().empty());
}

// Customers have different priorities: their requests of one route have different ranks.
TEST_CASE("within a route the more urgent priority goes first, regardless of arrival", "[entry][waitingqueue]")
{
    WaitingQueue queue;
    const auto lessUrgent = waiting(1, "draft", 1, 1800, Start + milliseconds(400));
    const auto urgent = waiting(2, "draft", 0, 1800, Start + milliseconds(600));
    queue.add(lessUrgent);
    queue.add(urgent);

    CHECK(idsOf(queue.candidates("llm", Start)) == std::vector<std::uint64_t>{ 2, 1 });
    CHECK(WaitingQueue::rankOf(urgent, Start) > WaitingQueue::rankOf(lessUrgent, Start));
}
