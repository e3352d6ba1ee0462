#include "cli/commands.h"
#include "cli/hostcommand.h"
#include "cli/httpconfigurationlog.h"
#include "cli/problemoutput.h"
#include "cli/publisher.h"
#include "cli/rollout.h"

#include "protocol/configurationfolder.h"
#include "protocol/configurationreader.h"
#include "protocol/fieldwriter.h"
#include "protocol/settingsreader.h"

#include <openssl/rand.h>

#include <array>
#include <iostream>

namespace sapphirecove::cli {

namespace {

constexpr state::Duration StatusPollInterval = std::chrono::milliseconds(200);
constexpr std::size_t PublishIdBytes = 16;
constexpr std::string_view HexDigits = "0123456789abcdef";

/** Returns a random identifier in hexadecimal digits, unique among all publications. */
state::Result<std::string> createPublishId()
{
    std::array<unsigned char, PublishIdBytes> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        return state::fail("publish.id", "", "no random bytes available");
    }
    std::string id;
    for (const unsigned char byte : bytes) {
        id += HexDigits[byte >> 4U];
        id += HexDigits[byte & 0x0FU];
    }
    return id;
}

std::string_view outcomeName(PublishOutcome outcome)
{
    switch (outcome) {
    case PublishOutcome::Accepted:
        return "accepted";
    case PublishOutcome::NotAccepted:
        return "not accepted";
    case PublishOutcome::NotSent:
        return "not sent";
    case PublishOutcome::Unknown:
        break;
    }
    return "outcome unknown";
}

/** Publishes a configuration folder and waits until it is in force on every live host. */
class ConfigPublish final : public Command
{
public:
    CLI::App *declare(CLI::App &root) override
    {
        CLI::App &group = commandGroup(root, "config", "Configuration of the fleet");
        CLI::App *command =
            group.add_subcommand("publish",
                                 "Check a configuration folder, publish it once through the log and wait "
                                 "until every live host has it");
        command->add_option("DIR", m_folder, "folder whose *.json files are merged in order of their names")
            ->required();
        command->add_option("--settings", m_settingsFile, "settings file that names the log and a host to ask")
            ->required();
        command->add_option("--operator", m_operatorName, "name for the audit trail")->required();
        command->add_option("--base", m_base, "generation that the change is based on; default: the one in force");
        command->add_option("--wait-s", m_waitSeconds, "longest wait in seconds, for the log and again for the hosts")
            ->check(CLI::Range(1, 3600))
            ->capture_default_str();
        command->add_flag("--json", m_json, "print the outcome as JSON");
        return command;
    }

    ExitCode run() override
    {
        const auto folder = protocol::readConfigurationFolder(m_folder);
        if (!folder.problems.empty()) {
            return printProblems(m_folder, folder.problems, m_json);
        }
        return state::handleFailure(
            [&] {
                return publish(folder.document);
            },
            printFailure);
    }

private:
    state::Result<ExitCode> publish(const std::string &document)
    {
        BOOST_LEAF_AUTO(settings, protocol::loadSettings(m_settingsFile));
        // The key is loaded before the append, so that a missing key file fails before anything is published.
        BOOST_LEAF_AUTO(host, HostConnection::create(settings));
        BOOST_LEAF_AUTO(publishId, createPublishId());
        // Printed before the append, so that the outcome of an interrupted publication can be looked up.
        std::cerr << "publish_id=" << publishId << '\n';
        HttpConfigurationLog log(settings.platform.log);
        const protocol::ConfigurationReader checker;
        const state::Duration wait = std::chrono::seconds(m_waitSeconds);
        const PublishRequest request{ publishId, m_operatorName, document, m_base, wait };
        const PublishResult result = Publisher(log, checker).publish(request);
        std::vector<state::HostId> behind;
        if (result.outcome == PublishOutcome::Accepted) {
            behind = awaitPropagation(log, host, result.generation);
        }
        print(publishId, result, behind);
        return exitCodeFor(result.outcome, behind);
    }

    /** Polls until all live hosts have @p generation or the wait is over. Returns the hosts that do not have it. */
    std::vector<state::HostId>
    awaitPropagation(ConfigurationLog &log, const HostConnection &host, state::Generation generation) const
    {
        const state::Time deadline = log.now() + std::chrono::seconds(m_waitSeconds);
        while (true) {
            auto behind = state::handleFailure(
                [&]() -> state::Result<std::vector<state::HostId>> {
                    BOOST_LEAF_AUTO(report, host.status(protocol::StatusPart::Whole));
                    return hostsBehind(report, generation);
                },
                [](const state::Failure &failure) {
                    return std::vector<state::HostId>{ failure.peer + " (" + failure.detail + ")" };
                });
            if (behind.empty() || log.now() >= deadline) {
                return behind;
            }
            log.pause(StatusPollInterval);
        }
    }

    static ExitCode exitCodeFor(PublishOutcome outcome, const std::vector<state::HostId> &behind)
    {
        if (outcome == PublishOutcome::Unknown) {
            return ExitCode::OutcomeUnknown;
        }
        if (outcome != PublishOutcome::Accepted) {
            return ExitCode::Failed;
        }
        return behind.empty() ? ExitCode::Success : ExitCode::NotYetInForce;
    }

    void
    print(const std::string &publishId, const PublishResult &result, const std::vector<state::HostId> &behind) const
    {
        if (m_json) {
            protocol::json::object document;
            protocol::FieldWriter writer(document);
            writer("publish_id", publishId);
            writer("outcome", std::string(outcomeName(result.outcome)));
            writer("base_generation", result.base);
            writer("generation", result.generation);
            writer("detail", result.detail);
            writer("hosts_behind", behind);
            std::cout << protocol::json::serialize(document) << '\n';
            return;
        }
        std::cout << outcomeName(result.outcome) << ": publish_id=" << publishId << " base=" << result.base;
        if (result.generation != 0) {
            std::cout << " generation=" << result.generation;
        }
        std::cout << (result.detail.empty() ? "" : " detail: " + result.detail) << '\n';
        for (const state::HostId &id : behind) {
            std::cout << "not yet in force on " << id << '\n';
        }
    }

    std::string m_folder;
    std::string m_settingsFile;
    std::string m_operatorName;
    std::optional<state::Generation> m_base;
    int m_waitSeconds = 10;
    bool m_json = false;
};

} // namespace

std::unique_ptr<Command> createConfigPublish()
{
    return std::make_unique<ConfigPublish>();
}

} // namespace sapphirecove::cli
