#pragma once

#include "cli/command.h"
#include "cli/hostconnection.h"

#include <string>

namespace sapphirecove::cli {

/** Command that reads from the host of a settings file and prints what it reads. */
class HostCommand : public Command
{
public:
    /** Reads the settings, connects and prints; a Failure ends in printFailure(). */
    ExitCode run() override;

protected:
    /** Adds --settings. */
    void addSettingsOption(CLI::App &command);

    /** Adds --settings and --json. */
    void addStatusOptions(CLI::App &command);

    /** Prints the answer of @p host. */
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

/** Prints @p failure to standard error and returns ExitCode::Problems if it is one of the settings, else Failed. */
ExitCode printFailure(const state::Failure &failure);

} // namespace sapphirecove::cli
