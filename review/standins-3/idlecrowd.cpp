// Case 15: callers that keep their connections open for their next request, more of them than a host has descriptors.
#include "deployment.h"

#include <sys/resource.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <memory>
#include <thread>

using namespace review;

namespace {

/** Descriptors of a machine of badgeworks-ops. */
constexpr int HostDescriptors = 4100;

/** Callers that keep a connection, with the trouble and without. */
constexpr int Callers = 4300;
constexpr int FewCallers = 1000;

/** Descriptors that this process needs beside those of the callers. */
constexpr int OwnDescriptors = 500;

/** contactMs of the settings. */
constexpr double ContactSeconds = 4;

/** Time between two requests on a connection: under four fifths of the idle timeout of 15 s. */
constexpr double ReuseSeconds = 10;

constexpr double WatchedSeconds = 24;

/** Time between two callers, so that the host uses no more than its quarter of a core. */
constexpr std::chrono::microseconds CallerInterval{ 1500 };

/** Callers without a connection after which no more come. */
constexpr int RefusedCallers = 2;

void serveWorker(Connection &connection)
{
    for (std::string header = connection.readMessage(); !header.empty(); header = connection.readMessage()) {
        connection.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + fieldOf(header, "X-Attempt-Id")
                         + "\r\nX-Server-Seal: s\r\nContent-Length: 5\r\n\r\nsound");
    }
}

int runCase(Record &record)
{
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    const int callers = withoutTrouble() ? FewCallers : Callers;
    if (limit.rlim_max < static_cast<rlim_t>(callers + OwnDescriptors)) {
        record.line("this machine allows too few descriptors for the callers");
        return 2;
    }
    limit.rlim_cur = static_cast<rlim_t>(callers + OwnDescriptors);
    ::setrlimit(RLIMIT_NOFILE, &limit); // The soft limit of this process only.

    const std::string ip = loopbackAddress();
    Store &store = *new Store(ip); // Used by threads until the end of this process.
    const Listener worker(ip, serveWorker);
    store.put("keyed.op",
              "config",
              configuration(R"([{"name":"r","host":"a.example","pathPrefix":"/r/","kind":"idempotent",)"
                            R"("timeoutMs":15000,"targetLatencyMs":800,"priority":0,"service":"s","maxAttempts":2}])",
                            R"([{"name":"s","healthPath":"/health","maxConns":360}])"));
    store.put("keyed.servers", "i-1", workerEntry("s", ip, worker.port(), 12));
    Host host(ip, { 260, HostDescriptors, store.port() });
    if (!host.waitReady()) {
        record.line("the host did not get ready");
        return 2;
    }
    Connection readiness = Connection::to(ip, host.readiness(), std::chrono::seconds(1));
    const auto isReady = [&] {
        return readiness.write("GET /ready HTTP/1.1\r\nHost: " + ip + "\r\n\r\n")
            && readiness.readMessage().starts_with("HTTP/1.1 200");
    };
    const auto send = [&](Connection &connection, int number, int turn) {
        const std::string id = "k" + std::to_string(number) + '-' + std::to_string(turn);
        return connection.isOpen() && connection.write(request("GET", "/r/x", id, {}));
    };

    // Each caller sends a request, waits up to a second for its answer, and keeps its connection.
    std::vector<std::unique_ptr<Connection>> kept;
    int answered = 0;
    for (int number = 0; number < callers; ++number) {
        auto connection =
            std::make_unique<Connection>(Connection::to(ip, host.callers(), std::chrono::milliseconds(1000)));
        const bool sent = send(*connection, number, 0);
        if (!sent || connection->readMessage().empty()) {
            record.line("caller " + std::to_string(number + 1) + " got no connection or no answer");
            kept.push_back(std::move(connection));
            if (static_cast<int>(kept.size()) - answered >= RefusedCallers) {
                break; // The host takes no more.
            }
            continue;
        }
        ++answered;
        std::this_thread::sleep_for(CallerInterval);
        kept.push_back(std::move(connection));
    }
    record.line(std::to_string(answered) + " callers got an answer and keep their connections; descriptors of the host "
                + std::to_string(host.openDescriptors()) + ", resident " + std::to_string(host.residentMb()) + " MB");

    // Newcomers try twice a second while the callers use their connections again before these are too old.
    const double begin = record.seconds();
    double servedAt = begin;
    double readySince = begin;
    double longest = 0;
    double reuseAt = begin;
    int tried = 0;
    int served = 0;
    int triedSince = 0;
    int turn = 0;
    while (record.seconds() < begin + WatchedSeconds) {
        if (record.seconds() >= reuseAt) {
            ++turn;
            std::map<std::string, int> answers;
            for (std::size_t number = 0; number < kept.size(); ++number) {
                kept[number]->setReadTimeout(std::chrono::milliseconds(100));
                const bool sent = send(*kept[number], static_cast<int>(number), turn);
                const std::string header = sent ? kept[number]->readMessage() : std::string();
                ++answers[header.empty() ? "none" : header.substr(0, header.find('\r'))];
            }
            reuseAt = record.seconds() + ReuseSeconds;
            for (const auto &[answer, callersWithIt] : answers) {
                record.line("kept connections used again: " + std::to_string(callersWithIt) + " got " + answer);
            }
        }
        if (!isReady()) {
            readySince = record.seconds();
            triedSince = 0;
            record.line("the host does not say that it is ready");
        }
        // Callers allow a new connection a second to be established.
        Connection newcomer = Connection::to(ip, host.callers(), std::chrono::milliseconds(1000));
        newcomer.setReadTimeout(std::chrono::milliseconds(500));
        ++tried;
        ++triedSince;
        const bool isServed = send(newcomer, tried, -1) && !newcomer.readMessage().empty();
        if (isServed) {
            ++served;
            servedAt = record.seconds();
            triedSince = 0;
        }
        const double without = record.seconds() - std::max(servedAt, readySince);
        if (triedSince >= 7) {
            longest = std::max(longest, without);
        }
        if (tried % 4 == 0) {
            record.line(std::to_string(tried) + " newcomers, " + std::to_string(served) + " served; ready; "
                        + std::to_string(without) + " s since a newcomer was served");
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(isServed ? 500 : 1));
    }
    record.line("the host used " + std::to_string(host.processorSeconds()) + " s of processor time");
    record.line("longest time without a new connection served, while ready and seven or more tried: "
                + std::to_string(longest) + " s; the process " + (host.isRunning() ? "runs" : "is gone"));
    const int result = !host.isRunning() || longest > ContactSeconds ? 1 : 0;
    return result;
}

} // namespace

int main(int count, char **arguments)
{
    if (count != 2) {
        return 2;
    }
    Record record(arguments[1]);
    const int result = runCase(record);
    record.line("exit code " + std::to_string(result));
    std::_Exit(result); // The threads of the stand-ins do not end.
}
