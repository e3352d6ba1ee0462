#pragma once

#include "cli/command.h"
#include "cli/hostconnection.h"

#include <string>

namespace sapphirecove::cli {

/** Base class of commands that query the host named by a settings file and print its response. */
class HostCommand : public Command
{
public:
    /** Reads the settings, connects and prints; failures are reported with printFailure(). */
    ExitCode run() override;

protected:
    /** Adds the option --settings to @p command. */
    void addSettingsOption(CLI::App &command);

    /** Adds the options --settings and --json to @p command. */
    void addStatusOptions(CLI::App &command);

    /** Queries @p host and prints the response. */
    virtual state::Result<ExitCode> print(const HostConnection &host) = 0;

    bool json() const
    {
        return m_json;
    }

private:
    state::Result<ExitCode> connectAndPrint();

    std::string m_settingsFile;
    bool m_json = false;
};

/** Prints @p failure to standard error. Returns ExitCode::Problems if it concerns the settings, otherwise Failed. */
ExitCode printFailure(const state::Failure &failure);

} // namespace sapphirecove::cli
