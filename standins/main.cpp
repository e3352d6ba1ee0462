#include "standins/commands.h"

#include <exception>
#include <iostream>

int main(int argc, char **argv)
{
    CLI::App app("Stand-ins for the outside systems, for tests and demonstrations.", "sapphirecove-standins");
    app.set_version_flag("--version", SAPPHIRECOVE_VERSION);
    app.require_subcommand(1);
    sapphirecove::standins::addCommands(app);
    try {
        CLI11_PARSE(app, argc, argv);
    } catch (const std::exception &error) {
        std::cerr << "error: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
