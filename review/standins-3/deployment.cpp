#include "deployment.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <random>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace review {

namespace {

constexpr const char *Program = "target/bin/sapphirecove";

/** Metrics port in the command of deploy/system.toml. */
constexpr const char *MetricsPort = "9464";

constexpr int Backlog = 4096;

constexpr std::chrono::seconds ReadyTimeout{ 20 };

/** Bounds of the deployments of SYSTEM.md with 6 and 7 machines. */
constexpr const char *Bounds =
    R"("seedLagS":3,"reuseAfterS":2,"contactMs":4000,"ackMs":5000,"catchUpS":4,"drainMs":2500,"graceS":8,)"
    R"("lossSlackMs":200,"configApplyMs":2500,"rollbackSlackMs":250,"outerBoundMs":6000,"revokeStrict":true,)"
    R"("revokeMs":5000,"retryBudgetRatio":0.2,"budgetWindowS":10,"retryBudgetSlack":52,"quotaWindowS":8,)"
    R"("quotaOverage":0.1,"quotaSlack":140000,"exposureShare":0.1,"exposureSlack":50,"rollbackMs":5000,)"
    R"("recoveryS":12,"passMs":250,"againS":10)";

sockaddr_in addressOf(const std::string &ip, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/** Returns a listening socket on a free port and sets @p port. */
int listenOn(const std::string &ip, std::uint16_t &port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = addressOf(ip, 0);
    socklen_t size = sizeof address;
    if (::bind(descriptor, reinterpret_cast<sockaddr *>(&address), size) != 0 || ::listen(descriptor, Backlog) != 0
        || ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size) != 0) {
        throw std::runtime_error("cannot listen on " + ip);
    }
    port = ntohs(address.sin_port);
    return descriptor;
}

std::uint16_t freePort(const std::string &ip)
{
    std::uint16_t port = 0;
    ::close(listenOn(ip, port));
    return port;
}

std::string bigEndian(std::uint64_t number, std::size_t bytes)
{
    std::string text(bytes, '\0');
    for (std::size_t i = bytes; i-- > 0; number >>= 8U) {
        text[i] = static_cast<char>(number & 255U);
    }
    return text;
}

std::string base64(const std::string &text)
{
    constexpr const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group = (group << 8U) | (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            result += i + j <= text.size() ? digits[(group >> (18 - 6 * j)) & 63U] : '=';
        }
    }
    return result;
}

std::string queryField(const std::string &header, const std::string &name)
{
    const std::size_t query = header.find('?');
    std::size_t at = header.find(name + '=', query);
    if (query == std::string::npos || at == std::string::npos) {
        return {};
    }
    at += name.size() + 1;
    return header.substr(at, header.find_first_of("& ", at) - at);
}

std::size_t numberField(const std::string &header, const std::string &name)
{
    return std::strtoul(queryField(header, name).c_str(), nullptr, 10);
}

} // namespace

Record::Record(const std::filesystem::path &file)
    : m_file(file)
{
}

double Record::seconds() const
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - m_started).count();
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    char time[32];
    std::snprintf(time, sizeof time, "%7.2f s  ", seconds());
    m_file << time << text << std::endl;
    std::cout << time << text << std::endl;
}

Connection::~Connection()
{
    if (m_descriptor >= 0) {
        ::close(m_descriptor);
    }
}

Connection
Connection::to(const std::string &ip, std::uint16_t port, std::chrono::milliseconds timeout, int receiveBuffer)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        return Connection(-1);
    }
    const timeval wait{ timeout.count() / 1000, timeout.count() % 1000 * 1000 };
    ::setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &wait, sizeof wait); // Also the timeout of connect().
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (receiveBuffer > 0) {
        ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    }
    const sockaddr_in address = addressOf(ip, port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(descriptor);
        return Connection(-1);
    }
    Connection connection(descriptor);
    connection.setReadTimeout(timeout);
    return connection;
}

void Connection::setReadTimeout(std::chrono::milliseconds timeout) const
{
    const timeval wait{ timeout.count() / 1000, timeout.count() % 1000 * 1000 };
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
}

