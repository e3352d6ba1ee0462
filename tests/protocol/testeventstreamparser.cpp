#include "protocol/eventstreamparser.h"

#include "tests/protocol/failuredetail.h"
#include "tests/protocol/mutation.h"

#include <catch2/catch.hpp>

using namespace sapphirecove;
using protocol::EventStreamParser;
using protocol::ServerSentEvent;

namespace {

std::vector<ServerSentEvent> feed(EventStreamParser &parser, std::string_view chunk)
{
    return tests::valueOf([&] {
        return parser.feed(chunk);
    });
}

const std::string Stream = "id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"Ko\"}}]}\n\n"
                           ": keep-alive\n\n"
                           "id: 2\r\ndata: first\r\ndata:second\r\n\r\n"
                           "id: 3\rdata: {\"choices\":[],\"usage\":{\"prompt_tokens\":5,\"completion_tokens\":2,"
                           "\"prompt_tokens_details\":{\"cached_tokens\":4}}}\r\r"
                           "data: [DONE]\n\n";

void checkEvents(const std::vector<ServerSentEvent> &events)
{
    REQUIRE(events.size() == 4);
    CHECK(events[0].id == 1);
    CHECK(events[0].data == "{\"choices\":[{\"delta\":{\"content\":\"Ko\"}}]}");
    CHECK(events[1].id == 2);
    CHECK(events[1].data == "first\nsecond");
    CHECK(events[2].id == 3);
    CHECK_FALSE(events[2].endMarker);
    CHECK(events[3].endMarker);
}

void checkSplit(const std::vector<std::size_t> &ends)
{
    EventStreamParser parser;
    std::vector<ServerSentEvent> events;
    std::string raw;
    std::size_t start = 0;
    for (const std::size_t end : ends) {
        for (ServerSentEvent &event : feed(parser, std::string_view(Stream).substr(start, end - start))) {
            raw += event.raw;
            events.push_back(std::move(event));
        }
        start = end;
    }
    checkEvents(events);
    CHECK(raw == Stream);
    CHECK(parser.ended());
    REQUIRE(parser.usage().has_value());
    CHECK(parser.usage()->promptTokens == 5);
    CHECK(parser.usage()->cachedTokens == 4);
    CHECK(parser.lastEventId() == 3);
}

} // namespace

// Guards against events that are lost, duplicated or truncated when a line end or a field is divided between two reads.
TEST_CASE("events do not depend on chunk boundaries", "[eventstream]")
{
    checkSplit({ Stream.size() });
    for (std::size_t split = 1; split < Stream.size(); ++split) {
        checkSplit({ split, Stream.size() });
    }
    std::vector<std::size_t> single;
    for (std::size_t end = 1; end <= Stream.size(); ++end) {
        single.push_back(end);
    }
    checkSplit(single);
}

// Guards against an interrupted stream that counts as complete.
TEST_CASE("a stream without the whole end marker has not ended", "[eventstream]")
{
    EventStreamParser parser;
    CHECK(feed(parser, Stream.substr(0, Stream.size() - 1)).size() == 3);
    CHECK_FALSE(parser.ended());
    CHECK(feed(parser, "\n").size() == 1);
    CHECK(parser.ended());
}

// Guards against a resume position that includes an event of which only a part was received.
TEST_CASE("the last event id counts complete events only", "[eventstream]")
{
    EventStreamParser parser;
    feed(parser, "id: 1\ndata: a\n\nid: 2\ndata: b\n");
    CHECK(parser.lastEventId() == 1);
    feed(parser, "\nid: x\ndata: c\n\n");
    CHECK(parser.lastEventId() == 2);
}

// Guards against an engine that fills the memory of a host with one endless event.
TEST_CASE("an event that is too long is an error", "[eventstream]")
{
    EventStreamParser parser;
    const std::string block(64 * 1024, 'x');
    std::string detail;
    for (int i = 0; i < 17 && detail.empty(); ++i) {
        detail = tests::failureDetail([&] {
            return parser.feed(block);
        });
    }
    CHECK(detail == "event longer than 1048576 bytes");
}

// Guards against engine output that crashes a host.
TEST_CASE("mutated streams never crash the parser", "[eventstream]")
{
    std::mt19937_64 random(11);
    std::size_t events = 0;
    for (int round = 0; round < 2000; ++round) {
        EventStreamParser parser;
        events += feed(parser, tests::mutate(Stream, random)).size();
    }
    CHECK(events > 0);
}

TEST_CASE("the end of a stream inside an event is told from one after an event", "[eventstream]")
{
    const auto endsInside = [](std::string_view text) {
        EventStreamParser parser;
        return state::handleFailure(
            [&]() -> state::Result<bool> {
                BOOST_LEAF_CHECK(parser.feed(text));
                return parser.insideEvent();
            },
            [](const state::Failure &) {
                return true;
            });
    };
    CHECK_FALSE(endsInside(""));
    CHECK_FALSE(endsInside("id: 1\ndata: a\n\n"));
    CHECK_FALSE(endsInside("data: a\r\n\r\n: comment\n\n"));
    CHECK_FALSE(endsInside("data: a\n\n: comment\n"));
    CHECK(endsInside("data: a\n\nd"));
    CHECK(endsInside("data: a\n\ndata: b\n"));
    CHECK(endsInside("data: a\n\nid: 2\n"));
    CHECK(endsInside("data: a\n\nevent: end"));
}
