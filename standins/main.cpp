#include <CLI/CLI.hpp>

int main(int argc, char **argv)
{
    CLI::App app("Stand-ins for the outside systems, for tests and demonstrations.", "sapphirecove-standins");
    app.set_version_flag("--version", SAPPHIRECOVE_VERSION);
    CLI11_PARSE(app, argc, argv);
    return 0;
}
