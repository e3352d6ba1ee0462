#include "tests/transport/entry/concurrenttarget.h"
#include "tests/transport/entry/storehost.h"

#include <catch2/catch.hpp>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <csignal>
#include <cstdlib>
#include <random>

using namespace sapphirecove;
using namespace sapphirecove::tests;
using namespace sapphirecove::tests::entry;
namespace http = boost::beast::http;
using Topic = transport::entry::StoreTopic;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

namespace {

constexpr std::size_t Targets = 3;
constexpr std::size_t Callers = 8;

/** Time for which the configuration changes before the host is told to stop. */
constexpr milliseconds Running{ 3000 };

/** Time within which a connection that ends has crossed a request: lossSlackMs of the users' rule LOST. */
constexpr milliseconds Crossing{ 200 };

/** Longest idle time of callers, below four fifths of the smallest idle limit. */
constexpr int MaxIdleMs = 1200;

/** Longest silence of targets: a second or so. */
constexpr int MaxSilenceMs = 1100;

constexpr int MaxBodyBytes = 3000;

/** Returns the seeds to run: SAPPHIRECOVE_SOAK_SEEDS of them if that is set, or a few. */
int seeds()
{
    const char *text = std::getenv("SAPPHIRECOVE_SOAK_SEEDS");
    return text == nullptr ? 2 : std::atoi(text);
}

using Random = std::mt19937;

int between(Random &random, int first, int last)
{
    return std::uniform_int_distribution<int>(first, last)(random);
}

/** Returns one of several configurations that all allow what callers send, except for the second key. */
std::string configuration(int version, Random &random)
{
    const int timeoutMs = between(random, 0, 1) == 0 ? 5000 : 8000;
    const auto route = [timeoutMs](const std::string &path, const std::string &kind, int attempts, bool resumable) {
        return R"({"name":"r)" + path + R"(","host":"a.example","pathPrefix":")" + path + R"(","kind":")" + kind
            + R"(","timeoutMs":)" + std::to_string(timeoutMs) + R"(,"targetLatencyMs":150,"priority":0,"service":"s",)"
            + R"("maxAttempts":)" + std::to_string(attempts) + R"(,"public":false,"gapAimMs":100,"resumable":)"
            + (resumable ? "true}" : "false}");
    };
    constexpr int idleLimitsMs[] = { 1500, 5000, 20000 };
    const int bodyLimit = between(random, 0, 1) == 0 ? MaxBodyBytes : 1000000;
    std::string routes = route("/lookup/", "idempotent", 2, false) + ',' + route("/commit/", "non_idempotent", 1, false)
        + ',' + route("/stream/", "streaming", 2, true);
    if (between(random, 0, 1) == 0) {
        routes += ',' + route("/added/", "idempotent", 1, false);
    }
    const std::string keys = between(random, 0, 1) == 0 ? R"("k1")" : R"("k1","k2")";
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes
        + R"(],"services":[{"name":"s"}],"tenants":[{"name":"t1","apiKeys":[)" + keys
        + R"(],"ratePerS":100000,"burst":100000}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":)"
        + std::to_string(bodyLimit) + R"(,"headerTimeoutMs":3000,"idleTimeoutMs":)"
        + std::to_string(idleLimitsMs[between(random, 0, 2)]) + "}}";
}

/** What a caller saw of its requests. */
struct Tally
{
    std::size_t answered = 0;
    std::size_t served = 0;
    std::size_t crossed = 0; /**< requests that crossed the end of their connection while the host stopped */
    std::vector<std::string> unanswered; /**< descriptions of requests that got neither an answer nor a refusal */
};

/** Caller that sends one request after the other on open connections until the host is gone. */
class Caller
{
public:
    Caller(std::uint16_t port,
           std::vector<std::unique_ptr<ConcurrentTarget>> &targets,
           const std::atomic<bool> &stopping,
           unsigned seed,
           std::size_t number)
        : m_port(port)
        , m_targets(targets)
        , m_stopping(stopping)
        , m_random(seed * 1000U + static_cast<unsigned>(number))
        , m_prefix(std::to_string(seed) + '-' + std::to_string(number) + '-')
    {
    }

