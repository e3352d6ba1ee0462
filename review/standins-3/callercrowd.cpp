// Case 13: a crowd of callers whose requests have many short fields and trailers that do not end.
#include "deployment.h"

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <thread>

using namespace review;

namespace {

/** Memory of a machine of badgeworks-ops. */
constexpr int MemoryMb = 260;

/** Callers of the crowd: a quarter of the descriptors of a machine. */
constexpr int Callers = 1000;

/** Part of the header limit of the configuration, 16,384 bytes, that the crowd uses. */
constexpr std::size_t HeaderBytes = 16200;

constexpr std::chrono::seconds CrowdStays{ 12 };

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

int runCase(Record &record)
{
    const std::string ip = loopbackAddress();
    Store &store = *new Store(ip); // Used by threads until the end of this process.
    const Listener worker(ip, serveWorker);
    store.put("keyed.op",
              "config",
              configuration(R"([{"name":"r","host":"a.example","pathPrefix":"/r/","kind":"idempotent",)"
                            R"("timeoutMs":15000,"targetLatencyMs":800,"priority":0,"service":"s","maxAttempts":2}])",
                            R"([{"name":"s","healthPath":"/health","maxConns":360}])"));
    store.put("keyed.servers", "i-1", workerEntry("s", ip, worker.port(), 12));
    Host host(ip, { MemoryMb, 4100, store.port() });
    if (!host.waitReady()) {
        record.line("the host did not get ready");
        return 2;
    }
    record.line("ready; resident " + std::to_string(host.residentMb()) + " MB of " + std::to_string(MemoryMb));

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
    for (int number = 0; number < Callers; ++number) {
        crowd.push_back(
            std::make_unique<Connection>(Connection::to(ip, host.callers(), std::chrono::milliseconds(1000))));
        const std::string bytes = request("POST", "/r/x", "c" + std::to_string(number), fields) + "5\r\nhello\r\n0\r\n"
            + (withoutTrouble() ? "\r\n" : trailer);
        sent += crowd.back()->isOpen() && crowd.back()->write(bytes) ? bytes.size() : 0;
    }
    record.line(std::to_string(Callers) + " callers have sent " + std::to_string(sent) + " bytes"
                + (withoutTrouble() ? ", whole requests" : ", no end of their trailers"));
    double peak = 0;
    const double until = record.seconds() + static_cast<double>(CrowdStays.count());
    for (int turn = 0; record.seconds() < until && host.isRunning(); ++turn) {
        std::this_thread::sleep_for(std::chrono::milliseconds(250));
        const double resident = host.residentMb();
        peak = std::max(peak, resident);
        if (resident > MemoryMb) {
            record.line("resident " + std::to_string(resident) + " MB: the platform kills the process");
            host.kill();
            break;
        }
        if (turn % 4 != 0) {
            continue;
        }
        for (const auto &caller : crowd) {
            if (!withoutTrouble() && caller->isOpen()) {
                caller->write(trailer); // Fails where the host has refused the request.
            }
        }
        record.line("resident " + std::to_string(resident) + " MB; ordinary caller: " + ask(ip, host, turn));
    }
    const bool isRunning = host.isRunning();
    const std::string last = ask(ip, host, 1000);
    record.line("peak " + std::to_string(peak) + " MB; process " + (isRunning ? "runs" : "is gone")
                + "; ordinary caller afterwards: " + last);
    return isRunning && last.find(" 200 ") != std::string::npos ? 0 : 1;
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
