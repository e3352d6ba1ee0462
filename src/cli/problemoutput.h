#pragma once

#include "cli/exitcode.h"
#include "protocol/documentreport.h"

#include <string_view>
#include <vector>

namespace sapphirecove::cli {

/**
 * Prints the result of a check and returns its exit code. With @p json it prints the document
 * {"problems": [{"file", "pointer", "expectation"}]} to standard output. Otherwise it prints one line for each problem
 * to standard error, or to standard output that @p subject has no problems.
 */
ExitCode printProblems(std::string_view subject, const std::vector<protocol::DocumentProblem> &problems, bool json);

} // namespace sapphirecove::cli
