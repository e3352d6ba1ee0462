#pragma once

#include "cli/exitcode.h"
#include "protocol/documentreport.h"

#include <string_view>
#include <vector>

namespace sapphirecove::cli {

/**
 * Prints the result of a check: with @p json one document {"problems": [{"file", "pointer", "expectation"}]} on
 * standard output, otherwise one line for each problem on standard error, or that @p subject has none.
 */
ExitCode printProblems(std::string_view subject, const std::vector<protocol::DocumentProblem> &problems, bool json);

} // namespace sapphirecove::cli
