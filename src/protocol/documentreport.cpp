#include "protocol/documentreport.h"

namespace sapphirecove::protocol {

std::string describe(const DocumentProblem &problem)
{
    std::string text = problem.file + ": ";
    if (!problem.pointer.empty()) {
        text += problem.pointer + ": ";
    }
    return text + "expected " + problem.expectation;
}

DocumentReport::DocumentReport(std::string file)
    : m_file(std::move(file))
{
}

void DocumentReport::setOrigin(const std::string &pointer, const std::string &file)
{
    const std::string below = pointer + '/';
    auto entry = m_origins.lower_bound(below);
    while (entry != m_origins.end() && entry->first.starts_with(below)) {
        entry = m_origins.erase(entry);
    }
    m_origins[pointer] = file;
}

void DocumentReport::add(std::string_view pointer, std::string_view expectation)
{
    addToFile(originOf(pointer), pointer, expectation);
}

void DocumentReport::addToFile(std::string_view file, std::string_view pointer, std::string_view expectation)
{
    m_problems.push_back({ std::string(file), std::string(pointer), std::string(expectation) });
}

boost::leaf::error_id DocumentReport::failure(std::string_view step) const
{
    std::string detail;
    for (const DocumentProblem &problem : m_problems) {
        detail += (detail.empty() ? "" : "; ") + describe(problem);
    }
    return state::fail(step, m_file, detail);
}

const std::string &DocumentReport::originOf(std::string_view pointer) const
{
    while (true) {
        const auto entry = m_origins.find(pointer);
        if (entry != m_origins.end()) {
            return entry->second;
        }
        const std::size_t slash = pointer.rfind('/');
        if (slash == std::string_view::npos) {
            return m_file;
        }
        pointer = pointer.substr(0, slash);
    }
}

} // namespace sapphirecove::protocol
