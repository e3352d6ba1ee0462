#include "transport/peers/messagequeue.h"

#include <catch2/catch.hpp>

#include <variant>

using namespace sapphirecove;
using coordination::Heartbeat;
using coordination::SlotWithdrawal;
using transport::MessageQueue;

// Guards against a burst that pushes slot requests out although heartbeats, which are repeated, could go.
TEST_CASE("a full message queue loses its oldest heartbeat first", "[messagequeue]")
{
    MessageQueue queue;
    queue.push(SlotWithdrawal{ "first", "g" });
    queue.push(Heartbeat{ 1 });
    queue.push(Heartbeat{ 2 });
    while (queue.dropped() == 0) {
        queue.push(SlotWithdrawal{ "more", "g" });
    }
    const auto batch = queue.takeBatch();
    REQUIRE(batch.size() == MessageQueue::BatchSize);
    CHECK(std::get<SlotWithdrawal>(batch[0]).request == "first");
    CHECK(std::get<Heartbeat>(batch[1]).sequence == 2);
    CHECK(std::holds_alternative<SlotWithdrawal>(batch[2]));
}

// Guards against a queue without bound while a peer is unreachable.
TEST_CASE("a message queue stays within its bound without heartbeats", "[messagequeue]")
{
    MessageQueue queue;
    for (std::size_t i = 0; i < MessageQueue::Capacity + 10; ++i) {
        queue.push(SlotWithdrawal{ std::to_string(i), "g" });
    }
    CHECK(queue.dropped() == 10);
    CHECK(std::get<SlotWithdrawal>(queue.takeBatch().front()).request == "10");
}
