#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace sapphirecove::protocol {

/**
 * Returns the JSON pointer of each key that occurs again in the same object of @p text, which must be well-formed.
 * Boost.JSON's own parser silently keeps the last of several equal keys.
 */
std::vector<std::string> findDuplicateKeys(std::string_view text);

} // namespace sapphirecove::protocol
