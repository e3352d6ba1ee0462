#pragma once

#include "tests/integration/tempfolder.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace sapphirecove::integration {

/** Child process of a test; the destructor kills and reaps it if it still runs. */
class Process
{
public:
    /** Starts @p arguments[0]; its standard output and error go to NAME.out and NAME.err in @p folder. */
    Process(const TempFolder &folder, std::string name, std::vector<std::string> arguments);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    const std::string &name() const
    {
        return m_name;
    }
    pid_t pid() const
    {
        return m_pid;
    }
    bool isRunning();
    void signal(int number);
    /** Sends SIGKILL and waits for the process to exit. */
    void kill();
    /** Waits for the process to exit; returns the exit code (128 + signal if killed), or nothing after @p timeout. */
    std::optional<int> waitExit(std::chrono::milliseconds timeout);

    /** Waits until the process has printed @p count "port=N" lines; throws if it exits before, or after a time-out. */
    std::vector<std::uint16_t> readPorts(std::size_t count);
    std::string output() const;
    std::string errors() const;

private:
    void reap(bool wait);

    const TempFolder &m_folder;
    std::string m_name;
    pid_t m_pid = -1;
    std::optional<int> m_exitCode;
};

/** Exit code and output of a command. */
struct CommandResult
{
    int exitCode = -1; /**< -1 if it did not exit before the time-out */
    std::string output;
    std::string errors;
};

/** Runs a command and waits until it exits; kills it after a time-out. */
CommandResult runCommand(const TempFolder &folder, const std::string &name, std::vector<std::string> arguments);

/** Returns the path of program @p name in the build folder. */
std::string programPath(const std::string &name);

/**
 * Returns @p count different free ports below the system's ephemeral port range, so that no outgoing connection of a
 * test takes one of them before its listener starts.
 */
std::vector<std::uint16_t> freePorts(std::size_t count);

} // namespace sapphirecove::integration
