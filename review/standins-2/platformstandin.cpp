#include "platformstandin.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <stdexcept>
#include <strings.h>

namespace review {

namespace {

constexpr std::size_t ReceiveBytes = 65536;

/** Longest wait that the store grants a read. */
constexpr milliseconds MaxStoreWait{ 30000 };

std::string toBase64(std::string_view bytes)
{
    static constexpr char Digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        const std::size_t size = std::min<std::size_t>(3, bytes.size() - i);
        for (std::size_t j = 0; j < 3; ++j) {
            group = (group << 8U) | (j < size ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            text += j <= size ? Digits[(group >> (18U - 6U * j)) & 63U] : '=';
        }
    }
    return text;
}

std::string bigEndian(std::uint64_t number, int bytes)
{
    std::string text;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
        text += static_cast<char>((number >> static_cast<unsigned>(shift)) & 255U);
    }
    return text;
}

std::string response(int status, std::string_view type, std::string_view body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: " + std::string(type)
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

std::string queryValue(const std::string &target, const std::string &name)
{
    for (const char before : { '?', '&' }) {
        const std::size_t at = target.find(before + name + '=');
        if (at != std::string::npos) {
            const std::size_t begin = at + name.size() + 2;
            return target.substr(begin, target.find('&', begin) - begin);
        }
    }
    return {};
}

sockaddr_in endpointOf(const std::string &address, std::uint16_t port)
{
    sockaddr_in endpoint{};
    endpoint.sin_family = AF_INET;
    endpoint.sin_port = htons(port);
    ::inet_pton(AF_INET, address.c_str(), &endpoint.sin_addr);
    return endpoint;
}

sockaddr_in loopback(std::uint16_t port)
{
    return endpointOf(Loopback, port);
}

} // namespace

std::int64_t elapsedMs()
{
    static const Clock::time_point Start = Clock::now();
    return std::chrono::duration_cast<milliseconds>(Clock::now() - Start).count();
}

Record::Record(const std::string &path)
    : m_file(std::fopen(path.c_str(), "w"))
{
    if (m_file == nullptr) {
        throw std::runtime_error("cannot write " + path);
    }
}

Record::~Record()
{
    std::fclose(m_file);
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    std::fprintf(m_file, "%6lld ms  %s\n", static_cast<long long>(elapsedMs()), text.c_str());
    std::fflush(m_file);
}

Connection::Connection(int descriptor)
    : m_descriptor(descriptor)
{
    const int on = 1;
    ::setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

Connection::~Connection()
{
    ::close(m_descriptor);
}

bool Connection::write(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t size = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(size));
    }
    return true;
}

bool Connection::receive()
{
    char bytes[ReceiveBytes];
    const ssize_t size = ::recv(m_descriptor, bytes, sizeof bytes, 0);
    if (size <= 0) {
        return false;
    }
    m_buffer.append(bytes, static_cast<std::size_t>(size));
    return true;
}

bool Connection::readUntil(std::string_view end, std::string &text)
{
    std::size_t at = m_buffer.find(end);
    while (at == std::string::npos) {
        if (!receive()) {
            return false;
        }
        at = m_buffer.find(end);
    }
    text = m_buffer.substr(0, at + end.size());
    m_buffer.erase(0, at + end.size());
    return true;
}

bool Connection::readBytes(std::size_t size, std::string &text)
{
    while (m_buffer.size() < size) {
        if (!receive()) {
            return false;
        }
    }
    text = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
    return true;
}

void Connection::setTimeout(milliseconds timeout) const
{
    timeval time{};
    time.tv_sec = timeout.count() / 1000;
    time.tv_usec = (timeout.count() % 1000) * 1000;
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof time);
}

void Connection::shutdown() const
{
    ::shutdown(m_descriptor, SHUT_RDWR);
}

std::string Message::field(std::string_view name) const
{
    std::size_t begin = head.find("\r\n");
    while (begin != std::string::npos && begin + 2 < head.size()) {
        begin += 2;
        const std::size_t end = head.find("\r\n", begin);
        const std::size_t colon = head.find(':', begin);
        if (colon < end && colon - begin == name.size()
            && ::strncasecmp(head.data() + begin, name.data(), name.size()) == 0) {
            const std::size_t value = head.find_first_not_of(' ', colon + 1);
            return head.substr(value, end - value);
        }
        begin = end;
    }
    return {};
}

int Message::status() const
{
    return startLine.size() > 12 ? std::atoi(startLine.c_str() + 9) : 0;
}

bool readHead(Connection &connection, Message &message)
{
    if (!connection.readUntil("\r\n\r\n", message.head)) {
        return false;
    }
    message.startLine = message.head.substr(0, message.head.find("\r\n"));
    return true;
}