bool Connection::write(const std::string &bytes) const
{
    std::size_t written = 0;
    while (written < bytes.size()) {
        const ssize_t size = ::send(m_descriptor, bytes.data() + written, bytes.size() - written, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        written += static_cast<std::size_t>(size);
    }
    return true;
}

bool Connection::readMore()
{
    char bytes[16384];
    const ssize_t size = ::recv(m_descriptor, bytes, sizeof bytes, 0);
    if (size <= 0) {
        return false;
    }
    m_unread.append(bytes, static_cast<std::size_t>(size));
    return true;
}

bool Connection::readRest(std::string &bytes)
{
    if (m_unread.empty() && !readMore()) {
        return false;
    }
    bytes += std::exchange(m_unread, {});
    return true;
}

bool Connection::readSome(std::string &bytes, std::size_t most)
{
    if (!m_unread.empty()) {
        return readRest(bytes);
    }
    const std::size_t before = bytes.size();
    bytes.resize(before + most);
    const ssize_t size = ::recv(m_descriptor, bytes.data() + before, most, 0);
    bytes.resize(before + static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
    return size > 0;
}

std::string Connection::readMessage(std::string *body)
{
    constexpr std::string_view end = "\r\n\r\n";
    std::size_t at = m_unread.find(end);
    while (at == std::string::npos) {
        if (!readMore()) {
            return {};
        }
        at = m_unread.find(end);
    }
    const std::string header = m_unread.substr(0, at + 2);
    m_unread.erase(0, at + end.size());
    const std::size_t length = std::strtoul(fieldOf(header, "Content-Length").c_str(), nullptr, 10);
    while (m_unread.size() < length) {
        if (!readMore()) {
            return {};
        }
    }
    if (body != nullptr) {
        *body = m_unread.substr(0, length);
    }
    m_unread.erase(0, length);
    return header;
}

std::string fieldOf(const std::string &header, const std::string &name)
{
    std::istringstream lines(header);
    std::string line;
    while (std::getline(lines, line)) {
        const std::size_t colon = line.find(':');
        if (colon == name.size() && ::strncasecmp(line.c_str(), name.c_str(), colon) == 0) {
            const std::size_t begin = line.find_first_not_of(' ', colon + 1);
            const std::size_t last = line.find_last_not_of("\r ");
            return begin == std::string::npos || last < begin ? std::string() : line.substr(begin, last - begin + 1);
        }
    }
    return {};
}

Listener::Listener(const std::string &ip, std::function<void(Connection &)> serve)
{
    const int descriptor = listenOn(ip, m_port);
    // The threads run until the process of the case ends.
    std::thread([descriptor, serve = std::move(serve)] {
        for (;;) {
            const int accepted = ::accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                std::this_thread::sleep_for(std::chrono::milliseconds(20));
                continue;
            }
            const int on = 1;
            ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([accepted, serve] {
                Connection connection(accepted);
                serve(connection);
            }).detach();
        }
    }).detach();
}

Store::Store(const std::string &ip)
    : m_listener(ip, [this](Connection &connection) {
        serve(connection);
    })
{
}

void Store::put(const std::string &topic, const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    m_topics[topic].emplace_back(key, value);
    m_changed.notify_all();
}

void Store::serve(Connection &connection)
{
    for (;;) {
        std::string body;
        const std::string header = connection.readMessage(&body);
        if (header.empty()) {
            return;
        }
        std::string answer;
        {
            std::unique_lock lock(m_mutex);
            Records &records = m_topics[queryField(header, "topic")];
            if (header.starts_with("GET /log-newest")) {
                answer = newest(records);
            } else if (header.starts_with("GET /log-read")) {
                const std::size_t from = numberField(header, "from");
                m_changed.wait_for(lock, std::chrono::milliseconds(numberField(header, "waitMs")), [&] {
                    return records.size() > from;
                });
                answer = since(records, from);
            } else if (body.size() > 5) {
                const auto keyBytes = static_cast<unsigned char>(body[4]);
                records.emplace_back(body.substr(5, keyBytes), body.substr(5 + keyBytes));
                m_changed.notify_all();
                answer = R"({"offset":)" + std::to_string(records.size() - 1) + R"(,"end":)"
                    + std::to_string(records.size()) + '}';
            }
        }
        if (!connection.write("HTTP/1.1 200 OK\r\nStore-Era: 1\r\nContent-Length: " + std::to_string(answer.size())
                              + "\r\n\r\n" + answer)) {
            return;
        }
    }
}

std::string Store::newest(const Records &records) const
{
    std::map<std::string, std::size_t> offsets;
    for (std::size_t offset = 0; offset < records.size(); ++offset) {
        offsets[records[offset].first] = offset;
    }
    std::string items;
    for (const auto &[key, offset] : offsets) {
        items += (items.empty() ? "" : ",") + std::string(R"({"key":")") + key + R"(","value":")"
            + base64(records[offset].second) + R"(","offset":)" + std::to_string(offset) + '}';
    }
    return R"({"items":[)" + items + R"(],"hasMore":false,"end":)" + std::to_string(records.size()) + '}';
}

std::string Store::since(const Records &records, std::size_t from) const
{
    std::string body = bigEndian(records.size(), 8) + bigEndian(0, 8);
    for (std::size_t offset = from; offset < records.size(); ++offset) {
        const auto &[key, value] = records[offset];
        body += bigEndian(1 + key.size() + value.size(), 4) + bigEndian(key.size(), 1) + key + value;
    }
    return body;
}

