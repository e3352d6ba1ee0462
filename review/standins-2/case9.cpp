// Case 9: all hosts are killed and started again while one partition of the metadata store is down, the one in which
// the hosts announce themselves. Three hosts, three targets, and callers of one customer that send more than its quota.
// Checks how much of the customer's quota is used in any window.

#include "platformstandin.h"

#include <algorithm>
#include <csignal>
#include <deque>
#include <exception>
#include <iostream>
#include <memory>

using namespace review;

namespace {

constexpr int Hosts = 3;
constexpr int Targets = 3;

/** Quota of the customer, in tokens, and the tokens of a request. */
constexpr double RatePerSecond = 60000;
constexpr double Burst = 60000;
constexpr double TokensIn = 5000;
constexpr double TokensOut = 1000;

/** Bounds of the rule, as in the settings of the hosts. */
constexpr std::int64_t QuotaWindowMs = 8000;
constexpr double QuotaOverage = 0.1;
constexpr double QuotaSlack = 140000;

/** Work of a request, callers, and their pause between two requests. */
constexpr milliseconds Work{ 15 };
constexpr int Callers = 12;
constexpr milliseconds CallerPause{ 100 };
constexpr milliseconds Deadline{ 5000 };

/** Traffic starts so long after the hosts, as on the sheets. */
constexpr milliseconds Lead{ 10000 };

/** Traffic before the trouble, length of the outage, time from its begin to the kill, and of the hosts' absence. */
constexpr milliseconds Before{ 15000 };
constexpr milliseconds Outage{ 9000 };
constexpr milliseconds KillAfter{ 300 };
constexpr milliseconds DownTime{ 500 };
constexpr milliseconds After{ 15000 };

constexpr milliseconds ReadyTimeout{ 15000 };

/** Topic of the hosts' announcements. */
constexpr const char *HostsTopic = "keyed.hosts";

enum ExitCode { RuleHeld = 0, RuleBroken = 1, CouldNotRun = 2 };

std::string configuration()
{
    return R"({"version":1,"routes":[{"name":"r","host":"a.example","pathPrefix":"/s/","kind":"idempotent",)"
           R"("timeoutMs":5000,"targetLatencyMs":500,"priority":0,"service":"s","maxAttempts":1,"public":false}],)"
           R"("services":[{"name":"s","healthPath":"/health","maxConns":360}],"limits":{"maxHeaderBytes":16384,)"
           R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"t",)"
           R"("apiKeys":["k"],"costUnit":"tokens","plainTokens":200,"ratePerS":60000,"burst":60000}]})";
}

/** Times at which requests began to run at targets. */
class Runs
{
public:
    void add()
    {
        const std::lock_guard lock(m_mutex);
        m_times.push_back(elapsedMs());
    }

    /** Returns the most tokens that ran in any window of the quota. */
    double mostInWindow()
    {
        const std::lock_guard lock(m_mutex);
        double most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < m_times.size(); ++last) {
            while (m_times[last] - m_times[first] >= QuotaWindowMs) {
                ++first;
            }
            most = std::max(most, static_cast<double>(last - first + 1) * (TokensIn + TokensOut));
        }
        return most;
    }

private:
    std::mutex m_mutex;
    std::deque<std::int64_t> m_times;
};

void serve(Connection &connection, Runs &runs, Record &record)
{
    Message request;
    while (readMessage(connection, request)) {
        const std::string id = request.field("X-Attempt-Id");
        runs.add();
        record.line("run      " + id + " for " + request.field("X-Tenant"));
        std::this_thread::sleep_for(Work);
        if (!connection.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id
                              + "\r\nX-Server-Seal: s\r\nContent-Length: 2\r\n\r\nok")) {
            return;
        }
    }
}

