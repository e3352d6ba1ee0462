// Tests with entry hosts that are killed and started again: real processes, and callers on open connections.
#include "tests/integration/entryfleet.h"
#include "tests/transport/threadedtarget.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <map>
#include <random>
#include <set>

using namespace sapphirecove::integration;
using sapphirecove::tests::BlockingConnection;
using sapphirecove::tests::ThreadedTarget;
using std::chrono::milliseconds;

namespace {

const std::vector<std::string> Services{ "drafts", "orders" };

/** Requests that a target runs at a time, and how long each takes. */
constexpr int Slots = 2;
constexpr int MinWorkMs = 100;
constexpr int MaxWorkMs = 400;

/** Callers of each host: more than all targets have slots, so that requests wait. */
constexpr int CallersOfHost = 8;

constexpr milliseconds Deadline{ 4000 };
constexpr milliseconds RetryPause{ 20 };

/** Steps of one schedule. */
constexpr int Steps = 12;

/** Time in which a host becomes ready, on a busy machine too. */
constexpr milliseconds ReadyTimeout{ 15000 };

/** Time in which all services are served again after the last disruption: the time without a report after which slots
 * of a killed process count as free, and the longest work. */
constexpr milliseconds RecoveryTimeout{ 8000 };

/** Returns the number of seeds to run: SAPPHIRECOVE_SOAK_SEEDS of them if that is set, or a few. */
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

std::string route(const std::string &service, const std::string &kind)
{
    return R"({"name":")" + kind + '-' + service + R"(","host":"a.example","pathPrefix":"/)" + kind + '/' + service
        + R"(/","kind":")" + kind + R"(","timeoutMs":5000,"targetLatencyMs":500,"priority":0,"service":")" + service
        + R"(","maxAttempts":2,"public":false})";
}

