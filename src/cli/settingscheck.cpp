#include "cli/commands.h"
#include "cli/problemoutput.h"

#include "protocol/settingsreader.h"

namespace sapphirecove::cli {

namespace {

/** Checks a settings file and the key files that it names. */
class SettingsCheck final : public Command
{
public:
    CLI::App *declare(CLI::App &root) override
    {
        CLI::App &group = commandGroup(root, "settings", "Settings of one host");
        CLI::App *command = group.add_subcommand("check", "Check a settings file and the key files that it names");
        command->add_option("FILE", m_file, "settings file")->required();
        command->add_flag("--json", m_json, "print the problems as JSON");
        return command;
    }

    ExitCode run() override
    {
        protocol::DocumentReport report(m_file);
        const protocol::Settings settings = protocol::readSettings(m_file, report);
        checkKey(settings.keys.operatorsFile, "/keys/operators_file", report);
        checkKey(settings.keys.fleetFile, "/keys/fleet_file", report);
        return printProblems(m_file, report.problems(), m_json);
    }

private:
    static void checkKey(const std::filesystem::path &path, std::string_view pointer, protocol::DocumentReport &report)
    {
        if (path.empty()) {
            return;
        }
        const std::string problem = state::handleFailure(
            [&]() -> state::Result<std::string> {
                auto key = protocol::loadKey(path);
                if (!key) {
                    return key.error();
                }
                return std::string();
            },
            [](const state::Failure &) {
                return std::string("a file with one key of 16 to 4096 visible ASCII characters");
            });
        if (!problem.empty()) {
            report.add(pointer, problem);
        }
    }

    std::string m_file;
    bool m_json = false;
};

} // namespace

std::unique_ptr<Command> createSettingsCheck()
{
    return std::make_unique<SettingsCheck>();
}

} // namespace sapphirecove::cli
