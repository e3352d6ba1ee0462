// Cases 8 and 10: one part of prompts crashes each target that begins to answer a request with it. Two hosts, targets
// of one service, sound callers, and a caller whose requests all have that part. Checks how many requests with the part
// still reach targets once it must be known. Variables of the environment: PROMPT_PARTS and CRASHING_PART set the
// number of parts but the last one and the place of the one that crashes targets; REQUESTS_AT_ONCE and INTERVAL_MS set
// how many requests with it come at the same moment, and how long after the ones before; FIRST_TOKEN_MS the time until
// a target answers or crashes.

#include "platformstandin.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <memory>
#include <optional>
#include <set>

using namespace review;

namespace {

/** Parts of each prompt but the last one, and the place of the one that crashes targets, from 1. */
constexpr int DefaultParts = 80;
constexpr int DefaultCrashingPart = 70;

constexpr int Targets = 8;
constexpr int Slots = 8;

/** Events of a stream and the time between them. */
constexpr int Events = 5;
constexpr milliseconds EventInterval{ 20 };

/** Time from a crash until the target is back, and until the store removes its old entry: three heartbeats. */
constexpr milliseconds DownTime{ 3000 };
constexpr milliseconds SilentEntryLifetime{ 3600 };

/** Interval of requests with the part and how many come at once; pause of the sound callers between two requests. */
constexpr int DefaultIntervalMs = 400;
constexpr int DefaultAtOnce = 1;
constexpr milliseconds SoundPause{ 50 };
constexpr int SoundCallers = 4;

/** The rule: at most so many requests with the part later than contactMs after the fifth crash. */
constexpr int CrashesUntilKnown = 5;
constexpr milliseconds Contact{ 4000 };
constexpr int AllowedAfterwards = 3;

constexpr milliseconds RunTime{ 40000 };
constexpr milliseconds Deadline{ 8000 };
constexpr milliseconds ReadyTimeout{ 15000 };

enum ExitCode { RuleHeld = 0, RuleBroken = 1, CouldNotRun = 2 };

/** Part that crashes targets, as it stands in the header. */
constexpr std::string_view CrashingPart = "bad0f00d:20";

/** Returns the number in a variable of the environment, or @p fallback if it is not set. */
int numberFromEnvironment(const char *name, int fallback)
{
    const char *text = std::getenv(name);
    return text == nullptr ? fallback : std::atoi(text);
}

/** What all targets have seen. */
struct Tally
{
    std::mutex mutex;
    int crashes = 0;
    std::optional<Clock::time_point> fifthCrash;
    int arrivedAfterwards = 0;
    int arrived = 0;
    int soundRuns = 0;
};

/** Target that crashes when it begins to answer a request with the crashing part, and returns as a new incarnation. */
class Target
{
public:
    Target(int number, Store &store, Tally &tally, Record &record)
        : m_number(number)
        , m_store(store)
        , m_tally(tally)
        , m_record(record)
        , m_port(freePort())
        , m_thread([this] {
            live();
        })
    {
    }

    ~Target()
    {
        m_stopping = true;
        end();
        m_thread.join();
        for (auto &removal : m_removals) {
            removal.join();
        }
    }

private:
    std::string id() const
    {
        return "i-" + std::to_string(m_number) + '-' + std::to_string(m_incarnation);
    }