std::string configuration()
{
    std::string routes;
    std::string services;
    for (const auto &service : Services) {
        routes += (routes.empty() ? "" : ",") + route(service, "idempotent") + ',' + route(service, "non_idempotent");
        services += (services.empty() ? "" : ",") + std::string(R"({"name":")") + service + R"(","maxConns":360})";
    }
    return R"({"version":1,"routes":[)" + routes + R"(],"services":[)" + services
        + R"(],"tenants":[{"name":"t","apiKeys":["k"]}]})";
}

/** Returns the value of the field @p name in the header of @p message; empty if there is none. */
std::string fieldOf(const std::string &message, const std::string &name)
{
    const std::size_t at = message.find("\r\n" + name + ": ");
    if (at == std::string::npos) {
        return {};
    }
    const std::size_t begin = at + name.size() + 4;
    return message.substr(begin, message.find('\r', begin) - begin);
}

std::string bodyOf(const std::string &message)
{
    const std::size_t at = message.find("\r\n\r\n");
    return at == std::string::npos ? std::string() : message.substr(at + 4);
}

/** What targets and callers saw. Thread-safe. */
class Observations
{
public:
    /** Records that the request @p id for @p service is sent; it may run any number of times if @p isRepeatable. */
    void sent(const std::string &id, const std::string &service, bool isRepeatable)
    {
        const std::lock_guard lock(m_mutex);
        m_requests[id] = { service, isRepeatable, 0, false };
    }

    /** Records that a target of @p service runs the request @p id with the start line @p line. */
    void ran(const std::string &id, const std::string &service, const std::string &line)
    {
        const std::lock_guard lock(m_mutex);
        ++m_runs;
        const auto found = m_requests.find(id);
        if (found == m_requests.end()) {
            m_faults.push_back("nobody sent " + id + ": " + line);
            return;
        }
        Request &request = found->second;
        ++request.runs;
        if (request.service != service) {
            m_faults.push_back(id + " for " + request.service + " ran at a target of " + service + ": " + line);
        }
        if (!request.isRepeatable && request.runs > 1) {
            m_faults.push_back(id + " ran twice");
        }
        if (!request.isRepeatable && request.refused) {
            m_faults.push_back(id + " ran after it was refused");
        }
    }

    /** Records the response to @p id. */
    void answered(const std::string &id, const std::string &response)
    {
        const std::lock_guard lock(m_mutex);
        Request &request = m_requests.at(id);
        const std::string status = response.substr(0, response.find('\r'));
        if (status.find(" 200 ") != std::string::npos) {
            ++m_served;
            const std::string seal = fieldOf(response, "X-Server-Seal");
            if (seal != request.service || bodyOf(response) != id) {
                m_faults.push_back(id + " for " + request.service + " got the answer of " + seal + " to "
                                   + bodyOf(response));
            }
        }
        const bool refused = status.find(" 503 ") != std::string::npos || status.find(" 429 ") != std::string::npos;
        if (refused && !request.isRepeatable) {
            request.refused = true;
            if (request.runs > 0) {
                m_faults.push_back(id + " was refused and had run: " + status);
            }
        }
    }

    std::vector<std::string> faults() const
    {
        const std::lock_guard lock(m_mutex);
        return m_faults;
    }

    int runs() const
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

    int served() const
    {
        const std::lock_guard lock(m_mutex);
        return m_served;
    }

private:
    struct Request
    {
        std::string service;
        bool isRepeatable = false;
        int runs = 0;
        bool refused = false;
    };

    mutable std::mutex m_mutex;
    std::map<std::string, Request> m_requests;
    std::vector<std::string> m_faults;
    int m_runs = 0;
    int m_served = 0;
};

/** Target at one address, which the targets of different services use one after the other. */
class SharedAddress
{
public:
    SharedAddress(StoreStub &store, Observations &observations, std::string service)
        : m_store(store)
        , m_observations(observations)
        , m_target([this](const std::string &request, BlockingConnection &connection) {
            serve(request, connection);
        })
    {
        replace(std::move(service));
    }

    /** Lets a new target of @p service take the place of the one at this address. */
    void replace(std::string service)
    {
        std::string before;
        {
            const std::lock_guard lock(m_mutex);
            before = m_id;
            m_service = std::move(service);
            m_id = "i-" + std::to_string(m_target.port()) + '-' + std::to_string(++m_incarnations);
        }
        if (!before.empty()) {
            m_store.put("keyed.servers", before, {});
        }
        m_store.put("keyed.servers",
                    m_id,
                    R"({"service":")" + m_service + R"(","address":"127.0.0.1:)" + std::to_string(m_target.port())
                        + R"(","zone":"osu","version":"v1","concurrency":)" + std::to_string(Slots)
                        + R"(,"state":"ready","sequence":1})");
    }

    std::string service() const
    {
        const std::lock_guard lock(m_mutex);
        return m_service;
    }

private:
    void serve(std::string request, BlockingConnection &connection)
    {
        for (; !request.empty(); request = connection.readRequestHead()) {
            const std::string id = fieldOf(request, "X-Attempt-Id");
            std::string service;
            {
                const std::lock_guard lock(m_mutex);
                service = fieldOf(request, "X-Expect-Instance") == m_id ? m_service : std::string();
            }
            if (service.empty()) {
                connection.write("HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: " + id
                                 + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            m_observations.ran(id, service, request.substr(0, request.find('\r')));
            Random random(static_cast<unsigned>(std::hash<std::string>()(id)));
            std::this_thread::sleep_for(milliseconds(between(random, MinWorkMs, MaxWorkMs)));
            connection.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Server-Seal: " + service
                             + "\r\nContent-Length: " + std::to_string(id.size()) + "\r\n\r\n" + id);
        }
    }

    StoreStub &m_store;
    Observations &m_observations;
    mutable std::mutex m_mutex;
    std::string m_service;
    std::string m_id;
    int m_incarnations = 0;
    ThreadedTarget m_target; // The last one, as its threads use the others.
};

