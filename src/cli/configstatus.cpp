#include "cli/commands.h"
#include "cli/hostcommand.h"

#include <algorithm>
#include <iostream>

namespace sapphirecove::cli {

namespace {

using coordination::PublicationStatus;
using coordination::StatusReport;

/** Prints the configuration in force on a host, or the outcome of one publication. */
class ConfigStatus final : public HostCommand
{
public:
    CLI::App *declare(CLI::App &root) override
    {
        CLI::App &group = commandGroup(root, "config", "Configuration of the fleet");
        CLI::App *command = group.add_subcommand("status", "Print the configuration in force on a host");
        addStatusOptions(*command);
        command->add_option("--publish-id",
                            m_publishId,
                            "print the outcome of this publication; exit code 1 if it was not accepted, 4 if the host "
                            "does not know it");
        return command;
    }

protected:
    state::Result<ExitCode> print(const HostConnection &host) override
    {
        BOOST_LEAF_AUTO(body, host.fetch(protocol::statusPath(protocol::StatusPart::Configuration)));
        BOOST_LEAF_AUTO(report, protocol::decodeStatus(protocol::StatusPart::Configuration, body, "host"));
        if (json()) {
            std::cout << body << '\n';
        }
        return m_publishId.empty() ? printAll(report) : printPublication(report);
    }

private:
    ExitCode printAll(const StatusReport &report) const
    {
        if (!json()) {
            std::cout << "generation=" << report.generation << " publish_id=" << report.publishId << '\n';
            for (const PublicationStatus &publication : report.publications) {
                printLine(publication);
            }
        }
        return ExitCode::Success;
    }

    ExitCode printPublication(const StatusReport &report) const
    {
        const auto found = std::find_if(report.publications.begin(), report.publications.end(), [&](const auto &entry) {
            return entry.publishId == m_publishId;
        });
        if (found == report.publications.end()) {
            std::cerr << "publish_id=" << m_publishId << " outcome=unknown\n";
            return ExitCode::OutcomeUnknown;
        }
        if (!json()) {
            printLine(*found);
        }
        return found->accepted ? ExitCode::Success : ExitCode::Failed;
    }

    static void printLine(const PublicationStatus &publication)
    {
        std::cout << "publish_id=" << publication.publishId
                  << " outcome=" << (publication.accepted ? "accepted" : "not_accepted")
                  << " generation=" << publication.generation << " detail=\"" << publication.detail << "\"\n";
    }

    std::string m_publishId;
};

} // namespace

std::unique_ptr<Command> createConfigStatus()
{
    return std::make_unique<ConfigStatus>();
}

} // namespace sapphirecove::cli
