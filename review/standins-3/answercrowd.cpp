// Case 14: some workers of a service answer with a long head of short fields and a body that does not end.
#include "deployment.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdlib>
#include <functional>
#include <memory>
#include <thread>

using namespace review;

namespace {

/** Memory of the smallest machines of badgeworks-ops-grown and of the deployments of demands/. */
constexpr int MemoryMb = 160;

/** Workers of badgeworks-ops-grown, their slots, and the share of them in trouble. */
constexpr int Workers = 112;
constexpr int Slots = 6;
constexpr int WorkersInTrouble = 67;

/** Bytes of the fields in a head without meaning. */
constexpr std::size_t HeadBytes = 60000;

/** Interval of the streams that callers start, at two hosts in turn, and the longest time of the case. */
constexpr std::chrono::milliseconds StreamInterval{ 20 };
constexpr double MaxSeconds = 90;

/** Ends of a process that break the rule, at each of two hosts. */
constexpr int Ends = 3;

/** Delay before the platform starts a process again that was killed. */
constexpr std::chrono::milliseconds RestartDelay{ 500 };

/** A sound worker sends all events of a stream in two seconds. */
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

/** Streams of the callers of one host. */
struct Streams
{
    std::atomic<int> asked = 0;
    std::atomic<int> complete = 0;
    std::atomic<int> failed = 0;
};

/** Asks for a stream at @p port and reads it to its end. */
void readStream(const std::string &ip, std::uint16_t port, int number, Streams &streams)
{
    Connection connection = Connection::to(ip, port, std::chrono::seconds(1));
    connection.setReadTimeout(std::chrono::seconds(15));
    const std::string fields = "X-Token-Count: 600,100\r\nX-Deadline-Ms: 12000\r\nContent-Length: 2\r\n";
    const bool sent =
        connection.isOpen() && connection.write(request("POST", "/r/x", "s" + std::to_string(number), fields) + "{}");
    const std::string header = sent ? connection.readMessage() : std::string();
    constexpr std::string_view lastChunk = "0\r\n\r\n";
    std::string body;
    if (header.starts_with("HTTP/1.1 200")) {
        while (connection.readRest(body) && !body.ends_with(lastChunk)) { }
    }
    ++(body.ends_with(lastChunk) ? streams.complete : streams.failed);
}

int runCase(Record &record)
{
    const std::array<std::string, 2> ips{ loopbackAddress(), loopbackAddress() };
    Store &store = *new Store(ips[0]); // Used by threads until the end of this process.
    const Listener sound(ips[0], serveSound);
    const Listener inTrouble(ips[0], serveInTrouble);
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
                  workerEntry("s", ips[0], (isSound ? sound : inTrouble).port(), Slots));
    }
    std::array<HostOptions, 2> options;
    std::array<std::unique_ptr<Host>, 2> hosts;
    std::array<Streams, 2> &streams = *new std::array<Streams, 2>; // Used by threads as well.
    std::array<int, 2> ends{};
    std::array<double, 2> peaks{};
    std::array<double, 2> startedAt{};
    const auto start = [&](std::size_t i) {
        hosts[i] = std::make_unique<Host>(ips[i], options[i]);
        startedAt[i] = record.seconds();
        return hosts[i]->waitReady();
    };
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        options[i] = { MemoryMb, 4100, store.port(), ips[0], "front-a-" + std::to_string(i + 1), true };
        if (!start(i)) {
            record.line("a host did not get ready");
            return 2;
        }
    }
    const double length = withoutTrouble() ? MaxSeconds / 3 : MaxSeconds;
    for (int number = 0; record.seconds() < length && std::min(ends[0], ends[1]) < Ends; ++number) {
        const std::size_t i = static_cast<std::size_t>(number % 2);
        ++streams[i].asked;
        std::thread(readStream, ips[i], hosts[i]->callers(), number, std::ref(streams[i])).detach();
        std::this_thread::sleep_for(StreamInterval);
        const double resident = hosts[i]->residentMb();
        peaks[i] = std::max(peaks[i], resident);
        if (number % 100 < 2) {
            record.line(options[i].name + ": " + std::to_string(streams[i].asked) + " streams asked for, "
                        + std::to_string(streams[i].complete) + " complete, " + std::to_string(streams[i].failed)
                        + " failed; resident " + std::to_string(resident) + " MB");
        }
        if (resident > MemoryMb) {
            record.line(options[i].name + ": resident " + std::to_string(resident) + " MB after "
                        + std::to_string(record.seconds() - startedAt[i]) + " s, "
                        + std::to_string(hosts[i]->processorSeconds())
                        + " s of processor time: the platform kills the process and starts it again");
            hosts[i]->kill();
            ++ends[i];
            std::this_thread::sleep_for(RestartDelay);
            options[i].firstStart = false;
            if (!start(i)) {
                record.line(options[i].name + " did not get ready again");
                return 2;
            }
        }
    }
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        record.line(options[i].name + ": " + std::to_string(ends[i]) + " ends by memory over the limit; peak "
                    + std::to_string(peaks[i]) + " MB; " + std::to_string(streams[i].complete) + " streams complete, "
                    + std::to_string(streams[i].failed) + " failed of " + std::to_string(streams[i].asked));
    }
    return std::min(ends[0], ends[1]) >= Ends ? 1 : 0;
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