/** Sends a request to the host with port @p port for callers, and returns the response; empty if there is none. */
std::string send(std::unique_ptr<BlockingConnection> &connection,
                 std::uint16_t port,
                 const std::string &id,
                 const std::string &service,
                 bool isRepeatable,
                 Observations &observations)
{
    try {
        if (!connection) {
            connection = std::make_unique<BlockingConnection>(port);
        }
        observations.sent(id, service, isRepeatable);
        connection->write("POST /" + std::string(isRepeatable ? "idempotent" : "non_idempotent") + '/' + service
                          + "/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: "
                          + std::to_string(Deadline.count()) + "\r\nX-Api-Key: k\r\nContent-Length: 0\r\n\r\n");
        std::string response = connection->readRequest();
        if (response.empty() || response.find("\r\nConnection: close") != std::string::npos) {
            connection.reset();
        }
        if (!response.empty()) {
            observations.answered(id, response);
        }
        return response;
    } catch (const std::exception &) {
        connection.reset();
        return {}; // The host does not listen.
    }
}

/** Sends requests of random services to one host, one after the other, until @p stop is set. */
void callUntil(const std::atomic<bool> &stop,
               std::uint16_t port,
               const std::string &name,
               unsigned seed,
               Observations &observations)
{
    Random random(seed);
    std::unique_ptr<BlockingConnection> connection;
    for (int i = 0; !stop; ++i) {
        const auto &service = Services[static_cast<std::size_t>(between(random, 0, 1))];
        const std::string response =
            send(connection, port, name + '-' + std::to_string(i), service, between(random, 0, 1) == 0, observations);
        if (response.find(" 200 ") == std::string::npos) {
            std::this_thread::sleep_for(RetryPause);
        }
        if (between(random, 0, 3) == 0) {
            connection.reset();
        }
    }
}

/** Delay after which a killed process is started again. */
milliseconds randomDelay(Random &random)
{
    switch (between(random, 0, 3)) {
    case 0:
        return milliseconds(0);
    case 1:
        return milliseconds(between(random, 50, 300));
    case 2:
        return milliseconds(between(random, 300, 700));
    default:
        return milliseconds(between(random, 700, 1500));
    }
}

/** Plays one random disruption; all hosts run afterwards. */
void disrupt(EntryFleet &fleet, std::vector<std::unique_ptr<SharedAddress>> &addresses, Random &random)
{
    const auto host = static_cast<std::size_t>(between(random, 0, static_cast<int>(fleet.size()) - 1));
    const int kind = between(random, 0, 9);
    if (kind == 0) {
        fleet.signal(host, SIGSTOP);
        std::this_thread::sleep_for(milliseconds(between(random, 100, 1500)));
        fleet.signal(host, SIGCONT);
        return;
    }
    if (kind == 1) { // The first address of each service stays.
        auto &address = *addresses[Services.size()];
        address.replace(address.service() == Services[0] ? Services[1] : Services[0]);
        return;
    }
    std::set<std::size_t> killed{ host };
    if (kind <= 3) {
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            killed.insert(i);
        }
    }
    // Some are killed again before they are ready.
    for (int times = kind <= 5 ? 2 : 1; times > 0; --times) {
        for (const std::size_t index : killed) {
            fleet.kill(index);
        }
        std::this_thread::sleep_for(randomDelay(random));
        for (const std::size_t index : killed) {
            fleet.start(index);
        }
        if (times > 1) {
            std::this_thread::sleep_for(milliseconds(between(random, 0, 150)));
        }
    }
}

} // namespace

