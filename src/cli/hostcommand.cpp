#include "cli/hostcommand.h"

#include "protocol/settingsreader.h"

#include <iostream>

namespace sapphirecove::cli {

ExitCode HostCommand::run()
{
    return state::handleFailure(
        [&] {
            return connectAndPrint();
        },
        printFailure);
}

void HostCommand::addSettingsOption(CLI::App &command)
{
    command.add_option("--settings", m_settingsFile, "settings file of the host to ask")->required();
}

void HostCommand::addStatusOptions(CLI::App &command)
{
    addSettingsOption(command);
    command.add_flag("--json", m_json, "print the answer as JSON");
}

state::Result<ExitCode> HostCommand::connectAndPrint()
{
    BOOST_LEAF_AUTO(settings, protocol::loadSettings(m_settingsFile));
    BOOST_LEAF_AUTO(host, HostConnection::create(settings));
    return print(host);
}

ExitCode printFailure(const state::Failure &failure)
{
    std::cerr << "sapphirecove: " << state::describe(failure) << '\n';
    return failure.step == protocol::SettingsStep ? ExitCode::Problems : ExitCode::Failed;
}

} // namespace sapphirecove::cli