bool readMessage(Connection &connection, Message &message)
{
    message = {};
    if (!readHead(connection, message)) {
        return false;
    }
    const std::string length = message.field("Content-Length");
    if (message.field("Transfer-Encoding") == "chunked") {
        for (;;) {
            std::string line;
            std::string chunk;
            if (!connection.readUntil("\r\n", line)) {
                return true;
            }
            const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
            if (!connection.readBytes(size + 2, chunk)) {
                return true;
            }
            if (size == 0) {
                break;
            }
            message.body.append(chunk, 0, size);
        }
        message.complete = true;
    } else if (!length.empty()) {
        message.complete = connection.readBytes(std::strtoul(length.c_str(), nullptr, 10), message.body);
    } else if (message.status() == 0) {
        message.complete = true;
    } else {
        while (connection.receive()) { }
        message.body.swap(connection.buffer());
    }
    return true;
}

int connectTo(std::uint16_t port, const std::string &address)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in endpoint = endpointOf(address, port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&endpoint), sizeof endpoint) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

std::uint16_t freePort()
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof address;
    ::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size);
    ::close(descriptor);
    return ntohs(address.sin_port);
}

Server::Server(Handler handler)
    : m_handler(std::move(handler))
{
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof address;
    if (::bind(m_listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || ::listen(m_listener, SOMAXCONN) != 0) {
        throw std::runtime_error("cannot listen");
    }
    ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_acceptor = std::thread([this] {
        accept();
    });
}

Server::~Server()
{
    stop();
}

void Server::stop()
{
    if (m_stopping.exchange(true)) {
        return;
    }
    ::shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    ::close(m_listener);
    {
        const std::lock_guard lock(m_mutex);
        for (const Connection *connection : m_open) {
            connection->shutdown();
        }
    }
    for (auto &thread : m_threads) {
        thread.join();
    }
}

void Server::accept()
{
    while (!m_stopping) {
        const int descriptor = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            continue;
        }
        m_threads.emplace_back([this, descriptor] {
            Connection connection(descriptor);
            {
                const std::lock_guard lock(m_mutex);
                m_open.push_back(&connection);
            }
            if (!m_stopping) {
                m_handler(connection);
            }
            const std::lock_guard lock(m_mutex);
            m_open.remove(&connection);
        });
    }
}

Store::Store()
    : m_server([this](Connection &connection) {
        serve(connection);
    })
{
}

Store::~Store()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_server.stop();
}

void Store::put(const std::string &topic, const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    m_topics[topic].push_back({ key, value });
    m_changed.notify_all();
}

void Store::remove(const std::string &topic, const std::string &key)
{
    put(topic, key, {});
}

void Store::setDownTopic(const std::string &topic)
{
    const std::lock_guard lock(m_mutex);
    m_downTopic = topic;
}

void Store::serve(Connection &connection)
{
    Message request;
    while (readMessage(connection, request) && connection.write(respond(request))) { }
}

std::string Store::respond(const Message &request)
{
    const std::size_t begin = request.startLine.find(' ') + 1;
    const std::string target = request.startLine.substr(begin, request.startLine.rfind(' ') - begin);
    const std::string topic = queryValue(target, "topic");
    {
        const std::lock_guard lock(m_mutex);
        if (!m_downTopic.empty() && topic == m_downTopic) {
            return response(503, "application/json", "{}");
        }
    }
    if (target.starts_with("/log-newest")) {
        return newest(topic);
    }
    if (target.starts_with("/log-read")) {
        return read(topic,
                    std::strtoull(queryValue(target, "from").c_str(), nullptr, 10),
                    milliseconds(std::atoi(queryValue(target, "waitMs").c_str())));
    }
    return target.starts_with("/log-append") ? append(target, topic, request.body)
                                             : response(404, "application/json", "{}");
}

std::string Store::newest(const std::string &topic)
{
    const std::lock_guard lock(m_mutex);
    const auto &records = m_topics[topic];
    std::map<std::string, std::size_t> last;
    for (std::size_t offset = 0; offset < records.size(); ++offset) {
        last[records[offset].key] = offset;
    }
    std::string items;
    for (const auto &[key, offset] : last) {
        if (!records[offset].value.empty()) {
            items += (items.empty() ? "" : ",") + std::string(R"({"key":")") + key + R"(","value":")"
                + toBase64(records[offset].value) + R"(","offset":)" + std::to_string(offset) + '}';
        }
    }
    return response(200,
                    "application/json",
                    R"({"items":[)" + items + R"(],"hasMore":false,"end":)" + std::to_string(records.size()) + '}');
}

std::string Store::read(const std::string &topic, std::uint64_t from, milliseconds wait)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, std::min(wait, MaxStoreWait), [&] {
        return m_stopping || m_topics[topic].size() > from;
    });
    const auto &records = m_topics[topic];
    std::string body = bigEndian(records.size(), 8) + bigEndian(0, 8);
    for (std::size_t offset = from; offset < records.size(); ++offset) {
        const auto &[key, value] = records[offset];
        body += bigEndian(1 + key.size() + value.size(), 4) + static_cast<char>(key.size()) + key + value;
    }
    return response(200, "application/octet-stream", body);
}