// Guards against answers of another service, and against requests that run twice, unasked or after a refusal: what
// hosts believe of a process that was killed must not count for the one after it.
TEST_CASE("callers of hosts that are killed get the answers of their own services", "[restart][soak]")
{
    for (int seed = 1; seed <= seeds(); ++seed) {
        CAPTURE(seed);
        Random random(static_cast<unsigned>(seed));
        Observations observations;
        StoreStub store({ { "keyed.op", { { "config", configuration() } } } });
        std::vector<std::unique_ptr<SharedAddress>> addresses;
        for (std::size_t i = 0; i <= Services.size(); ++i) {
            addresses.push_back(std::make_unique<SharedAddress>(store, observations, Services[i % Services.size()]));
        }
        EntryFleet fleet(store, static_cast<std::size_t>(between(random, 2, 3)));
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            fleet.start(i);
        }
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            REQUIRE(fleet.waitReady(i, ReadyTimeout));
        }
        std::atomic<bool> stop = false;
        std::vector<std::thread> callers;
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            for (int number = 0; number < CallersOfHost; ++number) {
                const std::string name = std::to_string(i) + '-' + std::to_string(number);
                callers.emplace_back(callUntil,
                                     std::cref(stop),
                                     fleet.ports(i)[0],
                                     name,
                                     static_cast<unsigned>(seed) * 1000U + static_cast<unsigned>(callers.size()),
                                     std::ref(observations));
            }
        }
        for (int step = 0; step < Steps; ++step) {
            std::this_thread::sleep_for(milliseconds(between(random, 100, 700)));
            disrupt(fleet, addresses, random);
        }
        bool ready = true;
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            ready = ready && fleet.waitReady(i, ReadyTimeout);
        }
        stop = true;
        for (auto &caller : callers) {
            caller.join();
        }
        CHECK(ready);
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            CAPTURE(i, fleet.output(i));
            CHECK(fleet.isRunning(i));
            for (const auto &service : Services) {
                int calls = 0;
                CHECK(waitFor(
                    [&] {
                        std::unique_ptr<BlockingConnection> connection;
                        const std::string id = "end-" + std::to_string(i) + '-' + service + std::to_string(++calls);
                        return send(connection, fleet.ports(i)[0], id, service, true, observations).find(" 200 ")
                            != std::string::npos;
                    },
                    RecoveryTimeout));
            }
            fleet.kill(i);
        }
        for (const auto &fault : observations.faults()) {
            UNSCOPED_INFO(fault);
        }
        CHECK(observations.faults().empty());
        CHECK(observations.served() > 0);
        WARN("seed " << seed << ": " << fleet.size() << " hosts, " << observations.runs() << " requests ran, "
                     << observations.served() << " answers");
    }
}

// Guards against a host that stays away after a crash, as one of its ports is used for a moment when it comes back.
TEST_CASE("a host waits for a port that is in use when it starts", "[restart]")
{
    Observations observations;
    StoreStub store({ { "keyed.op", { { "config", configuration() } } } });
    const SharedAddress drafts(store, observations, "drafts");
    EntryFleet fleet(store, 1);
    // Of the listeners for callers, for the readiness check and for other hosts, and of the socket for their datagrams.
    const auto [listener, datagrams] =
        GENERATE(table<std::size_t, bool>({ { 0, false }, { 1, false }, { 2, false }, { 2, true } }));
    CAPTURE(listener, datagrams);
    {
        using boost::asio::ip::tcp;
        using boost::asio::ip::udp;
        const auto loopback = boost::asio::ip::address_v4::loopback();
        const std::uint16_t port = fleet.ports(0)[listener];
        boost::asio::io_context context;
        tcp::acceptor otherListener(context);
        udp::socket otherSocket(context);
        if (datagrams) {
            otherSocket = udp::socket(context, udp::endpoint(loopback, port));
        } else {
            otherListener = tcp::acceptor(context, tcp::endpoint(loopback, port));
        }
        fleet.start(0);
        std::this_thread::sleep_for(milliseconds(500));
        CHECK_FALSE(fleet.waitReady(0, milliseconds(1)));
        INFO(fleet.output(0));
        REQUIRE(fleet.isRunning(0));
    }
    CHECK(fleet.waitReady(0, ReadyTimeout));
    fleet.kill(0);
}