    Tally run()
    {
        while (callOnce()) {
            std::this_thread::sleep_for(milliseconds(between(m_random, 0, 15) == 0 ? between(m_random, 0, MaxIdleMs)
                                                                                   : between(m_random, 0, 60)));
        }
        return std::move(m_tally);
    }

private:
    /** Sends a request and reads its response; returns false once the host is gone. */
    bool callOnce()
    {
        boost::system::error_code error;
        if (!m_socket.is_open()) {
            m_buffer.clear();
            m_socket.connect({ boost::asio::ip::address_v4::loopback(), m_port }, error);
            if (error) {
                return false;
            }
            const timeval timeout{ TestTimeout.count(), 0 };
            ::setsockopt(m_socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
        }
        const std::string id = m_prefix + std::to_string(++m_lastId);
        const std::string behaviour = randomBehaviour();
        const std::string request = randomRequest(id, behaviour);
        // Some callers send slowly.
        const std::size_t first =
            between(m_random, 0, 3) == 0 ? static_cast<std::size_t>(between(m_random, 1, 200)) : request.size();
        const bool wasStopping = m_stopping;
        boost::asio::write(m_socket, boost::asio::buffer(request.data(), first), error);
        if (first < request.size()) {
            std::this_thread::sleep_for(milliseconds(between(m_random, 0, 40)));
            boost::asio::write(m_socket, boost::asio::buffer(request.data() + first, request.size() - first), error);
        }
        const auto sent = Clock::now();
        http::response_parser<http::string_body> parser;
        error.clear();
        http::read(m_socket, m_buffer, parser, error);
        if (!error) {
            ++m_tally.answered;
            m_tally.served += parser.get().result_int() == 200 ? 1 : 0;
            if (!parser.keep_alive()) {
                m_socket.close(error);
            }
            return true;
        }
        recordEnd(id, behaviour, error, parser.got_some(), wasStopping || m_stopping, Clock::now() - sent);
        m_socket.close(error);
        return true;
    }

    void recordEnd(const std::string &id,
                   const std::string &behaviour,
                   const boost::system::error_code &error,
                   bool begun,
                   bool stopping,
                   Clock::duration after)
    {
        bool received = false;
        bool brokenOff = false;
        for (const auto &target : m_targets) {
            received = received || target->received(id);
            brokenOff = brokenOff || target->brokeOff(id);
        }
        if (brokenOff) {
            return; // The target broke off the stream.
        }
        if (stopping && !begun && !received && after < Crossing) {
            ++m_tally.crossed;
            return;
        }
        m_tally.unanswered.push_back(id + " (" + behaviour + "): " + error.message() + " after "
                                     + std::to_string(std::chrono::duration_cast<milliseconds>(after).count()) + " ms"
                                     + (received ? ", reached a target" : "") + (begun ? ", answer begun" : "")
                                     + (stopping ? ", stopping" : ""));
    }

    std::string randomBehaviour()
    {
        switch (between(m_random, 0, 9)) {
        case 0:
            return "refuse";
        case 1:
            return "reset";
        case 2:
        case 3:
            return "silent " + std::to_string(between(m_random, 50, MaxSilenceMs));
        default:
            return "answer";
        }
    }

    std::string randomRequest(const std::string &id, const std::string &behaviour)
    {
        constexpr std::string_view paths[] = { "/lookup/", "/commit/", "/stream/", "/added/" };
        const std::string_view path = paths[between(m_random, 0, 3)];
        const std::string body(static_cast<std::size_t>(between(m_random, 0, MaxBodyBytes)), 'b');
        const bool hasBody = path != "/lookup/" && path != "/added/";
        return std::string(hasBody ? "POST " : "GET ") + std::string(path)
            + "x HTTP/1.1\r\nHost: a.example\r\nX-Deadline-Ms: 9000\r\nX-Attempt-Id: " + id
            + "\r\nX-Behaviour: " + behaviour + "\r\nX-Api-Key: " + (between(m_random, 0, 9) == 0 ? "k2" : "k1")
            + "\r\nContent-Length: " + std::to_string(hasBody ? body.size() : 0) + "\r\n\r\n" + (hasBody ? body : "");
    }

    std::uint16_t m_port;
    std::vector<std::unique_ptr<ConcurrentTarget>> &m_targets;
    const std::atomic<bool> &m_stopping;
    Random m_random;
    std::string m_prefix;
    boost::asio::io_context m_context;
    tcp::socket m_socket{ m_context };
    boost::beast::flat_buffer m_buffer;
    Tally m_tally;
    int m_lastId = 0;
};

/** Changes the configuration and sends SIGHUP at random moments until @p end. */
void disturb(RestorableStore &store, Random &random, Clock::time_point end)
{
    for (int version = 2; Clock::now() < end; ++version) {
        const int changes = between(random, 1, 3); // They come in series.
        for (int i = 0; i < changes; ++i) {
            store.write(Topic::Operator, "config", configuration(++version, random));
        }
        if (between(random, 0, 3) == 0) {
            std::raise(SIGHUP);
        }
        std::this_thread::sleep_for(milliseconds(between(random, 5, 250)));
    }
}

} // namespace

// Guards against LOST: requests that end unanswered while configurations change, targets pause and the host stops.
TEST_CASE("every request gets an answer until the process is gone", "[entry][host][soak]")
{
    for (int seed = 1; seed <= seeds(); ++seed) {
        CAPTURE(seed);
        Random random(static_cast<unsigned>(seed));
        std::vector<std::unique_ptr<ConcurrentTarget>> targets;
        RestorableStore store;
        store.write(Topic::Operator, "config", configuration(1, random));
        for (std::size_t i = 0; i < Targets; ++i) {
            targets.push_back(std::make_unique<ConcurrentTarget>());
            store.write(Topic::Targets,
                        "i-" + std::to_string(i),
                        R"({"service":"s","address":"127.0.0.1:)" + std::to_string(targets.back()->port())
                            + R"(","zone":"osu","version":"v1","concurrency":4,"state":"ready"})");
        }
        auto host = std::make_unique<StoreHost>(store, "host-1", true);
        host->acceptReloads();
        REQUIRE(host->comesTo("/lookup/", " 200 "));

        std::atomic<bool> stopping = false;
        std::vector<Tally> tallies(Callers);
        std::vector<std::thread> callers;
        for (std::size_t i = 0; i < Callers; ++i) {
            callers.emplace_back([&, i] {
                tallies[i] = Caller(host->callerPort(), targets, stopping, static_cast<unsigned>(seed), i).run();
            });
        }
        disturb(store, random, Clock::now() + Running);
        stopping = true;
        host->beginStop();
        disturb(store, random, Clock::now() + milliseconds(between(random, 0, 2000)));
        host->waitUntilStopped();
        host.reset();
        Tally total;
        for (std::size_t i = 0; i < Callers; ++i) {
            callers[i].join();
            total.answered += tallies[i].answered;
            total.served += tallies[i].served;
            total.crossed += tallies[i].crossed;
            total.unanswered.insert(total.unanswered.end(), tallies[i].unanswered.begin(), tallies[i].unanswered.end());
        }
        CAPTURE(total.answered, total.served, total.crossed);
        CHECK(total.unanswered == std::vector<std::string>());
        CHECK(total.served >= Callers); // Otherwise, the run shows nothing.
    }
}
