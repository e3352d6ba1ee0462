#pragma once

#include "protocol/json.h"
#include "state/failure.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirecove::protocol {

/** One problem of a settings or configuration document. */
struct DocumentProblem
{
    std::string file;
    std::string pointer; /**< JSON pointer; empty for the whole document */
    std::string expectation; /**< description of a valid value */
};

/** Returns @p problem in one line: "file: pointer: expected ...". */
std::string describe(const DocumentProblem &problem);

/** Collects the problems of a document that may be merged from several files. */
class DocumentReport
{
public:
    /** @p file is reported for values that no setOrigin call covers. */
    explicit DocumentReport(std::string file);

    /** Declares that the value at @p pointer, with all below it, comes from @p file. */
    void setOrigin(const std::string &pointer, const std::string &file);

    /** Adds a problem at @p pointer; the file is the origin of the nearest enclosing value. */
    void add(std::string_view pointer, std::string_view expectation);

    /** Adds a problem of @p file itself. */
    void addToFile(std::string_view file, std::string_view pointer, std::string_view expectation);

    const std::vector<DocumentProblem> &problems() const
    {
        return m_problems;
    }

    /** Returns a Failure that lists every problem. */
    boost::leaf::error_id failure(std::string_view step) const;

private:
    const std::string &originOf(std::string_view pointer) const;

    std::string m_file;
    std::map<std::string, std::string, std::less<>> m_origins;
    std::vector<DocumentProblem> m_problems;
};

} // namespace sapphirecove::protocol
