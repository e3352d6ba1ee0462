// Case 13: a crowd of callers whose requests have many short fields and trailers that do not end.
#include "deployment.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdlib>
#include <memory>
#include <optional>
#include <thread>

using namespace review;

namespace {

/** Memory of a machine of badgeworks-ops. */
constexpr int MemoryMb = 260;

/** Callers of the crowd: a quarter of the descriptors of a machine. */
constexpr int Callers = 1000;

/** Part of the header limit of the configuration, 16,384 bytes, that the crowd uses. */
constexpr std::size_t HeaderBytes = 16200;

/** Time between two callers, so that the host uses no more than its quarter of a core. */
constexpr std::chrono::milliseconds CallerInterval{ 6 };

/** Longest time of a crowd at a host, and how often it comes: the rule speaks of three ends at two machines. */
constexpr double RoundSeconds = 12;
constexpr int Rounds = 3;

void serveWorker(Connection &connection)
{
    for (std::string header = connection.readMessage(); !header.empty(); header = connection.readMessage()) {
        connection.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + fieldOf(header, "X-Attempt-Id")
                         + "\r\nX-Server-Seal: s\r\nContent-Length: 5\r\n\r\nsound");
    }
}

/** Sends an ordinary request on a new connection; returns the first line of the answer, or "no answer". */
std::string ask(const std::string &ip, const Host &host, int number)
{
    Connection connection = Connection::to(ip, host.callers(), std::chrono::seconds(3));
    if (!connection.isOpen() || !connection.write(request("GET", "/r/x", "o" + std::to_string(number), {}))) {
        return "no connection";
    }
    const std::string header = connection.readMessage();
    return header.empty() ? "no answer" : header.substr(0, header.find('\r'));
}

/** Starts a host, sends the crowd to it, and returns whether it ended; nothing if it did not get ready. */
std::optional<bool> endsByCrowd(const std::string &ip, const HostOptions &options, Record &record)
{
    const std::string name = options.name + ": ";
    Host host(ip, options);
    if (!host.waitReady()) {
        record.line(name + "did not get ready");
        return std::nullopt;
    }
    record.line(name + "ready; resident " + std::to_string(host.residentMb()) + " MB of " + std::to_string(MemoryMb));

    // With the trouble, the header has short fields and trailers follow the body; without, one field fills the header.
    const std::string trailer = "a:\r\n";
    std::string fields = "Transfer-Encoding: chunked\r\n";
    const std::size_t room = HeaderBytes - request("POST", "/r/x", "c0000", fields).size();
    if (withoutTrouble()) {
        fields += "a: " + std::string(room - 5, 'a') + "\r\n";
    } else {
        for (std::size_t size = 0; size + trailer.size() <= room; size += trailer.size()) {
            fields += trailer;
        }
    }
    std::vector<std::unique_ptr<Connection>> crowd;
    std::size_t sent = 0;
    double peak = 0;
    double processor = 0;
    const double begin = record.seconds();
    double nextLine = begin + 1;
    for (int number = 0; record.seconds() < begin + RoundSeconds && host.isRunning(); ++number) {
        std::this_thread::sleep_for(CallerInterval);
        if (number < Callers) {
            crowd.push_back(
                std::make_unique<Connection>(Connection::to(ip, host.callers(), std::chrono::milliseconds(1000))));
            const std::string bytes = request("POST", "/r/x", "c" + std::to_string(number), fields)
                + "5\r\nhello\r\n0\r\n" + (withoutTrouble() ? "\r\n" : trailer);
            sent += crowd.back()->isOpen() && crowd.back()->write(bytes) ? bytes.size() : 0;
        } else if (!withoutTrouble() && crowd[static_cast<std::size_t>(number % Callers)]->isOpen()) {
            crowd[static_cast<std::size_t>(number % Callers)]->write(trailer); // Fails where the host has refused it.
        }
        const double resident = host.residentMb();
        processor = host.processorSeconds();
        peak = std::max(peak, resident);
        if (resident > MemoryMb) {
            record.line(name + "resident " + std::to_string(resident) + " MB: the platform kills the process");
            host.kill();
        } else if (record.seconds() >= nextLine) {
            nextLine += 1;
            record.line(name + std::to_string(crowd.size()) + " callers, resident " + std::to_string(resident)
                        + " MB; ordinary caller: " + ask(ip, host, number));
        }
    }
    const bool isRunning = host.isRunning();
    record.line(name + std::to_string(crowd.size()) + " callers sent " + std::to_string(sent) + " bytes in "
                + std::to_string(record.seconds() - begin) + " s; peak " + std::to_string(peak) + " MB, "
                + std::to_string(processor) + " s of processor time; process " + (isRunning ? "runs" : "is gone")
                + "; ordinary caller: " + ask(ip, host, Callers));
    return !isRunning;
}

int runCase(Record &record)
{
    const std::array<std::string, 2> ips{ loopbackAddress(), loopbackAddress() };
    Store &store = *new Store(ips[0]); // Used by threads until the end of this process.
    const Listener worker(ips[0], serveWorker);
    store.put("keyed.op",
              "config",
              configuration(R"([{"name":"r","host":"a.example","pathPrefix":"/r/","kind":"idempotent",)"
                            R"("timeoutMs":15000,"targetLatencyMs":800,"priority":0,"service":"s","maxAttempts":2}])",
                            R"([{"name":"s","healthPath":"/health","maxConns":360}])"));
    store.put("keyed.servers", "i-1", workerEntry("s", ips[0], worker.port(), 12));
    std::array<int, 2> ends{};
    std::atomic<bool> failed = false;
    std::vector<std::thread> hosts;
    for (std::size_t i = 0; i < ips.size(); ++i) {
        hosts.emplace_back([&, i] {
            HostOptions options{ MemoryMb, 4100, store.port(), ips[0], "front-a-" + std::to_string(i + 1) };
            for (int round = 0; round < Rounds && !failed; ++round) {
                options.firstStart = round == 0;
                const auto ended = endsByCrowd(ips[i], options, record);
                failed = failed || !ended;
                ends[i] += ended.value_or(false) ? 1 : 0;
            }
        });
    }
    for (auto &host : hosts) {
        host.join();
    }
    record.line("ends by memory over the limit: " + std::to_string(ends[0]) + " at host 1, " + std::to_string(ends[1])
                + " at host 2, of " + std::to_string(Rounds) + " rounds each");
    return failed ? 2 : std::min(ends[0], ends[1]) >= Rounds ? 1 : 0;
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
