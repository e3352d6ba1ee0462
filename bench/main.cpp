#include <CLI/CLI.hpp>

int main(int argc, char **argv)
{
    CLI::App app("Load generator and experiment runner.", "sapphirecove-load");
    app.set_version_flag("--version", SAPPHIRECOVE_VERSION);
    CLI11_PARSE(app, argc, argv);
    return 0;
}
