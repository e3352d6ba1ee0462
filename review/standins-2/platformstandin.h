#pragma once

// Small stand-ins for the platform's metadata store and for targets, and the start of an entry host as a process of
// its own. All of them use loopback addresses. Each connection has a thread that works with blocking calls.

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/** Address of the stand-ins; each host has a loopback address of its own. */
constexpr const char *Loopback = "127.0.0.1";

/** Returns the milliseconds since the start of this program. */
std::int64_t elapsedMs();

/** Appends lines with the time to record.txt. Thread-safe. */
class Record
{
public:
    explicit Record(const std::string &path);
    ~Record();

    Record(const Record &) = delete;
    Record &operator=(const Record &) = delete;

    void line(const std::string &text);

private:
    std::mutex m_mutex;
    std::FILE *m_file;
};

/** TCP connection with blocking calls; closed by its destructor. */
class Connection
{
public:
    explicit Connection(int descriptor);
    ~Connection();

    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /** Sends all bytes; returns false if the connection has ended. */
    bool write(std::string_view bytes);

    /** Receives some bytes into the buffer; returns false at the end of the connection or after the timeout. */
    bool receive();

    /** Returns the bytes up to and including @p end, and removes them from the buffer; nothing at the end. */
    bool readUntil(std::string_view end, std::string &text);

    /** Returns the next @p size bytes; false if the connection ends before. */
    bool readBytes(std::size_t size, std::string &text);

    /** Sets the time after which a receive or send without progress fails. */
    void setTimeout(milliseconds timeout) const;

    /** Ends both directions, which ends blocking calls of other threads. */
    void shutdown() const;

    int descriptor() const
    {
        return m_descriptor;
    }

    std::string &buffer()
    {
        return m_buffer;
    }

private:
    int m_descriptor;
    std::string m_buffer;
};

/** Message in HTTP/1.1. */
struct Message
{
    std::string startLine;
    std::string head; /**< start line and fields, with the empty line */
    std::string body;
    bool complete = false;

    /** Returns the value of the first field @p name; empty if there is none. */
    std::string field(std::string_view name) const;

    /** Returns the status of a response; 0 if the message has none. */
    int status() const;
};

/** Reads the header of a message. */
bool readHead(Connection &connection, Message &message);

/** Reads a whole message: with a length, in chunks, or, for a response without either, up to the end. */
bool readMessage(Connection &connection, Message &message);

/** Connects to a port of a loopback address; returns -1 if that fails. */
int connectTo(std::uint16_t port, const std::string &address = Loopback);

/** Returns a port of the loopback address that is free now. */
std::uint16_t freePort();

/** Accepts connections at a free port and serves each one in a thread of its own. */
class Server
{
public:
    using Handler = std::function<void(Connection &)>;

    explicit Server(Handler handler);
    ~Server();

    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    std::uint16_t port() const
    {
        return m_port;
    }

    /** Ends all connections and the threads that serve them. The derived object must still exist. */
    void stop();

private:
    void accept();

    Handler m_handler;
    int m_listener = -1;
    std::uint16_t m_port = 0;
    std::atomic<bool> m_stopping = false;
    std::mutex m_mutex;
    std::list<Connection *> m_open;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

/** The platform's metadata store: topics with one partition of keyed records, as the users' protocol describes them. */
class Store
{
public:
    Store();
    ~Store();

    std::uint16_t port() const
    {
        return m_server.port();
    }

    /** Writes a record as the operator or a target does. */
    void put(const std::string &topic, const std::string &key, const std::string &value);

    /** Removes a key. */
    void remove(const std::string &topic, const std::string &key);

    /** Refuses the calls of @p topic with 503 from now on, as its partition is down; none of them if it is empty. */
    void setDownTopic(const std::string &topic);

private:
    struct KeyedRecord
    {
        std::string key;
        std::string value; /**< empty if the key is removed */
    };

    void serve(Connection &connection);
    std::string respond(const Message &request);
    std::string newest(const std::string &topic);
    std::string read(const std::string &topic, std::uint64_t from, milliseconds wait);
    std::string append(const std::string &target, const std::string &topic, const std::string &body);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopping = false;
    std::string m_downTopic;
    std::map<std::string, std::vector<KeyedRecord>> m_topics;
    Server m_server;
};

/** Ports of all hosts of a deployment, which are the same at each of their addresses. */
struct HostPorts
{
    std::uint16_t callers = freePort();
    std::uint16_t ready = freePort();
    std::uint16_t peers = freePort();
};

/** Settings of one entry host. */
struct HostOptions
{
    std::string name;
    std::string address = Loopback;
    std::string zone = "osu";
    double memoryMb = 260;
};

/** Entry host as a process of its own, with a folder for its settings and its log. */
class HostProcess
{
public:
    /** @p command is `run` of the deploy file, split at spaces; @p folder is that of the settings and the log. */
    HostProcess(std::vector<std::string> command,
                std::string folder,
                const HostOptions &options,
                const HostPorts &ports,
                const Store &store);
    ~HostProcess();

    HostProcess(const HostProcess &) = delete;
    HostProcess &operator=(const HostProcess &) = delete;

    void start(bool firstStart);
    void signal(int number) const;

    /** Waits until the host says that it is ready; returns false after @p timeout. */
    bool waitUntilReady(milliseconds timeout) const;

    /** Returns whether the process has ended, and how: a line for the record. */
    bool hasEnded(std::string &how);

    /** Returns a field of /proc/PID/status in kB, such as VmHWM; 0 if the process has ended. */
    long memoryKb(std::string_view field) const;

    /** Waits for the end of a process that was killed. */
    void waitForEnd();

    /** Connects as a caller; returns -1 if that fails. */
    int connectAsCaller() const
    {
        return connectTo(m_ports.callers, m_options.address);
    }

    const std::string &name() const
    {
        return m_options.name;
    }

private:
    std::vector<std::string> m_command;
    std::string m_folder;
    HostOptions m_options;
    std::uint16_t m_storePort;
    HostPorts m_ports;
    pid_t m_process = -1;
    bool m_ended = false;
    int m_status = 0;
};

/** Returns whether the disruption is played: TROUBLE=0 in the environment leaves it out. */
bool withTrouble();

} // namespace review