std::string Store::append(const std::string &target, const std::string &topic, const std::string &body)
{
    const std::lock_guard lock(m_mutex);
    auto &records = m_topics[topic];
    const std::string at = queryValue(target, "at");
    if (!at.empty() && std::strtoull(at.c_str(), nullptr, 10) != records.size()) {
        return response(412, "application/json", R"({"end":)" + std::to_string(records.size()) + '}');
    }
    const std::size_t keyBytes = body.size() < 5 ? 0 : static_cast<unsigned char>(body[4]);
    records.push_back({ body.substr(5, keyBytes), body.substr(5 + keyBytes) });
    m_changed.notify_all();
    return response(200,
                    "application/json",
                    R"({"offset":)" + std::to_string(records.size() - 1) + R"(,"end":)" + std::to_string(records.size())
                        + '}');
}

HostProcess::HostProcess(std::vector<std::string> command,
                         std::string folder,
                         const HostOptions &options,
                         const HostPorts &ports,
                         const Store &store)
    : m_command(std::move(command))
    , m_folder(std::move(folder))
    , m_options(options)
    , m_storePort(store.port())
    , m_ports(ports)
{
}

HostProcess::~HostProcess()
{
    std::string how;
    if (m_process > 0 && !hasEnded(how)) {
        ::kill(m_process, SIGKILL);
        ::waitpid(m_process, nullptr, 0);
    }
}

void HostProcess::start(bool firstStart)
{
    const auto endpoint = [](const std::string &address, std::uint16_t port) {
        return '"' + address + ':' + std::to_string(port) + '"';
    };
    const std::string path = m_folder + '/' + m_options.name + ".json";
    std::ofstream(path)
        << R"({"node":")" << m_options.name << R"(","role":"entry","ip":")" << m_options.address << R"(","zone":")"
        << m_options.zone << R"(","region":"accra","zones":{"osu":"accra","tema":"accra"},"listen":{"front":)"
        << endpoint(m_options.address, m_ports.callers) << R"(,"ready":)" << endpoint(m_options.address, m_ports.ready)
        << R"(},"portRange":[)" << m_ports.peers << ',' << m_ports.peers << R"(],"bootstrap":)"
        << (firstStart ? "true" : "false") << R"(,"limits":{"cpuShare":0.25,"cpuCores":1,"memoryMb":)"
        << m_options.memoryMb
        << R"(,"maxFds":4100,"linkMbps":1000},"heartbeatMs":1200,"bounds":{"contactMs":4000,"drainMs":2500,)"
        << R"("graceS":8,"lossSlackMs":200,"configApplyMs":2500,"rollbackSlackMs":250,"revokeStrict":true,)"
        << R"("revokeMs":5000,"retryBudgetRatio":0.2,"budgetWindowS":10,"retryBudgetSlack":52,"quotaWindowS":8,)"
        << R"("quotaOverage":0.1,"quotaSlack":140000,"exposureShare":0.1,"exposureSlack":50,"rollbackMs":5000},)"
        << R"("platform":{"address":)" << endpoint(Loopback, m_storePort) << R"(,"form":"log"}})" << '\n';
    const std::string log = m_folder + '/' + m_options.name + ".log";
    std::vector<char *> arguments;
    for (auto &word : m_command) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    m_ended = false;
    m_process = ::fork();
    if (m_process == 0) {
        ::setenv("SAPPHIRECOVE_CONFIG", path.c_str(), 1);
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        ::execv(arguments.front(), arguments.data());
        ::_exit(127);
    }
}

void HostProcess::signal(int number) const
{
    ::kill(m_process, number);
}

void HostProcess::waitForEnd()
{
    if (!m_ended) {
        ::waitpid(m_process, &m_status, 0);
        m_ended = true;
    }
}

bool HostProcess::waitUntilReady(milliseconds timeout) const
{
    const auto until = Clock::now() + timeout;
    while (Clock::now() < until) {
        const int descriptor = connectTo(m_ports.ready, m_options.address);
        if (descriptor >= 0) {
            Connection connection(descriptor);
            connection.setTimeout(milliseconds(1000));
            Message answer;
            if (connection.write("GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                && readMessage(connection, answer) && answer.status() == 200) {
                return true;
            }
        }
        std::this_thread::sleep_for(milliseconds(10));
    }
    return false;
}

bool HostProcess::hasEnded(std::string &how)
{
    if (!m_ended && ::waitpid(m_process, &m_status, WNOHANG) == m_process) {
        m_ended = true;
    }
    if (m_ended) {
        how = WIFSIGNALED(m_status) ? "signal " + std::to_string(WTERMSIG(m_status))
                                    : "exit code " + std::to_string(WEXITSTATUS(m_status));
    }
    return m_ended;
}

long HostProcess::memoryKb(std::string_view field) const
{
    std::ifstream status("/proc/" + std::to_string(m_process) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with(field)) {
            return std::atol(line.c_str() + field.size() + 1);
        }
    }
    return 0;
}

bool withTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string_view(trouble) != "0";
}

} // namespace review
