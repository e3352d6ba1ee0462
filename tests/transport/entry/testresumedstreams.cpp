#include "tests/transport/entry/entryfixture.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <memory>
#include <string>
#include <vector>

using namespace sapphirecove;
using namespace sapphirecove::tests;
using namespace sapphirecove::tests::entry;

namespace {

constexpr std::string_view LastChunk = "0\r\n\r\n";
constexpr std::string_view ErrorText = "error-text";

std::string chunk(std::string_view data)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", data.size());
    return size + std::string(data) + "\r\n";
}

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
}

std::string head(std::string_view fields, int status = 200, std::string_view type = "text/event-stream")
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nX-Attempt-Id: a1\r\nContent-Type: " + std::string(type)
        + "\r\n" + std::string(fields) + "\r\n";
}

std::string seal(std::string_view name)
{
    return "X-Server-Seal: " + std::string(name) + "\r\n";
}

std::string length(std::size_t size)
{
    return "Content-Length: " + std::to_string(size) + "\r\n";
}

std::string error(int status, std::string_view fields = "", std::string_view type = "text/plain")
{
    return head(seal("s2") + std::string(fields) + length(ErrorText.size()), status, type) + std::string(ErrorText);
}

/** Targets of which the first to be asked breaks off after events 1 and 2; the others write the given answers. */
class BrokenStream
{
public:
    explicit BrokenStream(std::vector<std::string> answers)
        : m_answers(std::move(answers))
    {
        for (std::size_t i = 0; i <= m_answers.size(); ++i) {
            m_targets.push_back(std::make_unique<ScriptedTarget>(
                [this](int, const std::string &request, BlockingConnection &connection) {
                    answer(request, connection);
                }));
        }
    }

    std::string call(std::string_view path = StreamPath)
    {
        std::vector<std::uint16_t> ports;
        for (const auto &target : m_targets) {
            ports.push_back(target->port());
        }
        EntryFixture fixture(ports);
        return fixture.call(path);
    }

    std::size_t asked() const
    {
        return m_asked;
    }

    bool resumedAtLastEvent() const
    {
        return m_resumedAtLastEvent;
    }

private:
    void answer(const std::string &request, BlockingConnection &connection)
    {
        const std::size_t number = m_asked++;
        if (number == 0) {
            connection.write(head(seal("s1") + "Transfer-Encoding: chunked\r\n") + chunk(event(1)) + chunk(event(2)));
            connection.close();
            return;
        }
        m_resumedAtLastEvent = m_resumedAtLastEvent && request.find("Last-Event-Id: 2\r\n") != std::string::npos;
        connection.write(m_answers.at(number - 1));
        connection.close();
    }

    std::vector<std::string> m_answers;
    std::vector<std::unique_ptr<ScriptedTarget>> m_targets;
    std::atomic<std::size_t> m_asked = 0;
    std::atomic<bool> m_resumedAtLastEvent = true;
};

std::size_t count(const std::string &text, std::string_view part)
{
    std::size_t found = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++found;
    }
    return found;
}

/** Checks that @p response holds the head of the first target, its events, and nothing of other answers. */
void checkFirstOnly(const std::string &response)
{
    INFO(response);
    CHECK(response.starts_with("HTTP/1.1 200 "));
    CHECK(count(response, "HTTP/1.1") == 1);
    CHECK(count(response, "X-Server-Seal: s1") == 1);
    CHECK(count(response, "s2") == 0);
    CHECK(count(response, ErrorText) == 0);
    CHECK(count(response, event(1)) == 1);
    CHECK(count(response, event(2)) == 1);
}

} // namespace

