#include "cli/commands.h"
#include "state/buildid.h"

#include <exception>
#include <iostream>
#include <string>
#include <utility>

namespace {

using sapphirecove::cli::ExitCode;

/** Returns the version, and what this program was built from. */
std::string versionText()
{
    return SAPPHIRECOVE_VERSION " (commit " + std::string(sapphirecove::state::buildCommit()) + ", sources "
        + std::string(sapphirecove::state::buildSources()) + ')';
}

/** Prints the help text, the version or the usage error, and returns the matching exit code. */
ExitCode reportParseError(const CLI::App &app, const CLI::ParseError &error)
{
    const int code = app.exit(error);
    return code == 0 ? ExitCode::Success : ExitCode::Usage;
}

ExitCode runProgram(int argc, char **argv)
{
    CLI::App app("Request scheduler for language-model engines and plain services of unequal speed.", "sapphirecove");
    app.set_version_flag("--version", versionText());
    app.require_subcommand(1);
    app.footer("Exit codes: 0 success; 1 failed or not accepted; 2 wrong usage; 3 problems found in settings or "
               "configuration;\n4 outcome unknown; 5 accepted but not yet in force on every live host.");
    const auto commands = sapphirecove::cli::createCommands();
    std::vector<CLI::App *> subcommands;
    subcommands.reserve(commands.size());
    for (const auto &command : commands) {
        subcommands.push_back(command->declare(app));
    }
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return reportParseError(app, error);
    }
    for (std::size_t i = 0; i < commands.size(); ++i) {
        if (subcommands[i]->parsed()) {
            return commands[i]->run();
        }
    }
    return ExitCode::Usage;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return static_cast<int>(runProgram(argc, argv));
    } catch (const std::exception &error) {
        std::cerr << "sapphirecove: " << error.what() << '\n';
        return static_cast<int>(ExitCode::Failed);
    }
}
