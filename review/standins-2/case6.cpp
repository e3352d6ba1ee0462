// Case 6: a host is killed and started again while its requests wait for busy targets. Two hosts, two services with
// one target each, and callers that keep all slots busy. Checks that each target runs requests of its service only.

#include "platformstandin.h"

#include <csignal>
#include <exception>
#include <iostream>
#include <random>

using namespace review;

namespace {

/** Work of a request at its target, and slots of a target. */
constexpr milliseconds Work{ 300 };
constexpr int Slots = 2;

/** Callers of the host that is killed and of the other one; more than the targets have slots. */
constexpr int CallersOfKilled = 16;
constexpr int CallersOfOther = 4;

/** Kills, and the time from the host's readiness to the next one. */
constexpr int Kills = 10;
constexpr milliseconds TimeBetweenKills{ 700 };

/** Delay after which a killed process is started again. */
constexpr milliseconds RestartDelay{ 200 };

/** Time that callers wait for an answer, and before they send again after a refusal. */
constexpr milliseconds Deadline{ 9000 };
constexpr milliseconds RetryPause{ 20 };

constexpr milliseconds ReadyTimeout{ 15000 };

enum ExitCode { RuleHeld = 0, RuleBroken = 1, CouldNotRun = 2 };

std::string targetEntry(const std::string &service, std::uint16_t port)
{
    return R"({"service":")" + service + R"(","address":"127.0.0.1:)" + std::to_string(port)
        + R"(","zone":"osu","version":"v1","concurrency":)" + std::to_string(Slots)
        + R"(,"state":"ready","coldLeftMs":0,"sequence":1})";
}

std::string route(const std::string &service)
{
    return R"({"name":"r-)" + service + R"(","host":"a.example","pathPrefix":"/)" + service
        + R"(/","kind":"non_idempotent","timeoutMs":10000,"targetLatencyMs":500,"priority":0,"service":")" + service
        + R"(","maxAttempts":1,"public":false})";
}

std::string configuration()
{
    return R"({"version":1,"routes":[)" + route("drafts") + ',' + route("orders")
        + R"(],"services":[{"name":"drafts","healthPath":"/health","maxConns":360},)"
        + R"({"name":"orders","healthPath":"/health","maxConns":360}],"limits":{"maxHeaderBytes":16384,)"
        + R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
        + R"("tenants":[{"name":"t","apiKeys":["k"],"ratePerS":0,"burst":0}]})";
}

/** Target of one service that records which requests it runs. */
class Target
{
public:
    Target(std::string service, Record &record)
        : m_service(std::move(service))
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

    /** Returns how many requests it ran, and how many of them belong to another service. */
    std::pair<int, int> counts() const
    {
        return { m_runs, m_foreignRuns };
    }

private:
    void serve(Connection &connection)
    {
        Message request;
        while (readMessage(connection, request)) {
            const bool isOwn = request.startLine.starts_with("POST /" + m_service + '/');
            ++m_runs;
            m_foreignRuns += isOwn ? 0 : 1;
            const std::string id = request.field("X-Attempt-Id");
            m_record.line("run      " + id + " \"" + request.startLine + "\" by the target of " + m_service
                          + (isOwn ? "" : "   <-- another service"));
            std::this_thread::sleep_for(Work);
            if (!connection.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Server-Seal: " + m_service
                                  + "\r\nContent-Length: 2\r\n\r\nok")) {
                return;
            }
        }
    }

    std::string m_service;
    Record &m_record;
    std::atomic<int> m_runs = 0;
    std::atomic<int> m_foreignRuns = 0;
    Server m_server;
};

/** Sends requests of both services to @p host, one after the other, until @p stop is set. */
void callUntil(const std::atomic<bool> &stop, const HostProcess &host, unsigned number, Record &record)
{
    std::mt19937 random(number);
    for (int i = 0; !stop; ++i) {
        const int descriptor = host.connectAsCaller();
        if (descriptor < 0) {
            std::this_thread::sleep_for(RetryPause);
            continue;
        }
        Connection connection(descriptor);
        connection.setTimeout(Deadline);
        const std::string path = random() % 2 == 0 ? "/drafts/1" : "/orders/1";
        const std::string id = "c" + std::to_string(number) + '-' + std::to_string(i);
        record.line("sent     " + id + " POST " + path + " to " + host.name());
        connection.write("POST " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: "
                         + std::to_string(Deadline.count()) + "\r\nX-Api-Key: k\r\nContent-Length: 0\r\n\r\n");
        Message answer;
        const bool answered = readMessage(connection, answer);
        record.line("answered " + id + ' '
                    + (answered ? std::to_string(answer.status()) + ' ' + answer.field("X-Server-Seal")
                                : std::string("connection ended")));
        if (!answered || answer.status() != 200) {
            std::this_thread::sleep_for(RetryPause);
        }
    }
}

int play(const std::string &recordPath, const std::string &folder, const std::vector<std::string> &command)
{
    Record record(recordPath);
    Store store;
    Target drafts("drafts", record);
    Target orders("orders", record);
    store.put("keyed.op", "config", configuration());
    store.put("keyed.servers", "i-drafts", targetEntry("drafts", drafts.port()));
    store.put("keyed.servers", "i-orders", targetEntry("orders", orders.port()));
    const HostPorts ports;
    HostOptions options;
    options.name = "front-1";
    options.address = "127.0.0.2";
    HostProcess killed(command, folder, options, ports, store);
    options.name = "front-2"; // The host that decides: the names determine it.
    options.address = "127.0.0.3";
    HostProcess other(command, folder, options, ports, store);
    killed.start(true);
    other.start(true);
    if (!killed.waitUntilReady(ReadyTimeout) || !other.waitUntilReady(ReadyTimeout)) {
        record.line("a host did not become ready");
        return CouldNotRun;
    }
    std::atomic<bool> stop = false;
    std::vector<std::thread> callers;
    for (int i = 0; i < CallersOfKilled + CallersOfOther; ++i) {
        const HostProcess &host = i < CallersOfKilled ? killed : other;
        callers.emplace_back([&stop, &host, &record, i] {
            callUntil(stop, host, static_cast<unsigned>(i), record);
        });
    }
    bool ready = true;
    for (int i = 0; i < Kills && ready; ++i) {
        std::this_thread::sleep_for(TimeBetweenKills);
        if (withTrouble()) {
            killed.signal(SIGKILL);
            killed.waitForEnd();
            record.line("killed   " + killed.name());
            std::this_thread::sleep_for(RestartDelay);
            record.line("started  " + killed.name());
            killed.start(false);
            ready = killed.waitUntilReady(ReadyTimeout);
        }
    }
    std::this_thread::sleep_for(TimeBetweenKills);
    stop = true;
    killed.signal(SIGKILL);
    other.signal(SIGKILL);
    for (auto &caller : callers) {
        caller.join();
    }
    const int runs = drafts.counts().first + orders.counts().first;
    const int foreignRuns = drafts.counts().second + orders.counts().second;
    record.line("requests run: " + std::to_string(runs)
                + ", of them by the target of another service: " + std::to_string(foreignRuns));
    if (!ready || runs == 0) {
        return CouldNotRun;
    }
    return foreignRuns > 0 ? RuleBroken : RuleHeld;
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
