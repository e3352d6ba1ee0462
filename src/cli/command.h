#pragma once

#include "cli/exitcode.h"

#include <CLI/CLI.hpp>

namespace sapphirecove::cli {

/** A subcommand of the command line. */
class Command
{
public:
    virtual ~Command() = default;

    /** Adds the subcommand with its options and help texts to @p root and returns it. */
    virtual CLI::App *declare(CLI::App &root) = 0;

    /** Runs the command with the parsed options. */
    virtual ExitCode run() = 0;
};

} // namespace sapphirecove::cli