/** Sends requests to @p host, one after the other, until @p stop is set. */
void callUntil(const std::atomic<bool> &stop, const HostProcess &host, int caller, Record &record)
{
    for (int i = 0; !stop; ++i) {
        const int descriptor = host.connectAsCaller();
        if (descriptor >= 0) {
            Connection connection(descriptor);
            connection.setTimeout(Deadline);
            const std::string id = "c" + std::to_string(caller) + '-' + std::to_string(i);
            record.line("sent     " + id + " to " + host.name());
            connection.write("GET /s/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id
                             + "\r\nX-Token-Count: 5000,1000\r\nX-Deadline-Ms: " + std::to_string(Deadline.count())
                             + "\r\nX-Api-Key: k\r\n\r\n");
            Message answer;
            readMessage(connection, answer);
            record.line("answered " + id + ' ' + std::to_string(answer.status()));
        }
        std::this_thread::sleep_for(CallerPause);
    }
}

int play(const std::string &recordPath, const std::string &folder, const std::vector<std::string> &command)
{
    Record record(recordPath);
    Store store;
    Runs runs;
    store.put("keyed.op", "config", configuration());
    std::vector<std::unique_ptr<Server>> targets;
    for (int number = 1; number <= Targets; ++number) {
        targets.push_back(std::make_unique<Server>([&runs, &record](Connection &connection) {
            serve(connection, runs, record);
        }));
        store.put(
            "keyed.servers",
            "i-" + std::to_string(number),
            R"({"service":"s","address":"127.0.0.1:)" + std::to_string(targets.back()->port())
                + R"(","zone":"osu","version":"v1","concurrency":12,"state":"ready","coldLeftMs":0,"sequence":1})");
    }
    const HostPorts ports;
    std::vector<std::unique_ptr<HostProcess>> hosts;
    for (int number = 1; number <= Hosts; ++number) {
        HostOptions options;
        options.name = "front-" + std::to_string(number);
        options.address = "127.0.0." + std::to_string(1 + number);
        hosts.push_back(std::make_unique<HostProcess>(command, folder, options, ports, store));
        hosts.back()->start(true);
    }
    bool ready = true;
    for (const auto &host : hosts) {
        ready = ready && host->waitUntilReady(ReadyTimeout);
    }
    std::this_thread::sleep_for(Lead);
    std::atomic<bool> stop = false;
    std::vector<std::thread> callers;
    for (int caller = 0; caller < Callers; ++caller) {
        callers.emplace_back([&stop, &host = *hosts[static_cast<std::size_t>(caller % Hosts)], &record, caller] {
            callUntil(stop, host, caller, record);
        });
    }
    std::this_thread::sleep_for(Before);
    const double mostBefore = runs.mostInWindow();
    if (withTrouble()) {
        record.line("the partition of " + std::string(HostsTopic) + " is down");
        store.setDownTopic(HostsTopic);
        const auto end = Clock::now() + Outage;
        std::this_thread::sleep_for(KillAfter);
        record.line("all hosts are killed");
        for (const auto &host : hosts) {
            host->signal(SIGKILL);
            host->waitForEnd();
        }
        std::this_thread::sleep_for(DownTime);
        record.line("all hosts are started");
        for (const auto &host : hosts) {
            host->start(false);
        }
        std::this_thread::sleep_until(end);
        store.setDownTopic({});
        record.line("the partition is back");
    } else {
        std::this_thread::sleep_for(Outage);
    }
    std::this_thread::sleep_for(After);
    stop = true;
    for (auto &caller : callers) {
        caller.join();
    }
    hosts.clear();
    targets.clear();
    const double allowed =
        (RatePerSecond * static_cast<double>(QuotaWindowMs) / 1000 + Burst) * (1 + QuotaOverage) + QuotaSlack;
    const double most = runs.mostInWindow();
    record.line("most tokens in a window of quotaWindowS: " + std::to_string(static_cast<int>(most))
                + ", before: " + std::to_string(static_cast<int>(mostBefore))
                + ", allowed: " + std::to_string(static_cast<int>(allowed)));
    if (!ready || mostBefore <= 0 || mostBefore > allowed) {
        return CouldNotRun;
    }
    return most > allowed ? RuleBroken : RuleHeld;
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