    void live()
    {
        while (!m_stopping) {
            ++m_incarnation;
            m_crashed = false;
            listen();
            m_store.put("keyed.servers",
                        id(),
                        R"({"service":"llm","address":"127.0.0.1:)" + std::to_string(m_port)
                            + R"(","zone":"osu","version":"v1","concurrency":)" + std::to_string(Slots)
                            + R"(,"state":"ready","coldLeftMs":0,"stage":"both","sequence":1,"born":)"
                            + std::to_string(1790000000000 + elapsedMs()) + '}');
            acceptAll();
            if (!m_stopping) {
                std::this_thread::sleep_for(DownTime);
                m_removals.emplace_back([&store = m_store, old = id()] {
                    std::this_thread::sleep_for(SilentEntryLifetime - DownTime);
                    store.remove("keyed.servers", old);
                });
            }
        }
    }

    void listen()
    {
        const int on = 1;
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(m_port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        ::bind(listener, reinterpret_cast<const sockaddr *>(&address), sizeof address);
        ::listen(listener, SOMAXCONN);
        m_listener = listener;
    }

    void acceptAll()
    {
        std::vector<std::thread> threads;
        for (;;) {
            const int descriptor = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0) {
                break;
            }
            threads.emplace_back([this, descriptor] {
                Connection connection(descriptor);
                {
                    const std::lock_guard lock(m_mutex);
                    m_open.insert(&connection);
                }
                serve(connection);
                const std::lock_guard lock(m_mutex);
                m_open.erase(&connection);
            });
        }
        ::close(m_listener);
        {
            const std::lock_guard lock(m_mutex);
            for (const Connection *connection : m_open) {
                connection->shutdown();
            }
        }
        for (auto &thread : threads) {
            thread.join();
        }
    }

    /** Ends the listener, as the end of the process does; acceptAll() then ends the connections. */
    void end()
    {
        m_crashed = true;
        ::shutdown(m_listener, SHUT_RDWR);
    }

    /** Makes the close of @p connection a reset. */
    static void resetAtEnd(const Connection &connection)
    {
        const linger option{ 1, 0 };
        ::setsockopt(connection.descriptor(), SOL_SOCKET, SO_LINGER, &option, sizeof option);
    }

    void serve(Connection &connection)
    {
        Message request;
        while (!m_crashed && readMessage(connection, request)) {
            const std::string attempt = request.field("X-Attempt-Id");
            const bool crashes = request.field("X-Prompt-Prefix").find(CrashingPart) != std::string::npos;
            count(attempt, crashes);
            std::this_thread::sleep_for(m_firstToken);
            if (crashes && withTrouble()) {
                resetAtEnd(connection);
                end();
                return;
            }
            bool open = connection.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt
                                         + "\r\nX-Server-Seal: s\r\nContent-Type: text/event-stream\r\n"
                                           "Transfer-Encoding: chunked\r\n\r\n");
            for (int event = 1; event <= Events && open && !m_crashed; ++event) {
                std::this_thread::sleep_for(EventInterval);
                const std::string text = "id: " + std::to_string(event) + "\ndata: x\n\n";
                char size[16];
                std::snprintf(size, sizeof size, "%zx\r\n", text.size());
                open = connection.write(size + text + "\r\n");
            }
            if (m_crashed || !open) {
                resetAtEnd(connection);
                return;
            }
            connection.write("0\r\n\r\n");
        }
    }

    /** Counts a request that begins to run. */
    void count(const std::string &attempt, bool crashes)
    {
        const std::lock_guard lock(m_tally.mutex);
        if (!crashes) {
            ++m_tally.soundRuns;
            return;
        }
        const auto now = Clock::now();
        const bool mustBeKnown = m_tally.fifthCrash && now - *m_tally.fifthCrash > Contact;
        ++m_tally.arrived;
        m_tally.arrivedAfterwards += mustBeKnown ? 1 : 0;
        if (withTrouble() && ++m_tally.crashes == CrashesUntilKnown) {
            m_tally.fifthCrash = now;
        }
        m_record.line("run      " + attempt + " with the part, by " + id() + (withTrouble() ? ", which crashes" : "")
                      + (mustBeKnown ? "   <-- later than contactMs after the fifth crash" : ""));
    }

    int m_number;
    Store &m_store;
    Tally &m_tally;
    Record &m_record;
    std::uint16_t m_port;
    milliseconds m_firstToken{ numberFromEnvironment("FIRST_TOKEN_MS", 0) }; /**< from a request to its answer */
    std::atomic<int> m_incarnation = 0;
    std::atomic<bool> m_stopping = false;
    std::atomic<bool> m_crashed = false;
    std::atomic<int> m_listener = -1;
    std::mutex m_mutex;
    std::set<Connection *> m_open;
    std::vector<std::thread> m_removals; /**< that remove the entries of crashed incarnations */
    std::thread m_thread;
};

std::string configuration()
{
    return R"({"version":1,"routes":[{"name":"r-llm","host":"a.example","pathPrefix":"/llm/","kind":"streaming",)"
           R"("timeoutMs":8000,"targetLatencyMs":800,"priority":0,"service":"llm","maxAttempts":1,"public":false,)"
           R"("sticky":true,"resumable":false,"gapAimMs":300}],"services":[{"name":"llm","healthPath":"/health",)"
           R"("maxConns":360,"engine":{"concurrency":8}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
           R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
           R"("tenants":[{"name":"t","apiKeys":["k"],"ratePerS":0,"burst":0}]})";
}

