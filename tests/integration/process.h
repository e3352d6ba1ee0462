#pragma once

#include "tests/integration/tempfolder.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace sapphirecove::integration {

/** Process started by a test; it is killed and reaped at the latest by the destructor. */
class Process
{
public:
    /** Starts @p arguments[0]; its output goes to NAME.out and NAME.err in @p folder. */
    Process(const TempFolder &folder, std::string name, std::vector<std::string> arguments);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    const std::string &name() const
    {
        return m_name;
    }
    bool isRunning();
    void signal(int number);
    /** Kills the process and waits for its end. */
    void kill();
    /** Waits for the end; returns the exit code (128 + signal if killed), or nothing after @p deadline. */
    std::optional<int> waitExit(std::chrono::milliseconds timeout);

    /** Waits until the process has printed @p count "port=N" lines; throws after the deadline. */
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

/** Result of a command that ran to its end. */
struct CommandResult
{
    int exitCode = -1; /**< -1 if it did not end in time */
    std::string output;
    std::string errors;
};

/** Runs a command and waits for its end. */
CommandResult runCommand(const TempFolder &folder, const std::string &name, std::vector<std::string> arguments);

/** Returns the path of a built program. */
std::string programPath(const std::string &name);

/**
 * Returns @p count different free ports below the range that the system hands out for outgoing connections, so that
 * no connection of a test takes one of them before its listener starts.
 */
std::vector<std::uint16_t> freePorts(std::size_t count);

} // namespace sapphirecove::integration
