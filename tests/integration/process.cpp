#include "tests/integration/process.h"

#include "tests/integration/waitfor.h"

#include <cerrno>
#include <csignal>
#include <cstring>
#include <random>
#include <set>
#include <stdexcept>
#include <thread>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ; // NOLINT(readability-redundant-declaration)

namespace sapphirecove::integration {

namespace {

constexpr int SignalExitBase = 128;
constexpr auto CommandTimeout = std::chrono::seconds(60);
constexpr int OutputFlags = O_WRONLY | O_CREAT | O_APPEND;
constexpr int FirstPort = 23000;
constexpr int LastPort = 32000;

bool isFree(std::uint16_t port)
{
    const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool bound = bind(handle, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
    close(handle);
    return bound;
}

} // namespace

Process::Process(const TempFolder &folder, std::string name, std::vector<std::string> arguments)
    : m_folder(folder)
    , m_name(std::move(name))
{
    std::vector<char *> pointers;
    pointers.reserve(arguments.size() + 1);
    for (auto &argument : arguments) {
        pointers.push_back(argument.data());
    }
    pointers.push_back(nullptr);
    const auto outPath = (folder / (m_name + ".out")).string();
    const auto errPath = (folder / (m_name + ".err")).string();
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, outPath.c_str(), OutputFlags | O_TRUNC, 0600);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, errPath.c_str(), OutputFlags, 0600);
    // The sockets of the test, such as a listener whose port the process needs, must not live on in it.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const int result = posix_spawn(&m_pid, pointers[0], &actions, nullptr, pointers.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (result != 0) {
        throw std::runtime_error("cannot start " + arguments[0] + ": " + std::strerror(result));
    }
}

Process::~Process()
{
    kill();
}

void Process::reap(bool wait)
{
    if (m_exitCode) {
        return;
    }
    int status = 0;
    const pid_t ended = waitpid(m_pid, &status, wait ? 0 : WNOHANG);
    if (ended == m_pid) {
        m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : SignalExitBase + WTERMSIG(status);
    }
}

bool Process::isRunning()
{
    reap(false);
    return !m_exitCode;
}

void Process::signal(int number)
{
    if (isRunning()) {
        ::kill(m_pid, number);
    }
}

void Process::kill()
{
    signal(SIGKILL);
    reap(true);
}

std::optional<int> Process::waitExit(std::chrono::milliseconds timeout)
{
    waitFor(
        [this] {
            return !isRunning();
        },
        timeout);
    return m_exitCode;
}

std::vector<std::uint16_t> Process::readPorts(std::size_t count)
{
    std::vector<std::uint16_t> ports;
    const bool complete = waitFor([&] {
        ports.clear();
        std::istringstream lines(output());
        std::string line;
        while (std::getline(lines, line) && !lines.eof()) {
            if (line.starts_with("port=")) {
                ports.push_back(static_cast<std::uint16_t>(std::stoi(line.substr(5))));
            }
        }
        return ports.size() >= count || !isRunning();
    });
    if (!complete || ports.size() < count) {
        throw std::runtime_error(m_name + " did not start: " + errors());
    }
    return ports;
}

std::string Process::output() const
{
    return m_folder.read(m_name + ".out");
}

std::string Process::errors() const
{
    return m_folder.read(m_name + ".err");
}

CommandResult runCommand(const TempFolder &folder, const std::string &name, std::vector<std::string> arguments)
{
    Process process(folder, name, std::move(arguments));
    const auto exitCode = process.waitExit(CommandTimeout);
    return { exitCode.value_or(-1), process.output(), process.errors() };
}

std::string programPath(const std::string &name)
{
    return std::string(SAPPHIRECOVE_BIN) + "/" + name;
}

std::vector<std::uint16_t> freePorts(std::size_t count)
{
    // Randomly seeded, so that test runs started at the same time don't try the same ports in the same order.
    static std::mt19937 random(std::random_device{}());
    static std::set<std::uint16_t> used;
    std::uniform_int_distribution<int> distribution(FirstPort, LastPort);
    std::vector<std::uint16_t> ports;
    while (ports.size() < count) {
        const auto port = static_cast<std::uint16_t>(distribution(random));
        if (isFree(port) && used.insert(port).second) {
            ports.push_back(port);
        }
    }
    return ports;
}

} // namespace sapphirecove::integration
