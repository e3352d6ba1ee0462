#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace sapphirecove::protocol {

/** Current position in a JSON document that is being read, and the first problem found. */
class ReadContext
{
public:
    /** Steps into the member @p name of an object; @p name must outlive the step. */
    void enter(std::string_view name)
    {
        m_path.emplace_back(name);
    }

    /** Steps into the element @p index of an array. */
    void enter(std::size_t index)
    {
        m_path.emplace_back(index);
    }

    /** Steps back out. */
    void leave()
    {
        m_path.pop_back();
    }

    /** Records that the current place does not meet @p expectation; later calls change nothing. */
    void reject(std::string_view expectation);

    /** Returns whether a problem was recorded. */
    bool failed() const
    {
        return !m_detail.empty();
    }

    /** Returns the problem as "JSON pointer: expectation"; empty if there is none. */
    const std::string &detail() const
    {
        return m_detail;
    }

private:
    std::vector<std::variant<std::string_view, std::size_t>> m_path;
    std::string m_detail;
};

} // namespace sapphirecove::protocol
