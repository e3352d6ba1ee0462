// Case 7: targets leave some requests without an answer for a while, and some callers leave early. Two hosts, a service
// with requests that run at most once, and a second service for comparison. Checks whether the first service is still
// served after the trouble.

#include "platformstandin.h"

#include <cstdlib>
#include <exception>
#include <iostream>
#include <memory>
#include <random>

using namespace review;

namespace {

/** Targets of each service, and their slots and the work of a request as on the sheet of badgeworks-ops. */
constexpr int Targets = 2;
constexpr int Slots = 6;
constexpr milliseconds Work{ 15 };

/** Interval of the requests of each service: 18.8 a second. */
constexpr milliseconds RequestInterval{ 53 };

/** Times of the route and its callers on the sheet; callers that leave do so after half the objective. */
constexpr int OrderTimeoutMs = 1200;
constexpr int OrderDeadlineMs = 2500;
constexpr milliseconds LeaveAfter{ 75 };

/** Shares of the requests that get no answer, and of the callers that leave, during the trouble. */
constexpr double MuteShare = 0.45;
constexpr double LeaveShare = 0.3;

/** Rounds of trouble: begin of the first one, length of each, and the time from one to the next. */
constexpr milliseconds TroubleStart{ 1000 };
constexpr milliseconds TroubleLength{ 6500 };
constexpr milliseconds TroublePeriod{ 7000 };
constexpr int TroubleRounds = 7;

constexpr milliseconds RunTime{ 100000 };
constexpr milliseconds ReadyTimeout{ 15000 };

/** The rule: a kind of request is not served less than a quarter as often as all requests. */
constexpr double LeastShare = 0.25;

/** Length of the calm end of the run that the record counts by itself. */
constexpr milliseconds CalmEnd{ 45000 };

enum ExitCode { RuleHeld = 0, RuleBroken = 1, CouldNotRun = 2 };

/** Tells when the trouble is on. */
class Trouble
{
public:
    explicit Trouble(Clock::time_point start)
        : m_start(start)
    {
    }

    bool isOn() const
    {
        const auto at = Clock::now() - m_start - TroubleStart;
        return withTrouble() && at >= milliseconds(0) && at < TroubleRounds * TroublePeriod
            && at % TroublePeriod < TroubleLength;
    }

private:
    Clock::time_point m_start;
};

/** Requests of one kind that were sent and served. */
struct Tally
{
    std::atomic<int> sent = 0;
    std::atomic<int> served = 0;
    std::atomic<int> sentAtEnd = 0;
    std::atomic<int> servedAtEnd = 0;
};

/** Target whose requests get no answer for some time; their connections stay open. */
class Target
{
public:
    Target(std::string name, bool isMute, const Trouble &trouble, Record &record)
        : m_name(std::move(name))
        , m_isMute(isMute)
        , m_trouble(trouble)
        , m_record(record)
        , m_server([this](Connection &connection) {
            serve(connection);
        })
    {
    }

    ~Target()
    {
        m_server.stop();
    }

    std::uint16_t port() const
    {
        return m_server.port();
    }

private:
    void serve(Connection &connection)
    {
        std::minstd_rand random(static_cast<unsigned>(elapsedMs()) * 31U + static_cast<unsigned>(m_served));
        random.discard(3);
        Message request;
        while (readMessage(connection, request)) {
            const std::string id = request.field("X-Attempt-Id");
            const bool mute = m_isMute && m_trouble.isOn() && std::uniform_real_distribution<>()(random) < MuteShare;
            ++m_served;
            m_record.line("run      " + id + " by " + m_name + (mute ? ", without an answer" : ""));
            std::this_thread::sleep_for(Work);
            if (mute) {
                continue; // Waits until the other end closes the connection.
            }
            if (!connection.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Server-Seal: " + m_name
                                  + "\r\nContent-Length: 2\r\n\r\nok")) {
                return;
            }
        }
    }

    std::string m_name;
    bool m_isMute;
    const Trouble &m_trouble;
    Record &m_record;
    std::atomic<int> m_served = 0;
    Server m_server;
};

std::string configuration()
{
    return R"({"version":1,"routes":[{"name":"r-orders","host":"a.example","pathPrefix":"/orders/",)"
           R"("kind":"non_idempotent","timeoutMs":)"
        + std::to_string(OrderTimeoutMs)
        + R"(,"targetLatencyMs":150,"priority":2,"service":"orders","maxAttempts":1,"public":false},)"
          R"({"name":"r-lookups","host":"a.example","pathPrefix":"/lookups/","kind":"idempotent","timeoutMs":1200,)"
          R"("targetLatencyMs":150,"priority":2,"service":"lookups","maxAttempts":1,"public":false}],)"
          R"("services":[{"name":"orders","healthPath":"/health","maxConns":96},)"
          R"({"name":"lookups","healthPath":"/health","maxConns":360}],"limits":{"maxHeaderBytes":16384,)"
          R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
          R"("tenants":[{"name":"t","apiKeys":["k"],"ratePerS":0,"burst":0}]})";
}

