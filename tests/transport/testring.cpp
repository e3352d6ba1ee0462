#include "transport/iothread.h"
#include "transport/outbox.h"
#include "transport/ring.h"
#include "transport/systemclock.h"

#include <catch2/catch.hpp>

#include <future>
#include <memory>
#include <vector>

using namespace sapphirecove::transport;

namespace {

constexpr int ManyItems = 100'000;

} // namespace

// Guards against a lost wake-up: an item pushed while the consumer finishes would stay in the ring for ever.
TEST_CASE("a ring delivers every item in order across threads", "[ring]")
{
    Ring<std::unique_ptr<int>> ring(64);
    IoThread consumer("consumer");
    std::promise<void> finished;
    std::vector<int> received;
    ring.setConsumer(consumer.context(), [&](std::unique_ptr<int> &&item) {
        received.push_back(*item);
        if (*item == ManyItems - 1) {
            finished.set_value();
        }
    });
    consumer.start();
    for (int i = 0; i < ManyItems; ++i) {
        auto item = std::make_unique<int>(i);
        while (!ring.push(item)) {
            std::this_thread::yield();
        }
    }
    finished.get_future().wait();
    consumer.stop();
    REQUIRE(received.size() == ManyItems);
    CHECK(std::is_sorted(received.begin(), received.end()));
}

// Guards against a full ring that swallows an item or grows without bound.
TEST_CASE("a full ring refuses an item and leaves it with the producer", "[ring]")
{
    boost::asio::io_context consumer;
    Ring<std::unique_ptr<int>> ring(2);
    int received = 0;
    ring.setConsumer(consumer, [&](std::unique_ptr<int> &&) {
        ++received;
    });
    auto first = std::make_unique<int>(1);
    auto second = std::make_unique<int>(2);
    auto third = std::make_unique<int>(3);
    CHECK(ring.push(first));
    CHECK(ring.push(second));
    CHECK_FALSE(ring.push(third));
    REQUIRE(third != nullptr);
    CHECK(consumer.poll() == 1); // one wake-up for both items
    CHECK(received == 2);
}

// Guards against the loss or reordering of a dispatch's outcome while the decisions thread is busy.
TEST_CASE("an outbox keeps what does not fit and sends it in order later", "[ring]")
{
    boost::asio::io_context producer;
    boost::asio::io_context consumer;
    Ring<int> ring(2);
    Outbox<int> outbox(producer, ring);
    std::vector<int> received;
    ring.setConsumer(consumer, [&](int &&item) {
        received.push_back(item);
    });
    for (int i = 0; i < 5; ++i) {
        outbox.send(i);
    }
    CHECK(outbox.kept() == 3);
    CHECK_FALSE(outbox.trySend(99));
    while (received.size() < 5) {
        consumer.restart();
        consumer.poll();
        producer.restart();
        producer.run_one();
    }
    CHECK(received == std::vector<int>{ 0, 1, 2, 3, 4 });
}

// Guards against a clock that counts from another epoch or runs backwards.
TEST_CASE("the system clock counts microseconds of the Unix epoch and never decreases", "[clock]")
{
    const SystemClock clock;
    const auto before = std::chrono::system_clock::now().time_since_epoch();
    auto last = clock.now();
    CHECK(std::chrono::abs(last.time_since_epoch() - before) < std::chrono::seconds(5));
    for (int i = 0; i < 1000; ++i) {
        const auto next = clock.now();
        REQUIRE(next >= last);
        last = next;
    }
}
