#include "cli/commands.h"

#include "platform/codec.h"
#include "platform/settings.h"
#include "platform/store.h"
#include "protocol/documenttext.h"
#include "transport/entry/boottimeclock.h"
#include "transport/entry/entryhost.h"
#include "transport/log.h"

#include <iostream>
#include <memory>
#include <string>

namespace sapphirecove::cli {

namespace {

state::Result<protocol::EntrySettings> loadSettings(const std::string &path)
{
    protocol::DocumentReport report(path);
    const auto document = protocol::readDocumentFile(path, report);
    if (!document) {
        return report.failure("settings.read");
    }
    return platform::decodeSettings(*document, path);
}

/** Runs a host with the classes of src/coordination/entry, configured by the platform's settings file. */
class Entry final : public Command
{
public:
    CLI::App *declare(CLI::App &root) override
    {
        CLI::App *command = root.add_subcommand("entry", "Run an entry host on the platform");
        command->add_option("--settings", m_file, "settings file of the platform; the environment names it otherwise");
        command->add_option("--metrics-port", m_metricsPort, "TCP port that serves metrics; 0 for none");
        command->add_option("--log-level", m_logLevel, "lowest level of log lines: trace, debug, info, warn or error");
        command->add_flag("--check", m_checkOnly, "only check the settings file and print what is read from it");
        return command;
    }

    ExitCode run() override
    {
        const std::string path = m_file.empty() ? platform::settingsPath() : m_file;
        return state::handleFailure(
            [&]() -> state::Result<ExitCode> {
                BOOST_LEAF_AUTO(settings, loadSettings(path));
                settings.metricsPort = m_metricsPort;
                if (m_checkOnly) {
                    std::cout << "host=" << settings.hostId << " failure_domain=" << settings.failureDomain
                              << " callers=" << toString(settings.callers)
                              << " readiness=" << toString(settings.readiness) << " store=" << toString(settings.store)
                              << " peer_port=" << settings.peerPort << " metrics_port=" << settings.metricsPort << '\n';
                    return ExitCode::Success;
                }
                if (auto log = transport::initializeStandardOutputLog(m_logLevel); !log) {
                    return log.error();
                }
                BOOST_LEAF_AUTO(host, transport::entry::EntryHost::create(settings, m_codec, m_clock, createStore));
                host->setSettingsReader([path] {
                    return loadSettings(path);
                });
                host->run();
                return ExitCode::Success;
            },
            [](const state::Failure &failure) {
                std::cerr << "sapphirecove: " << describe(failure) << '\n';
                return ExitCode::Problems;
            });
    }

private:
    static std::unique_ptr<transport::entry::MetadataStore> createStore(const boost::asio::any_io_executor &executor,
                                                                        const protocol::Endpoint &endpoint)
    {
        return std::make_unique<platform::Store>(executor, endpoint);
    }

    std::string m_file;
    std::uint16_t m_metricsPort = 0;
    std::string m_logLevel = "info";
    bool m_checkOnly = false;
    platform::Codec m_codec;
    transport::entry::BootTimeClock m_clock;
};

} // namespace

std::unique_ptr<Command> createEntry()
{
    return std::make_unique<Entry>();
}

} // namespace sapphirecove::cli