std::string targetEntry(const std::string &service, std::uint16_t port, int slots)
{
    return R"({"service":")" + service + R"(","address":"127.0.0.1:)" + std::to_string(port)
        + R"(","zone":"osu","version":"v1","concurrency":)" + std::to_string(slots)
        + R"(,"state":"ready","coldLeftMs":0,"sequence":1})";
}

/** Sends one request on a connection of its own; @p leaves after a short time instead of waiting. */
void call(const HostProcess &host,
          const std::string &service,
          const std::string &id,
          bool leaves,
          bool atEnd,
          Tally &tally,
          Record &record)
{
    record.line("sent     " + id + " /" + service + "/1 to " + host.name()
                + (leaves ? ", the caller leaves early" : ""));
    ++tally.sent;
    tally.sentAtEnd += atEnd ? 1 : 0;
    const int descriptor = host.connectAsCaller();
    if (descriptor < 0) {
        record.line("answered " + id + " no connection");
        return;
    }
    Connection connection(descriptor);
    connection.setTimeout(leaves ? LeaveAfter : milliseconds(OrderDeadlineMs));
    connection.write("POST /" + service + "/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id
                     + "\r\nX-Deadline-Ms: " + std::to_string(OrderDeadlineMs)
                     + "\r\nX-Api-Key: k\r\nContent-Length: 0\r\n\r\n");
    Message answer;
    const bool answered = readMessage(connection, answer);
    record.line("answered " + id + ' ' + (answered ? std::to_string(answer.status()) + ' ' + answer.body : "none"));
    if (answered && answer.status() == 200) {
        ++tally.served;
        tally.servedAtEnd += atEnd ? 1 : 0;
    }
}

int play(const std::string &recordPath, const std::string &folder, const std::vector<std::string> &command)
{
    Record record(recordPath);
    Store store;
    store.put("keyed.op", "config", configuration());
    const HostPorts ports;
    std::vector<std::unique_ptr<HostProcess>> hosts;
    for (int number = 1; number <= 2; ++number) {
        HostOptions options;
        options.name = "front-" + std::to_string(number);
        options.address = "127.0.0." + std::to_string(1 + number);
        hosts.push_back(std::make_unique<HostProcess>(command, folder, options, ports, store));
        hosts.back()->start(true);
    }
    const auto begin = Clock::now() + milliseconds(2000);
    const Trouble trouble(begin);
    std::vector<std::unique_ptr<Target>> targets;
    for (int number = 1; number <= Targets; ++number) {
        const std::string suffix = '-' + std::to_string(number);
        targets.push_back(std::make_unique<Target>("orders" + suffix, true, trouble, record));
        store.put("keyed.servers", "i-orders" + suffix, targetEntry("orders", targets.back()->port(), Slots));
        targets.push_back(std::make_unique<Target>("lookups" + suffix, false, trouble, record));
        store.put("keyed.servers", "i-lookups" + suffix, targetEntry("lookups", targets.back()->port(), Slots));
    }
    for (const auto &host : hosts) {
        if (!host->waitUntilReady(ReadyTimeout)) {
            record.line("a host did not become ready");
            return CouldNotRun;
        }
    }
    std::this_thread::sleep_until(begin);
    Tally orders;
    Tally lookups;
    std::minstd_rand random(1);
    std::vector<std::thread> callers;
    int number = 0;
    for (auto at = begin; at < begin + RunTime; at += RequestInterval) {
        std::this_thread::sleep_until(at);
        const bool leaves = trouble.isOn() && std::uniform_real_distribution<>()(random) < LeaveShare;
        const bool atEnd = at >= begin + RunTime - CalmEnd;
        const HostProcess &host = *hosts[static_cast<std::size_t>(++number % 2)];
        callers.emplace_back([&, leaves, atEnd, id = "o" + std::to_string(number)] {
            call(host, "orders", id, leaves, atEnd, orders, record);
        });
        callers.emplace_back([&, atEnd, id = "l" + std::to_string(number)] {
            call(host, "lookups", id, false, atEnd, lookups, record);
        });
    }
    for (auto &caller : callers) {
        caller.join();
    }
    hosts.clear();
    const double orderShare = static_cast<double>(orders.served) / orders.sent;
    const double allShare = static_cast<double>(orders.served + lookups.served) / (orders.sent + lookups.sent);
    record.line("orders served: " + std::to_string(orders.served) + " of " + std::to_string(orders.sent)
                + ", all requests: " + std::to_string(orders.served + lookups.served) + " of "
                + std::to_string(orders.sent + lookups.sent) + "; orders in the last "
                + std::to_string(CalmEnd.count() / 1000) + " s, without any trouble: "
                + std::to_string(orders.servedAtEnd) + " of " + std::to_string(orders.sentAtEnd));
    if (lookups.served == 0) {
        return CouldNotRun;
    }
    return orderShare < LeastShare * allShare ? RuleBroken : RuleHeld;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return argc < 4 ? CouldNotRun : play(argv[1], argv[2], std::vector<std::string>(argv + 3, argv + argc));
    } catch (const std::exception &exception) {
        std::cerr << exception.what() << '\n';
        return CouldNotRun;
    }
}
