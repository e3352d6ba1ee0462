#include "protocol/eventsequence.h"

#include <catch2/catch.hpp>

using namespace sapphirecove::protocol;

namespace {

ServerSentEvent event(std::uint64_t id)
{
    ServerSentEvent event;
    event.id = id;
    event.hasId = true;
    return event;
}

} // namespace

// Guards against ORDER: pieces that are missing, come twice or come from the middle of another run.
TEST_CASE("a source that resumes a stream must go on after its last event", "[eventsequence]")
{
    EventSequence events;
    CHECK(events.take(event(1)));
    CHECK(events.take(event(2)));
    CHECK_FALSE(events.take(event(2)));
    CHECK_FALSE(events.take(event(1)));
    events.resume();
    CHECK(events.resuming());
    for (const std::uint64_t wrong : { 0, 1, 2, 4, 100 }) {
        INFO(wrong);
        CHECK_FALSE(events.take(event(wrong)));
    }
    CHECK_FALSE(events.take(ServerSentEvent()));
    CHECK(events.resuming());
    CHECK(events.take(event(3)));
    CHECK_FALSE(events.resuming());
    CHECK(events.lastEventId() == 3U);
}

TEST_CASE("ids with gaps are resumed at any later one", "[eventsequence]")
{
    EventSequence events;
    CHECK(events.take(event(10)));
    CHECK(events.take(event(20)));
    events.resume();
    CHECK_FALSE(events.take(event(20)));
    CHECK(events.take(event(30)));
}

TEST_CASE("a stream with an event that has no id cannot be resumed", "[eventsequence]")
{
    EventSequence events;
    CHECK(events.resumable());
    CHECK(events.take(event(1)));
    CHECK(events.resumable());
    CHECK(events.take(ServerSentEvent()));
    CHECK_FALSE(events.resumable());
}

TEST_CASE("an end marker without an id may be all that a source adds", "[eventsequence]")
{
    EventSequence events;
    CHECK(events.take(event(1)));
    events.resume();
    ServerSentEvent end;
    end.endMarker = true;
    CHECK(events.take(end));
    CHECK_FALSE(events.resuming());
}

TEST_CASE("a stream that the caller resumes holds no event that the caller has", "[eventsequence]")
{
    EventSequence events(12);
    CHECK_FALSE(events.take(event(12)));
    CHECK(events.take(event(13)));
}
