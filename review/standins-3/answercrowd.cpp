// Case 14: some workers of a service answer with a long head of short fields and a body that does not end.
#include "deployment.h"

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <thread>

using namespace review;

namespace {

/** Memory of the smallest machines of badgeworks-ops-grown and of the deployments of demands/. */
constexpr int MemoryMb = 160;

/** Workers of badgeworks-ops-grown, their slots, and the share of them in trouble. */
constexpr int Workers = 112;
constexpr int Slots = 6;
constexpr int WorkersInTrouble = 34;

/** Bytes of the fields in a head without meaning. */
constexpr std::size_t HeadBytes = 60000;

/** Streams that callers start, one each 20 ms, and the time in which a sound worker sends all of one. */
constexpr int Streams = 900;
constexpr std::chrono::milliseconds StreamInterval{ 20 };
constexpr std::chrono::milliseconds EventInterval{ 100 };
constexpr int Events = 20;

std::string headOf(const std::string &request, const std::string &fields)
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + fieldOf(request, "X-Attempt-Id")
        + "\r\nX-Server-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" + fields + "\r\n";
}

std::string chunk(const std::string &text)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

void serveSound(Connection &connection)
{
    for (std::string request = connection.readMessage(); !request.empty(); request = connection.readMessage()) {
        connection.write(headOf(request, {}));
        for (int event = 1; event <= Events; ++event) {
            std::this_thread::sleep_for(EventInterval);
            if (!connection.write(chunk("id: " + std::to_string(event) + "\ndata: x\n\n"))) {
                return;
            }
        }
        connection.write("0\r\n\r\n");
    }
}

/** Answers with bytes that are no answer, without end, until the caller closes. */
void serveInTrouble(Connection &connection)
{
    std::string fields;
    while (fields.size() < HeadBytes) {
        fields += "a:\r\n";
    }
    const std::string request = connection.readMessage();
    bool isOpen = !request.empty() && connection.write(headOf(request, fields));
    while (isOpen) {
        std::this_thread::sleep_for(EventInterval);
        isOpen = connection.write(chunk(":"));
    }
}

int runCase(Record &record)
{
    const std::string ip = loopbackAddress();
    Store &store = *new Store(ip); // Used by threads until the end of this process.
    const Listener sound(ip, serveSound);
    const Listener inTrouble(ip, serveInTrouble);
    store.put("keyed.op",
              "config",
              configuration(R"([{"name":"r","host":"a.example","pathPrefix":"/r/","kind":"streaming",)"
                            R"("timeoutMs":12000,"targetLatencyMs":800,"gapAimMs":400,"priority":0,"service":"s",)"
                            R"("maxAttempts":1,"sticky":true,"resumable":false}])",
                            R"([{"name":"s","healthPath":"/health","maxConns":650,"engine":{"concurrency":6}}])"));
    for (int number = 0; number < Workers; ++number) {
        const bool isSound = withoutTrouble() || number >= WorkersInTrouble;
        store.put("keyed.servers",
                  "i-" + std::to_string(number),
                  workerEntry("s", ip, (isSound ? sound : inTrouble).port(), Slots));
    }
    Host host(ip, { MemoryMb, 4100, store.port() });
    if (!host.waitReady()) {
        record.line("the host did not get ready");
        return 2;
    }
    record.line("ready; resident " + std::to_string(host.residentMb()) + " MB of " + std::to_string(MemoryMb));
    std::atomic<int> complete = 0;
    std::atomic<int> failed = 0;
    std::atomic<int> ended = 0;
    double peak = 0;
    for (int number = 0; number < Streams && host.isRunning(); ++number) {
        std::thread([&, number] {
            Connection connection = Connection::to(ip, host.callers(), std::chrono::seconds(1));
            connection.setReadTimeout(std::chrono::seconds(15));
            const std::string fields = "X-Token-Count: 600,100\r\nX-Deadline-Ms: 12000\r\nContent-Length: 2\r\n";
            const bool sent = connection.isOpen()
                && connection.write(request("POST", "/r/x", "s" + std::to_string(number), fields) + "{}");
            const std::string header = sent ? connection.readMessage() : std::string();
            if (header.starts_with("HTTP/1.1 200")) {
                // The rest of a stream is read until its last chunk.
                std::string body;
                while (connection.readRest(body) && !body.ends_with("0\r\n\r\n")) { }
                ++(body.ends_with("0\r\n\r\n") ? complete : failed);
            } else {
                ++failed;
            }
            ++ended;
        }).detach();
        std::this_thread::sleep_for(StreamInterval);
        const double resident = host.residentMb();
        peak = std::max(peak, resident);
        if (number % 50 == 0) {
            record.line(std::to_string(number + 1) + " streams asked for, " + std::to_string(complete) + " complete, "
                        + std::to_string(failed) + " failed; resident " + std::to_string(resident) + " MB");
        }
        if (resident > MemoryMb) {
            record.line("resident " + std::to_string(resident) + " MB: the platform kills the process");
            host.kill();
        }
    }
    const bool isRunning = host.isRunning();
    record.line("peak " + std::to_string(peak) + " MB; process " + (isRunning ? "runs" : "is gone") + "; "
                + std::to_string(complete) + " streams complete, " + std::to_string(failed) + " failed so far");
    return isRunning ? 0 : 1;
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
