#pragma once

#include "cli/command.h"
#include "transport/host.h"

#include <memory>
#include <vector>

namespace sapphirecove::cli {

/**
 * Returns all commands in the order of the help text. To add a command, implement Command in a file of its own, declare
 * its factory function here and add it to the list in register.cpp.
 */
std::vector<std::unique_ptr<Command>> createCommands();

/** @p factory makes the decisions of the host; tests pass another one than Coordinator::create. */
std::unique_ptr<Command> createServe(transport::CoordinatorFactory factory);
std::unique_ptr<Command> createEntry();
std::unique_ptr<Command> createSettingsCheck();
std::unique_ptr<Command> createConfigCheck();
std::unique_ptr<Command> createConfigPublish();
std::unique_ptr<Command> createConfigStatus();
std::unique_ptr<Command> createVersionsStatus();
std::unique_ptr<Command> createAudit();
std::unique_ptr<Command> createMetrics();
std::unique_ptr<Command> createPassthrough();

/** Returns the command group @p name below @p root, for example "config"; creates it if it does not exist. */
CLI::App &commandGroup(CLI::App &root, const std::string &name, const std::string &description);

} // namespace sapphirecove::cli
