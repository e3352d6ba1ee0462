#include "tests/transport/entry/entryfixture.h"

#include <atomic>
#include <string>
#include <vector>

using namespace sapphirecove;
using namespace sapphirecove::tests;
using namespace sapphirecove::tests::entry;

namespace {

bool contains(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

std::string idOf(const std::string &request)
{
    constexpr std::string_view name = "X-Attempt-Id: ";
    const std::size_t at = request.find(name) + name.size();
    return request.substr(at, request.find('\r', at) - at);
}

std::string wholeResponse(const std::string &request)
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + idOf(request) + "\r\n" + std::string(Seal)
        + "Content-Length: 5\r\n\r\nwhole";
}

/** Beginnings of a response that end within its head or right after it. */
std::vector<std::string> brokenHeads(const std::string &request)
{
    const std::string fields = "X-Attempt-Id: " + idOf(request) + "\r\n" + std::string(Seal);
    const std::string status = "HTTP/1.1 200 OK\r\n";
    return { "H",
             "HTTP/1.1 200",
             status,
             status + "X-Attem",
             status + fields + "Content-Ty",
             status + fields + "Content-Type: text/pl",
             status + fields + "Content-Length: 1",
             status + fields + "Content-Length: 12\r\n",
             status + fields + "Content-Length: 12\r\n\r",
             status + fields + "Content-Length: 12\r\n\r\n",
             status + fields + "Transfer-Encoding: chunked\r\n\r\n",
             status + fields + "\r\n",
             status + fields + "Connection: close\r\n\r\n",
             "HTTP/1.1 100 Continue\r\n\r\n",
             "HTTP/1.1 103 Early Hints\r\n\r\n" + status + fields };
}

/** Where and how a target breaks off. */
struct BreakOff
{
    bool keptConnection = false; /**< after a whole response on the same connection */
    bool reset = false;
};

/** Target that breaks off in the way @p breakOff the response to each request but the first one of a kept connection.
 */
ScriptedTarget::Script breakingScript(const BreakOff &breakOff, std::size_t head, std::atomic<int> &broken)
{
    return [=, &broken](int, const std::string &firstRequest, BlockingConnection &connection) {
        std::string request = firstRequest;
        if (breakOff.keptConnection) {
            connection.write(wholeResponse(request));
            request = connection.readRequest();
            if (request.empty()) {
                return;
            }
        }
        ++broken;
        connection.write(brokenHeads(request).at(head));
        if (breakOff.reset) {
            connection.reset();
        }
    };
}

} // namespace

// Guards against a response that breaks off in its head and reaches the caller as a whole one.
TEST_CASE("a response that breaks off in its head becomes an error", "[entry][host][head]")
{
    const std::size_t heads = brokenHeads("X-Attempt-Id: a1\r\n").size();
    for (const BreakOff breakOff :
         { BreakOff{}, BreakOff{ false, true }, BreakOff{ true, false }, BreakOff{ true, true } }) {
        for (std::size_t head = 0; head < heads; ++head) {
            for (const std::string_view path : { CommitPath, NonResumableStreamPath }) {
                INFO("head " << head << ", kept connection " << breakOff.keptConnection << ", reset " << breakOff.reset
                             << ", path " << path);
                std::atomic<int> broken = 0;
                ScriptedTarget target(breakingScript(breakOff, head, broken));
                EntryFixture fixture({ target.port() });
                const std::string method = path == CommitPath ? "POST" : "GET";
                if (breakOff.keptConnection) {
                    CHECK(fixture.call(CommitPath, "a0", "POST").ends_with("whole"));
                }
                const std::string response = fixture.call(path, "a1", method);
                CHECK(broken == 1);
                CHECK(contains(response, " 502 "));
                CHECK_FALSE(contains(response, "X-Server-Seal"));
            }
        }
    }
}

// Guards against a retryable request that gets an error, or half an answer, although another target could answer it.
TEST_CASE("a request whose response breaks off in its head is repeated if it may be", "[entry][host][head]")
{
    const std::size_t heads = brokenHeads("X-Attempt-Id: a1\r\n").size();
    for (std::size_t head = 0; head < heads; ++head) {
        INFO("head " << head);
        std::atomic<int> calls = 0;
        const auto script = [&calls, head](int, const std::string &request, BlockingConnection &connection) {
            connection.write(++calls == 1 ? brokenHeads(request).at(head) : wholeResponse(request));
        };
        ScriptedTarget one(script);
        ScriptedTarget two(script);
        EntryFixture fixture({ one.port(), two.port() });
        const std::string response = fixture.call(LookupPath);
        CHECK(contains(response, " 200 "));
        CHECK(response.ends_with("whole"));
        CHECK(calls == 2);
    }
}
