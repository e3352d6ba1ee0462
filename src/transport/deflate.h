#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace sapphirecove::transport {

/** Compresses @p text to the deflate format (RFC 1951). */
std::string deflate(std::string_view text);

/** Decompresses output of deflate(); returns nullopt if it is malformed or its text exceeds @p maxBytes. */
std::optional<std::string> inflate(std::string_view bytes, std::size_t maxBytes);

} // namespace sapphirecove::transport