Host::Host(const std::string &ip, const HostOptions &options)
    : m_ip(ip)
    , m_callers(freePort(ip))
    , m_readiness(freePort(ip))
{
    std::string folder = (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
    if (::mkdtemp(folder.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    m_folder = folder;
    const std::uint16_t range = freePort(ip);
    const auto at = [&](std::uint16_t port) {
        return '"' + ip + ':' + std::to_string(port) + '"';
    };
    const std::string settings = m_folder / "node.json";
    std::ofstream(settings) << R"({"node":")" << options.name
                            << R"(","role":"entry","machineClass":"front","serves":["front"],"ip":")" << ip
                            << R"(","zone":"a","region":"r","zones":{"a":"r"},"listen":{"front":)" << at(m_callers)
                            << R"(,"ready":)" << at(m_readiness) << R"(},"portRange":[)" << range << ',' << range
                            << R"(],"seedAddrs":[],"bootstrap":)" << (options.firstStart ? "true" : "false")
                            << R"(,"inTolerance":false,)"
                            << R"("limits":{"cpuShare":0.25,"cpuCores":1,"memoryMb":)" << options.memoryMb
                            << R"(,"maxFds":)" << options.maxFds
                            << R"(,"linkMbps":1000.0,"diskMb":0},"dataDir":null,"discovery":"platform","entry":"vip",)"
                            << R"("heartbeatMs":1200,"bounds":{)" << Bounds << R"(},"platform":{"address":)" << '"'
                            << (options.storeIp.empty() ? ip : options.storeIp) << ':' << options.store << '"'
                            << R"(,"form":"log","writesPerS":400,"readsPerS":2000,"parts":12}})";
    const std::string output = m_folder / "output.log";
    const std::string variable = "SAPPHIRECOVE_CONFIG=" + settings;
    m_process = ::fork();
    if (m_process == 0) {
        // As the platform: the descriptors of the settings, and no variables of the caller but PATH.
        const rlimit descriptors{ static_cast<rlim_t>(options.maxFds), static_cast<rlim_t>(options.maxFds) };
        ::setrlimit(RLIMIT_NOFILE, &descriptors);
        if (std::freopen(output.c_str(), "w", stdout) == nullptr || ::dup2(1, 2) < 0) {
            ::_exit(127);
        }
        const std::string path = "PATH=" + std::string(std::getenv("PATH"));
        const char *environment[] = { path.c_str(), "LANG=C.UTF-8", variable.c_str(), nullptr };
        const char *arguments[] = { Program, "entry", "--metrics-port", MetricsPort, nullptr };
        ::execve(Program, const_cast<char **>(arguments), const_cast<char **>(environment));
        ::_exit(127);
    }
}

Host::~Host()
{
    if (isRunning()) {
        kill();
    }
    std::filesystem::remove_all(m_folder);
}

bool Host::waitReady() const
{
    const auto until = std::chrono::steady_clock::now() + ReadyTimeout;
    while (std::chrono::steady_clock::now() < until) {
        Connection connection = Connection::to(m_ip, m_readiness, std::chrono::seconds(1));
        if (connection.isOpen() && connection.write("GET /ready HTTP/1.1\r\nHost: " + m_ip + "\r\n\r\n")
            && connection.readMessage().starts_with("HTTP/1.1 200")) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return false;
}

bool Host::isRunning()
{
    m_ended = m_ended || ::waitpid(m_process, nullptr, WNOHANG) == m_process;
    return !m_ended;
}

void Host::kill()
{
    ::kill(m_process, SIGKILL);
    ::waitpid(m_process, nullptr, 0);
    m_ended = true;
}

double Host::residentMb() const
{
    std::ifstream status("/proc/" + std::to_string(m_process) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with("VmRSS:")) {
            return std::strtod(line.c_str() + 6, nullptr) / 1024;
        }
    }
    return 0;
}

double Host::processorSeconds() const
{
    std::ifstream file("/proc/" + std::to_string(m_process) + "/stat");
    std::string text;
    std::getline(file, text);
    // The user and the system time are the 12th and 13th field after the name of the program, in parentheses.
    std::istringstream fields(text.substr(std::min(text.size(), text.rfind(')') + 1)));
    std::string skipped;
    for (int field = 0; field < 12; ++field) {
        fields >> skipped;
    }
    double user = std::strtod(skipped.c_str(), nullptr);
    double system = 0;
    fields >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

std::size_t Host::openDescriptors() const
{
    std::error_code error;
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(m_process) + "/fd", error);
    return error ? 0 : static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

std::string loopbackAddress()
{
    std::random_device random;
    std::uniform_int_distribution<int> octet(2, 250);
    return "127." + std::to_string(octet(random)) + '.' + std::to_string(octet(random)) + '.'
        + std::to_string(octet(random));
}

std::string
request(const std::string &method, const std::string &path, const std::string &id, const std::string &fields)
{
    return method + ' ' + path + " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id + "\r\nX-Api-Key: key-1\r\n"
        + fields + "\r\n";
}

std::string configuration(const std::string &routes, const std::string &services)
{
    return R"({"version":1,"routes":)" + routes + R"(,"services":)" + services
        + R"(,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
        + R"("tenants":[{"name":"tenant-1","apiKeys":["key-1"]}]})";
}

std::string workerEntry(const std::string &service, const std::string &ip, std::uint16_t port, int slots, int sequence)
{
    return R"({"service":")" + service + R"(","address":")" + ip + ':' + std::to_string(port)
        + R"(","zone":"a","version":"v1","concurrency":)" + std::to_string(slots)
        + R"(,"state":"ready","coldLeftMs":0,"sequence":)" + std::to_string(sequence) + R"(,"born":1765000000000})";
}

bool withoutTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value != nullptr && std::string(value) == "0";
}

} // namespace review
