// Case 12: callers that read the answers to their requests slowly for some seconds, and then the rest at once.
#include "deployment.h"

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <memory>
#include <thread>

using namespace review;

namespace {

constexpr int Callers = 8;

/** More than three lost answers break the rule. */
constexpr int AllowedLost = 3;

/** Bytes of an answer, and of the receive buffer of a caller; the system doubles the latter to its usual default. */
constexpr std::size_t AnswerBytes = 300000;
constexpr int ReceiveBufferBytes = 65536;

/** For eight seconds, a slow caller reads so many bytes four times a second. The deadline leaves time for the rest. */
constexpr std::size_t SlowReadBytes = 1000;
constexpr std::chrono::milliseconds SlowReadInterval{ 250 };
constexpr double SlowSeconds = 8;
constexpr std::size_t FastReadBytes = 65536;

/** Deadline of a request and timeout of its route. */
constexpr const char *DeadlineMs = "15000";

void serveWorker(Connection &connection, Record &record)
{
    for (std::string header = connection.readMessage(); !header.empty(); header = connection.readMessage()) {
        const std::string id = fieldOf(header, "X-Attempt-Id");
        const std::size_t size = id.starts_with("slow") ? AnswerBytes : 5;
        record.line("the worker runs " + id + " and answers 200 with " + std::to_string(size) + " bytes");
        connection.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Server-Seal: s\r\nContent-Length: "
                         + std::to_string(size) + "\r\n\r\n" + std::string(size, 'a'));
    }
}

/** Sends two requests on one connection, and reads the answer to the second one; returns whether it is whole. */
bool call(const std::string &ip, const Host &host, int number, Record &record)
{
    const std::string name = "slow" + std::to_string(number);
    Connection connection = Connection::to(ip, host.callers(), std::chrono::seconds(2), ReceiveBufferBytes);
    const std::string fields = std::string("X-Deadline-Ms: ") + DeadlineMs + "\r\nContent-Length: 2\r\n";
    const bool isKept = connection.isOpen()
        && connection.write(request("POST", "/r/x", "first" + std::to_string(number), fields) + "{}")
        && connection.readMessage().starts_with("HTTP/1.1 200");
    if (!isKept || !connection.write(request("POST", "/r/x", name, fields) + "{}")) {
        record.line(name + ": no kept connection");
        return false;
    }
    const double sent = record.seconds();
    connection.setReadTimeout(std::chrono::seconds(2));
    std::string bytes;
    bool isOpen = true;
    std::size_t whole = std::string::npos; // Known with the header.
    while (isOpen && bytes.size() < whole) {
        const bool isSlow = !withoutTrouble() && record.seconds() - sent < SlowSeconds;
        isOpen = connection.readSome(bytes, isSlow ? SlowReadBytes : FastReadBytes);
        const std::size_t end = bytes.find("\r\n\r\n");
        whole = end == std::string::npos ? whole : end + 4 + AnswerBytes;
        if (isSlow) {
            std::this_thread::sleep_for(SlowReadInterval);
        }
    }
    record.line(name + ": " + std::to_string(bytes.size()) + " bytes in " + std::to_string(record.seconds() - sent)
                + " s, " + (isOpen ? "the whole answer" : "then the connection ended"));
    return isOpen;
}

int runCase(Record &record)
{
    const std::string ip = loopbackAddress();
    Store &store = *new Store(ip); // Used by threads until the end of this process.
    const Listener worker(ip, [&record](Connection &connection) {
        serveWorker(connection, record);
    });
    store.put("keyed.op",
              "config",
              configuration(R"([{"name":"r","host":"a.example","pathPrefix":"/r/","kind":"non_idempotent",)"
                            R"("timeoutMs":15000,"targetLatencyMs":800,"priority":0,"service":"s","maxAttempts":1}])",
                            R"([{"name":"s","healthPath":"/health","maxConns":360}])"));
    store.put("keyed.servers", "i-1", workerEntry("s", ip, worker.port(), 12));
    Host host(ip, { 260, 4100, store.port() });
    if (!host.waitReady()) {
        record.line("the host did not get ready");
        return 2;
    }
    std::atomic<int> lost = 0;
    std::vector<std::thread> callers;
    for (int number = 1; number <= Callers; ++number) {
        callers.emplace_back([&, number] {
            lost += call(ip, host, number, record) ? 0 : 1;
        });
    }
    for (auto &caller : callers) {
        caller.join();
    }
    record.line(std::to_string(lost) + " of " + std::to_string(Callers) + " answers lost; the process "
                + (host.isRunning() ? "runs" : "is gone"));
    return lost > AllowedLost ? 1 : 0;
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
