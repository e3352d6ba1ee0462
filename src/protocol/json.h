#pragma once

#include "state/failure.h"

#include <boost/json.hpp>

#include <string_view>

namespace sapphirecove::protocol {

namespace json = boost::json;

/** Deepest nesting of arrays and objects that is accepted in any input. */
constexpr std::size_t MaxJsonDepth = 32;

/**
 * Parses @p text as one JSON value. Fails with @p step and @p peer if it is malformed, not valid UTF-8 or nested
 * deeper than MaxJsonDepth. Time and memory are linear in the length of @p text, which the caller must bound.
 */
state::Result<json::value> parseJson(std::string_view text, std::string_view step, std::string_view peer);

/** Returns @p text as a view of the standard library. */
inline std::string_view viewOf(const json::string &text)
{
    return { text.data(), text.size() };
}

/** Appends @p token to @p pointer as one more JSON pointer segment, escaped as RFC 6901 says. */
void appendPointer(std::string &pointer, std::string_view token);

} // namespace sapphirecove::protocol
