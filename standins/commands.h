#pragma once

#include <CLI/CLI.hpp>

/** Subcommands of the stand-ins. The callback of each one runs its stand-in until SIGTERM or SIGINT. */
namespace sapphirecove::standins {

void addEngineCommand(CLI::App &app);
void addServiceCommand(CLI::App &app);
void addLogCommand(CLI::App &app);
void addHostsCommand(CLI::App &app);
void addWeightsCommand(CLI::App &app);
void addProxyCommand(CLI::App &app);

/** Adds the subcommands of all kinds. */
inline void addCommands(CLI::App &app)
{
    addEngineCommand(app);
    addServiceCommand(app);
    addLogCommand(app);
    addHostsCommand(app);
    addWeightsCommand(app);
    addProxyCommand(app);
}

} // namespace sapphirecove::standins
