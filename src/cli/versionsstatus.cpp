#include "cli/commands.h"
#include "cli/hostcommand.h"

#include "protocol/fieldnames.h"
#include "protocol/timestamp.h"

#include <iostream>

namespace sapphirecove::cli {

namespace {

/** Prints the state of all declared version changes. */
class VersionsStatus final : public HostCommand
{
public:
    CLI::App *declare(CLI::App &root) override
    {
        CLI::App &group = commandGroup(root, "versions", "Version changes");
        CLI::App *command =
            group.add_subcommand("status", "Print whether each version change is in progress, done or undone");
        addStatusOptions(*command);
        return command;
    }

protected:
    state::Result<ExitCode> print(const HostConnection &host) override
    {
        BOOST_LEAF_AUTO(body, host.fetch(protocol::statusPath(protocol::StatusPart::Versions)));
        BOOST_LEAF_AUTO(report, protocol::decodeStatus(protocol::StatusPart::Versions, body, "host"));
        if (json()) {
            std::cout << body << '\n';
            return ExitCode::Success;
        }
        for (const coordination::VersionChangeStatus &change : report.changes) {
            std::cout << "change=" << change.id << " pool=" << change.pool << " from=" << change.from
                      << " to=" << change.to << " state=" << protocol::nameOf(change.state)
                      << " share_per_mille=" << change.sharePerMille
                      << " deadline=" << protocol::formatTimestamp(change.deadline) << " reason=\"" << change.reason
                      << "\"\n";
        }
        return ExitCode::Success;
    }
};

} // namespace

std::unique_ptr<Command> createVersionsStatus()
{
    return std::make_unique<VersionsStatus>();
}

} // namespace sapphirecove::cli
