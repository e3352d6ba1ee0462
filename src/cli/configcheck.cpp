#include "cli/commands.h"
#include "cli/problemoutput.h"

#include "protocol/configurationfolder.h"

namespace sapphirecove::cli {

namespace {

/** Checks a configuration folder without any connection. */
class ConfigCheck final : public Command
{
public:
    CLI::App *declare(CLI::App &root) override
    {
        CLI::App &group = commandGroup(root, "config", "Configuration of the fleet");
        CLI::App *command = group.add_subcommand("check", "Check a configuration folder without publishing it");
        command->add_option("DIR", m_folder, "folder whose *.json files are merged in order of their names")
            ->required();
        command->add_flag("--json", m_json, "print the problems as JSON");
        return command;
    }

    ExitCode run() override
    {
        return printProblems(m_folder, protocol::readConfigurationFolder(m_folder).problems, m_json);
    }

private:
    std::string m_folder;
    bool m_json = false;
};

} // namespace

std::unique_ptr<Command> createConfigCheck()
{
    return std::make_unique<ConfigCheck>();
}

} // namespace sapphirecove::cli
