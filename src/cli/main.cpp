#include <CLI/CLI.hpp>

int main(int argc, char **argv)
{
    CLI::App app("Request scheduler for language-model engines and plain services of unequal speed.", "sapphirecove");
    app.set_version_flag("--version", SAPPHIRECOVE_VERSION);
    CLI11_PARSE(app, argc, argv);
    return 0;
}
