#pragma once

#include <string>
#include <vector>

namespace sapphirecove::tests {

/** Status codes that no final response has: outside 100 to 599, or a change of protocol that nobody asked for. */
inline const std::vector<std::string> &invalidStatusCodes()
{
    static const std::vector<std::string> codes{ "000", "001", "042", "099", "600", "700", "999", "101", "20x", "-20" };
    return codes;
}

} // namespace sapphirecove::tests
