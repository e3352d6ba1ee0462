#include "cli/commands.h"
#include "cli/hostcommand.h"

#include <iostream>

namespace sapphirecove::cli {

namespace {

/** Prints the metrics of one host in their text form. */
class Metrics final : public HostCommand
{
public:
    CLI::App *declare(CLI::App &root) override
    {
        CLI::App *command = root.add_subcommand("metrics", "Print the metrics of a host");
        addSettingsOption(*command);
        return command;
    }

protected:
    state::Result<ExitCode> print(const HostConnection &host) override
    {
        BOOST_LEAF_AUTO(body, host.fetch("/metrics"));
        std::cout << body;
        return ExitCode::Success;
    }
};

} // namespace

std::unique_ptr<Command> createMetrics()
{
    return std::make_unique<Metrics>();
}

} // namespace sapphirecove::cli
