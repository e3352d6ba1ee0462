#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace sapphirecove::protocol {

/**
 * Returns the JSON pointer of each key that occurs again in the same object of @p text, which must be well-formed.
 * Boost.JSON's own parser keeps the last of equal keys without notice.
 */
std::vector<std::string> findDuplicateKeys(std::string_view text);

} // namespace sapphirecove::protocol
