#include "protocol/readcontext.h"

#include "protocol/json.h"

namespace sapphirecove::protocol {

void ReadContext::reject(std::string_view expectation)
{
    if (failed()) {
        return;
    }
    for (const auto &segment : m_path) {
        if (const auto *index = std::get_if<std::size_t>(&segment)) {
            appendPointer(m_detail, std::to_string(*index));
        } else {
            appendPointer(m_detail, std::get<std::string_view>(segment));
        }
    }
    if (m_detail.empty()) {
        m_detail = "document";
    }
    m_detail += ": expected ";
    m_detail += expectation;
}

} // namespace sapphirecove::protocol
