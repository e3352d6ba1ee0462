#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace review {

/** Writes what a case sends, gets and sees to record.txt, with the seconds since the start, and to standard output. */
class Record
{
public:
    explicit Record(const std::filesystem::path &file);

    void line(const std::string &text);

    /** Seconds since the start. */
    double seconds() const;

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    std::chrono::steady_clock::time_point m_started = std::chrono::steady_clock::now();
};

/** Connection with blocking reads and writes; closed by the destructor. */
class Connection
{
public:
    explicit Connection(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    ~Connection();
    Connection(Connection &&other) noexcept
        : m_descriptor(std::exchange(other.m_descriptor, -1))
        , m_unread(std::move(other.m_unread))
    {
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;
    Connection &operator=(Connection &&) = delete;

    /**
     * Connects to @p ip and @p port; isOpen() returns false if that takes longer than @p timeout. A @p receiveBuffer of
     * 0 bytes leaves its size to the system.
     */
    static Connection
    to(const std::string &ip, std::uint16_t port, std::chrono::milliseconds timeout, int receiveBuffer = 0);

    bool isOpen() const
    {
        return m_descriptor >= 0;
    }

    void setReadTimeout(std::chrono::milliseconds timeout) const;

    /** Returns whether all of @p bytes were written. */
    bool write(const std::string &bytes) const;

    /** Returns the header of the next message and reads its body, if it has a length; empty after an error. */
    std::string readMessage(std::string *body = nullptr);

    /** Appends the bytes that have arrived to @p bytes; returns false at the end of the connection. */
    bool readRest(std::string &bytes);

    /** Appends at most @p most bytes to @p bytes; returns false at the end of the connection. */
    bool readSome(std::string &bytes, std::size_t most);

private:
    bool readMore();

    int m_descriptor;
    std::string m_unread;
};

/** Returns the value of the field @p name in @p header; empty if there is none. */
std::string fieldOf(const std::string &header, const std::string &name);

/** Accepts connections on a free port of a loopback address; each one is served by a thread of its own. */
class Listener
{
public:
    Listener(const std::string &ip, std::function<void(Connection &)> serve);

    std::uint16_t port() const
    {
        return m_port;
    }

private:
    std::uint16_t m_port = 0;
};

/** The platform's metadata store: keyed topics with one partition, of which it keeps all records. */
class Store
{
public:
    explicit Store(const std::string &ip);

    /** Writes a record, as the operator and the workers do. */
    void put(const std::string &topic, const std::string &key, const std::string &value);

    std::uint16_t port() const
    {
        return m_listener.port();
    }

private:
    using Records = std::vector<std::pair<std::string, std::string>>;

    void serve(Connection &connection);
    std::string newest(const Records &records) const;
    std::string since(const Records &records, std::size_t from) const;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Records> m_topics;
    Listener m_listener;
};

/** What the settings of an entry host state. */
struct HostOptions
{
    int memoryMb = 260;
    int maxFds = 4100;
    std::uint16_t store = 0;
    std::string storeIp; /**< empty for the address of the host */
    std::string name = "front-a-1";
    bool firstStart = true; /**< of the whole system */
};

/** Process of `sapphirecove entry`, started with the command of the deploy file on an address of its own. */
class Host
{
public:
    Host(const std::string &ip, const HostOptions &options);
    ~Host();
    Host(const Host &) = delete;
    Host &operator=(const Host &) = delete;

    /** Waits until the host says that it is ready. */
    bool waitReady() const;

    /** Returns whether the process has neither ended nor been killed. */
    bool isRunning();

    /** Resident memory in MB; 0 if the process has ended. */
    double residentMb() const;

    /** Processor time that the process has used, in seconds; 0 if it has ended. */
    double processorSeconds() const;

    std::size_t openDescriptors() const;

    /** Ends the process as the platform ends one that exceeds its memory. */
    void kill();

    std::uint16_t callers() const
    {
        return m_callers;
    }

    std::uint16_t readiness() const
    {
        return m_readiness;
    }

private:
    std::string m_ip;
    std::uint16_t m_callers;
    std::uint16_t m_readiness;
    std::filesystem::path m_folder;
    pid_t m_process = -1;
    bool m_ended = false;
};

/** Returns a loopback address that another run is unlikely to use. */
std::string loopbackAddress();

/** Returns a request with a key, of the caller attempt @p id; @p fields are lines of the header. */
std::string
request(const std::string &method, const std::string &path, const std::string &id, const std::string &fields);

/** Returns the operator's configuration with @p routes and @p services, each a JSON list. */
std::string configuration(const std::string &routes, const std::string &services);

/** Returns the entry of a ready worker. */
std::string
workerEntry(const std::string &service, const std::string &ip, std::uint16_t port, int slots, int sequence = 1);

/** Returns whether the environment asks for the run without the disruption. */
bool withoutTrouble();

} // namespace review
