#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace sapphirecove::protocol {

/** Returns the number of leading bytes of @p text that are well-formed UTF-8 (RFC 3629). */
std::size_t validUtf8Length(std::string_view text);

/** Returns whether all of @p text is well-formed UTF-8. */
bool isValidUtf8(std::string_view text);

/** Returns @p text with each byte that is not part of well-formed UTF-8 replaced by '?'. */
std::string toValidUtf8(std::string_view text);

} // namespace sapphirecove::protocol
