// Tests with targets in trouble: real processes, and responses that are none or end early.
#include "tests/integration/entryprocess.h"
#include "tests/integration/fleet.h"
#include "tests/transport/threadedtarget.h"

#include <catch2/catch.hpp>

using namespace sapphirecove::integration;
using Catch::Matchers::Contains;
using Catch::Matchers::EndsWith;
using Catch::Matchers::StartsWith;
using sapphirecove::tests::BlockingConnection;
using sapphirecove::tests::ThreadedTarget;

namespace {

using Clock = std::chrono::steady_clock;

/** Bytes of a body that exceed the buffers of two sockets and stay below the limit for bodies. */
constexpr std::size_t UploadBytes = 4'000'000;

constexpr std::size_t EntryMemory = std::size_t{ 260 } * 1024 * 1024;

/** Time within which an early response must arrive; the target goes on for longer. */
constexpr std::chrono::seconds Soon{ 5 };

constexpr std::string_view Part = "a part of the body";

/** Target whose trouble the path of a request names; it reads nothing but the header. */
class TroubledTarget
{
public:
    TroubledTarget()
        : m_target(
            [this](const std::string &request, BlockingConnection &connection) {
                respond(request, connection);
            },
            ThreadedTarget::Input::HeaderOnly)
    {
    }

    std::uint16_t port() const
    {
        return m_target.port();
    }

private:
    void respond(const std::string &request, BlockingConnection &connection)
    {
        constexpr std::string_view name = "X-Attempt-Id: ";
        const std::size_t at = request.find(name);
        const std::string fields = at == std::string::npos
            ? std::string()
            : request.substr(at, request.find('\n', at) + 1 - at) + "X-Server-Seal: s\r\n";
        if (request.find("/status-") != std::string::npos) {
            const std::string code = request.substr(request.find("/status-") + 8, 3);
            connection.write("HTTP/1.1 " + code + " Broken\r\n" + fields + "Content-Length: 4\r\n\r\nbody");
            connection.readToEnd();
        } else if (request.find("/cut") != std::string::npos) {
            std::this_thread::sleep_for(SettlingTime);
            connection.write("HTTP/1.1 200 OK\r\n" + fields + "\r\n" + std::string(Part));
            std::this_thread::sleep_for(SettlingTime);
            connection.reset();
        } else if (request.find("/early") != std::string::npos) {
            connection.write("HTTP/1.1 413 Too Large\r\n" + fields + "Content-Length: 5\r\n\r\nlarge");
            while (!m_target.stopping()) {
                std::this_thread::sleep_for(SettlingTime);
            }
        } else {
            connection.write("HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 5\r\nConnection: close\r\n\r\nsound");
            connection.readToEnd();
        }
    }

    /** Time in which the host's write of a long body comes to a stop. */
    static constexpr std::chrono::milliseconds SettlingTime{ 100 };

    ThreadedTarget m_target;
};

/** Response to a request, and the time from its sending to the end of the connection. */
struct Answer
{
    std::string response;
    Clock::duration took{};
};

/** Sends a request to @p port once. */
Answer sendOnce(std::uint16_t port, const std::string &method, const std::string &path, std::size_t bodyBytes)
{
    static int lastId = 0;
    const auto begin = Clock::now();
    BlockingConnection caller(port);
    caller.write(method + ' ' + path + " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: a" + std::to_string(++lastId)
                 + "\r\nX-Api-Key: k1\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer " + CustomerKey
                 + "\r\nConnection: close\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n");
    caller.write(std::string(bodyBytes, 'u'));
    std::string response = caller.readToEnd();
    return { std::move(response), Clock::now() - begin };
}

/** Sends a request to @p port until it is not refused, as hosts keep requests from a target that was in trouble. */
Answer send(std::uint16_t port, const std::string &method, const std::string &path, std::size_t bodyBytes)
{
    Answer answer;
    waitFor([&] {
        answer = sendOnce(port, method, path, bodyBytes);
        return !answer.response.starts_with("HTTP/1.1 503");
    });
    return answer;
}

/** Checks what callers at @p port get from a TroubledTarget behind paths that begin with @p prefix. */
void checkAnswers(std::uint16_t port, const std::string &prefix)
{
    for (const std::string code : { "000", "042", "999" }) {
        CAPTURE(code);
        CHECK_THAT(send(port, "GET", prefix + "status-" + code, 0).response,
                   StartsWith("HTTP/1.1 502") && !Contains("body"));
    }
    CHECK_THAT(send(port, "POST", prefix + "cut", UploadBytes).response,
               StartsWith("HTTP/1.1 502") && !Contains(std::string(Part)));
    const Answer early = send(port, "POST", prefix + "early", UploadBytes);
    CHECK(early.took < Soon);
    CHECK_THAT(early.response, StartsWith("HTTP/1.1 413") && EndsWith("large"));
    CHECK_THAT(send(port, "GET", prefix + "sound", 0).response, StartsWith("HTTP/1.1 200"));
}

} // namespace

// Guards against bytes that are no answer, and parts of answers, that reach callers of an entry host.
TEST_CASE("a target in trouble: no caller of an entry host gets an answer that is none", "[broken]")
{
    TroubledTarget target;
    EntryProcess host(target.port(), EntryMemory);
    checkAnswers(host.ports().front(), "/r/");
}

// Guards against the same on the product's own path.
TEST_CASE("a target in trouble: no caller of a serving host gets an answer that is none", "[broken]")
{
    TroubledTarget target;
    FleetOptions options;
    options.hosts = 1;
    options.engines = 1;
    options.services = 1;
    Fleet fleet(options);
    const boost::json::value targets{ { "targets",
                                        { { "orders-1",
                                            { { "pool", ServicePool },
                                              { "address", "127.0.0.1" },
                                              { "port", target.port() },
                                              { "failure_domain", "accra-osu" } } } } } };
    fleet.folder().write("config/30-targets.json", boost::json::serialize(targets));
    fleet.start();
    checkAnswers(fleet.callersPort(0), "/services/" + ServicePool + '/');
}
