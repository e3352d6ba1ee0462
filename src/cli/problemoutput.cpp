#include "cli/problemoutput.h"

#include "protocol/fieldwriter.h"

#include <iostream>

namespace sapphirecove::cli {

namespace {

void printJson(const std::vector<protocol::DocumentProblem> &problems)
{
    protocol::json::array array;
    for (const protocol::DocumentProblem &problem : problems) {
        protocol::json::object object;
        protocol::FieldWriter writer(object);
        writer("file", problem.file);
        writer("pointer", problem.pointer);
        writer("expectation", problem.expectation);
        array.push_back(std::move(object));
    }
    const protocol::json::object document{ { "problems", std::move(array) } };
    std::cout << protocol::json::serialize(document) << '\n';
}

} // namespace

ExitCode printProblems(std::string_view subject, const std::vector<protocol::DocumentProblem> &problems, bool json)
{
    if (json) {
        printJson(problems);
    } else if (problems.empty()) {
        std::cout << subject << ": no problems\n";
    } else {
        for (const protocol::DocumentProblem &problem : problems) {
            std::cerr << describe(problem) << '\n';
        }
    }
    return problems.empty() ? ExitCode::Success : ExitCode::Problems;
}

} // namespace sapphirecove::cli
