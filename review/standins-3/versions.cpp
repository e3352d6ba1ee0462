// Case 11: some callers ask for a version of the weights that the workers don't have.
#include "deployment.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdlib>
#include <memory>
#include <thread>

using namespace review;

namespace {

/** Workers of the service layout-llm of badgeworks-ops, and their slots. */
constexpr int Workers = 9;
constexpr int Slots = 12;

/** Version of the weights at all workers, and the one that the callers with an older answer expect. */
constexpr const char *WeightVersion = "2";
constexpr const char *OlderVersion = "1";

/** Requests that expect a version, one after the other at one host: four for each two workers. */
constexpr int VersionRequests = 20;

/** Interval of the workers' entries, heartbeatMs of the settings. */
constexpr std::chrono::milliseconds Heartbeat{ 1200 };

/** Time for which ordinary requests are sent after the others. */
constexpr double WatchedSeconds = 30;

/** Answers as PROTOCOL.md says: 421 to a request that expects other weights, a stream to all others. */
void serveWorker(Connection &connection, Record &record)
{
    for (std::string header = connection.readMessage(); !header.empty(); header = connection.readMessage()) {
        const std::string id = fieldOf(header, "X-Attempt-Id");
        const std::string instance = fieldOf(header, "X-Expect-Instance");
        const std::string version = fieldOf(header, "X-Expect-Version");
        if (!version.empty() && version != WeightVersion) {
            record.line("worker " + instance + " answers " + id + ", which expects version " + version + ", with 421");
            connection.write("HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: " + id + "\r\nX-Not-Executed: 1\r\n"
                             + "X-Instance-Id: " + instance + "\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        const std::string event = "id: 1\ndata: x\n\n";
        connection.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id
                         + "\r\nX-Server-Seal: s\r\nX-Weight-Versions: " + WeightVersion
                         + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nf\r\n" + event
                         + "\r\n0\r\n\r\n");
    }
}

/** Sends a request on a new connection; returns the first line of the answer, or "no answer". */
std::string ask(const std::string &ip, const Host &host, const std::string &id, const std::string &fields)
{
    Connection connection = Connection::to(ip, host.callers(), std::chrono::seconds(1));
    connection.setReadTimeout(std::chrono::seconds(15));
    const std::string usual = "X-Token-Count: 600,100\r\nX-Deadline-Ms: 15000\r\nContent-Length: 2\r\n";
    if (!connection.isOpen() || !connection.write(request("POST", "/r/x", id, usual + fields) + "{}")) {
        return "no connection";
    }
    const std::string header = connection.readMessage();
    return header.empty() ? "no answer" : header.substr(0, header.find('\r'));
}

int runCase(Record &record)
{
    const std::array<std::string, 2> ips{ loopbackAddress(), loopbackAddress() };
    Store &store = *new Store(ips[0]); // Used by threads until the end of this process.
    const Listener worker(ips[0], [&record](Connection &connection) {
        serveWorker(connection, record);
    });
    store.put("keyed.op",
              "config",
              configuration(R"([{"name":"r","host":"a.example","pathPrefix":"/r/","kind":"streaming",)"
                            R"("timeoutMs":15000,"targetLatencyMs":800,"gapAimMs":300,"priority":0,"service":"s",)"
                            R"("maxAttempts":2,"sticky":true,"resumable":true}])",
                            R"([{"name":"s","healthPath":"/health","maxConns":360,"engine":{"concurrency":12}}])"));
    const auto beat = [&store, ip = ips[0], port = worker.port()](int sequence) {
        for (int number = 0; number < Workers; ++number) {
            store.put("keyed.servers", "i-" + std::to_string(number), workerEntry("s", ip, port, Slots, sequence));
        }
    };
    beat(1);
    std::thread([beat] {
        for (int sequence = 2;; ++sequence) {
            std::this_thread::sleep_for(Heartbeat);
            beat(sequence);
        }
    }).detach();
    std::array<std::unique_ptr<Host>, 2> hosts;
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        HostOptions options;
        options.store = store.port();
        options.storeIp = ips[0];
        options.name = "front-a-" + std::to_string(i + 1);
        hosts[i] = std::make_unique<Host>(ips[i], options);
    }
    for (const auto &host : hosts) {
        if (!host->waitReady()) {
            record.line("a host did not get ready");
            return 2;
        }
    }
    std::this_thread::sleep_for(std::chrono::seconds(3));
    const std::string expectation =
        withoutTrouble() ? std::string() : std::string("X-Expect-Version: ") + OlderVersion + "\r\n";
    for (int number = 1; number <= VersionRequests; ++number) {
        const std::string id = "version" + std::to_string(number);
        record.line(id + " at host 1: " + ask(ips[0], *hosts[0], id, expectation));
    }
    const double begin = record.seconds();
    std::atomic<int> sent = 0;
    std::atomic<int> served = 0;
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        callers.emplace_back([&, i] {
            for (int number = 0; record.seconds() < begin + WatchedSeconds; ++number) {
                const std::string id = "after" + std::to_string(i + 1) + '-' + std::to_string(number);
                const std::string answer = ask(ips[i], *hosts[i], id, {});
                ++sent;
                served += answer.find(" 200 ") != std::string::npos ? 1 : 0;
                if (number % 5 == 0) {
                    record.line("ordinary request " + id + ": " + answer);
                }
                std::this_thread::sleep_for(std::chrono::milliseconds(500));
            }
        });
    }
    for (auto &caller : callers) {
        caller.join();
    }
    record.line(std::to_string(served) + " of " + std::to_string(sent) + " ordinary requests served in "
                + std::to_string(static_cast<int>(WatchedSeconds)) + " s, and none before");
    return served == 0 ? 1 : 0;
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
