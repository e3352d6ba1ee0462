#pragma once

#include "state/failure.h"

#include <string>
#include <string_view>

namespace sapphirecove::protocol {

/** Returns the SHA-256 of @p key as 64 lower-case hexadecimal digits; fails only if OpenSSL does. */
state::Result<std::string> hashKey(std::string_view key);

/** Compares in a time that depends on the lengths only, so that response times do not tell how much of a key matched.
 */
bool equalInConstantTime(std::string_view left, std::string_view right);

/** Returns whether @p key can stand in an Idempotency-Key header: 1 to 255 visible ASCII characters. */
bool isValidIdempotencyKey(std::string_view key);

} // namespace sapphirecove::protocol