// Guards against MIXED: the next target's error, or its head, in the middle of a stream that has begun.
TEST_CASE("an error in place of the rest of a stream never reaches the caller", "[entry][host][resume]")
{
    const std::string answer = GENERATE(error(500),
                                        error(503),
                                        error(503, "X-Not-Executed: 1\r\n"),
                                        error(429, "X-Not-Executed: 1\r\n"),
                                        error(421),
                                        error(404),
                                        error(200),
                                        error(200, "", "application/json"),
                                        error(500, "", "text/event-stream"),
                                        head(length(0), 204),
                                        std::string("no answer at all\r\n\r\n"));
    CAPTURE(answer);
    BrokenStream stream({ answer });
    const std::string response = stream.call();
    checkFirstOnly(response);
    CHECK_FALSE(response.ends_with(LastChunk));
    CHECK(stream.asked() == 2);
    CHECK(stream.resumedAtLastEvent());
}

// Guards against ORDER: an event stream of the next target that does not go on after the last event.
TEST_CASE("events that do not follow the last one never reach the caller", "[entry][host][resume]")
{
    const std::string events = GENERATE(event(1) + event(2) + event(3),
                                        event(2) + event(3),
                                        event(4) + event(5),
                                        event(0),
                                        std::string("data: e-without-id\n\n"),
                                        std::string());
    const int framing = GENERATE(0, 1, 2);
    CAPTURE(events, framing);
    const std::string chunks = (events.empty() ? "" : chunk(events)) + std::string(LastChunk);
    const std::string answer = framing == 0 ? head(seal("s2") + "Transfer-Encoding: chunked\r\n") + chunks
        : framing == 1                      ? head(seal("s2") + length(events.size())) + events
                                            : head(seal("s2")) + events;
    BrokenStream stream({ answer });
    const std::string response = stream.call();
    checkFirstOnly(response);
    for (const char *data : { "data: e0", "data: e3", "data: e4", "data: e5", "data: e-without-id" }) {
        CHECK(count(response, data) == 0);
    }
    CHECK_FALSE(response.ends_with(LastChunk));
}

TEST_CASE("events are forwarded up to the first one that goes back", "[entry][host][resume]")
{
    const std::string events = event(3) + event(4) + event(4) + event(5);
    BrokenStream stream({ head(seal("s2") + length(events.size())) + events });
    const std::string response = stream.call();
    checkFirstOnly(response);
    CHECK(count(response, event(3)) == 1);
    CHECK(count(response, event(4)) == 1);
    CHECK(count(response, event(5)) == 0);
    CHECK_FALSE(response.ends_with(LastChunk));
}

TEST_CASE("a stream goes on at a further target after some have refused it", "[entry][host][resume]")
{
    const std::string refusal = error(503, "X-Not-Executed: 1\r\n");
    const std::string rest = head(seal("s2") + length(event(3).size())) + event(3);
    const std::size_t refusals = GENERATE(1U, 2U, 3U);
    CAPTURE(refusals);
    std::vector<std::string> answers(refusals, refusal);
    answers.push_back(rest);
    BrokenStream stream(answers);
    const std::string response = stream.call();
    checkFirstOnly(response);
    // The route allows two targets; two refusals that state that nothing ran are not counted.
    const bool continued = refusals <= 2;
    CHECK(count(response, event(3)) == (continued ? 1 : 0));
    CHECK(response.ends_with(LastChunk) == continued);
    CHECK(stream.asked() == (continued ? refusals + 2 : 4));
    CHECK(stream.resumedAtLastEvent());
}

TEST_CASE("a stream whose events have no ids is not resumed", "[entry][host][resume]")
{
    std::atomic<int> asked = 0;
    const auto script = [&](int, const std::string &, BlockingConnection &connection) {
        ++asked;
        connection.write(head(seal("s1") + "Transfer-Encoding: chunked\r\n") + chunk("data: x\n\n"));
        connection.close();
    };
    ScriptedTarget one(script);
    ScriptedTarget two(script);
    EntryFixture fixture({ one.port(), two.port() });
    const std::string response = fixture.call(StreamPath);
    CHECK(count(response, "data: x") == 1);
    CHECK_FALSE(response.ends_with(LastChunk));
    CHECK(asked == 1);
}
