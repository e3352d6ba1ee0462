#include "cli/commands.h"
#include "cli/hostcommand.h"

#include "protocol/timestamp.h"

#include <iostream>

namespace sapphirecove::cli {

namespace {

/** Prints the audit trail as one host read it from the log. */
class Audit final : public HostCommand
{
public:
    CLI::App *declare(CLI::App &root) override
    {
        CLI::App *command =
            root.add_subcommand("audit", "Print who changed what, when, on which base and with which outcome");
        addStatusOptions(*command);
        return command;
    }

protected:
    state::Result<ExitCode> print(const HostConnection &host) override
    {
        BOOST_LEAF_AUTO(body, host.fetch(protocol::statusPath(protocol::StatusPart::Audit)));
        BOOST_LEAF_AUTO(report, protocol::decodeStatus(protocol::StatusPart::Audit, body, "host"));
        if (json()) {
            std::cout << body << '\n';
            return ExitCode::Success;
        }
        for (const coordination::AuditEntry &entry : report.audit) {
            std::cout << "time=" << protocol::formatTimestamp(entry.time) << " who=" << entry.actor
                      << " what=" << entry.kind << " subject=" << entry.subject << " base=" << entry.base
                      << " outcome=" << entry.outcome << " detail=\"" << entry.detail << "\"\n";
        }
        return ExitCode::Success;
    }
};

} // namespace

std::unique_ptr<Command> createAudit()
{
    return std::make_unique<Audit>();
}

} // namespace sapphirecove::cli