/** Returns the parts of a prompt; the last one belongs to request @p number only. */
std::string promptParts(int count, bool withCrashingPart, int place, int number)
{
    std::string parts;
    for (int part = 1; part <= count; ++part) {
        char text[32];
        std::snprintf(text, sizeof text, "5c1e%04x:20,", part);
        parts += withCrashingPart && part == place ? std::string(CrashingPart) + ',' : std::string(text);
    }
    char last[32];
    std::snprintf(last, sizeof last, "e440%05x:50", number);
    return parts + last;
}

/** Sends one request and records its answer. */
int call(const HostProcess &host, const std::string &attempt, const std::string &parts, Record &record)
{
    const int descriptor = host.connectAsCaller();
    if (descriptor < 0) {
        return 0;
    }
    Connection connection(descriptor);
    connection.setTimeout(Deadline);
    connection.write("POST /llm/" + attempt + " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + attempt
                     + "\r\nX-Model: m\r\nX-Token-Count: 1650,25\r\nX-Prompt-Prefix: " + parts
                     + "\r\nX-Deadline-Ms: " + std::to_string(Deadline.count())
                     + "\r\nX-Api-Key: k\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    Message answer;
    readMessage(connection, answer);
    record.line("answered " + attempt + ' ' + std::to_string(answer.status()) + ' '
                + (answer.complete ? "complete" : "not complete"));
    return answer.complete ? answer.status() : 0;
}

int play(const std::string &recordPath, const std::string &folder, const std::vector<std::string> &command)
{
    const int parts = numberFromEnvironment("PROMPT_PARTS", DefaultParts);
    const int crashingPart = numberFromEnvironment("CRASHING_PART", DefaultCrashingPart);
    const int atOnce = numberFromEnvironment("REQUESTS_AT_ONCE", DefaultAtOnce);
    const milliseconds interval(numberFromEnvironment("INTERVAL_MS", DefaultIntervalMs));
    Record record(recordPath);
    Store store;
    store.put("keyed.op", "config", configuration());
    Tally tally;
    std::vector<std::unique_ptr<Target>> targets;
    for (int number = 1; number <= Targets; ++number) {
        targets.push_back(std::make_unique<Target>(number, store, tally, record));
    }
    const HostPorts ports;
    std::vector<std::unique_ptr<HostProcess>> hosts;
    for (int number = 1; number <= 2; ++number) {
        HostOptions options;
        options.name = "front-" + std::to_string(number);
        options.address = "127.0.0." + std::to_string(1 + number);
        hosts.push_back(std::make_unique<HostProcess>(command, folder, options, ports, store));
        hosts.back()->start(true);
    }
    for (const auto &host : hosts) {
        if (!host->waitUntilReady(ReadyTimeout)) {
            record.line("a host did not become ready");
            return CouldNotRun;
        }
    }
    const auto end = Clock::now() + RunTime;
    std::atomic<int> served = 0;
    std::vector<std::thread> callers;
    for (int caller = 0; caller < SoundCallers; ++caller) {
        callers.emplace_back([&, caller] {
            for (int i = 0; Clock::now() < end; ++i) {
                const std::string attempt = "s" + std::to_string(caller) + '-' + std::to_string(i);
                const std::string prompt = promptParts(parts, false, 0, caller * 65536 + i);
                served += call(*hosts[static_cast<std::size_t>(i % 2)], attempt, prompt, record) == 200 ? 1 : 0;
                std::this_thread::sleep_for(SoundPause);
            }
        });
    }
    for (int i = 0; Clock::now() < end; ++i) {
        callers.emplace_back([&, i] {
            const std::string attempt = "p" + std::to_string(i);
            record.line("sent     " + attempt + " with the part at place " + std::to_string(crashingPart));
            call(*hosts[static_cast<std::size_t>(i % 2)],
                 attempt,
                 promptParts(parts, true, crashingPart, 500000 + i),
                 record);
        });
        if ((i + 1) % atOnce == 0) {
            std::this_thread::sleep_for(interval);
        }
    }
    for (auto &caller : callers) {
        caller.join();
    }
    hosts.clear();
    targets.clear();
    record.line("requests with the part that reached targets: " + std::to_string(tally.arrived)
                + ", crashes: " + std::to_string(tally.crashes) + ", later than contactMs after the fifth: "
                + std::to_string(tally.arrivedAfterwards) + "; sound requests served: " + std::to_string(served));
    if (served == 0) {
        return CouldNotRun;
    }
    return tally.arrivedAfterwards > AllowedAfterwards ? RuleBroken : RuleHeld;
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
