#pragma once

#include "cli/exitcode.h"

#include <CLI/CLI.hpp>

namespace sapphirecove::cli {

/** One command of the program. */
class Command
{
public:
    virtual ~Command() = default;

    /** Adds the command with its options and help texts below @p root and returns it. */
    virtual CLI::App *declare(CLI::App &root) = 0;

    /** Runs the command with the options that were parsed. */
    virtual ExitCode run() = 0;
};

} // namespace sapphirecove::cli
