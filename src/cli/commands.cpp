#include "cli/commands.h"

namespace sapphirecove::cli {

std::vector<std::unique_ptr<Command>> createCommands()
{
    std::vector<std::unique_ptr<Command>> commands;
    commands.push_back(createServe(coordination::Coordinator::create));
    commands.push_back(createEntry());
    commands.push_back(createSettingsCheck());
    commands.push_back(createConfigCheck());
    commands.push_back(createConfigPublish());
    commands.push_back(createConfigStatus());
    commands.push_back(createVersionsStatus());
    commands.push_back(createAudit());
    commands.push_back(createMetrics());
    commands.push_back(createPassthrough());
    return commands;
}

CLI::App &commandGroup(CLI::App &root, const std::string &name, const std::string &description)
{
    const auto existing = root.get_subcommands([&](const CLI::App *command) {
        return command->get_name() == name;
    });
    if (!existing.empty()) {
        return *existing.front();
    }
    CLI::App *group = root.add_subcommand(name, description);
    group->require_subcommand(1);
    return *group;
}

} // namespace sapphirecove::cli
