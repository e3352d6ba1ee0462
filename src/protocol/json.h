#pragma once

#include "state/failure.h"

#include <boost/json.hpp>

#include <string_view>

namespace sapphirecove::protocol {

namespace json = boost::json;

/** Deepest nesting of arrays and objects that is accepted in any input. */
constexpr std::size_t MaxJsonDepth = 32;

/**
 * Bytes of memory that parsing may use per byte of text, in addition to ParseMemoryBase. An array of one-digit numbers
 * would use 24 to 30, so that a few bodies of the permitted size could exhaust the memory of a host; chat messages of a
 * single letter use 5 to 8, long texts 1.
 */
constexpr std::size_t ParseMemoryPerByte = 10;

/** Bytes of memory that parsing may use regardless of the length of the text. */
constexpr std::size_t ParseMemoryBase = 65536;

/** Bytes that strings of a JSON text may hold. */
enum class StringBytes {
    Utf8,
    Any, /**< also such as other writers have left in the strings of an otherwise sound text */
};

/**
 * Parses @p text as one JSON value. Fails with @p step and @p peer if it is malformed, holds other bytes than
 * @p stringBytes allows, is nested deeper than MaxJsonDepth or takes too much memory. Time is linear in the length of
 * @p text, which the caller must bound.
 */
state::Result<json::value> parseJson(std::string_view text,
                                     std::string_view step,
                                     std::string_view peer,
                                     StringBytes stringBytes = StringBytes::Utf8);

/** Returns @p text as a std::string_view. */
inline std::string_view viewOf(const json::string &text)
{
    return { text.data(), text.size() };
}

/** Appends @p token to @p pointer as one more JSON pointer segment, escaped as RFC 6901 requires. */
void appendPointer(std::string &pointer, std::string_view token);

} // namespace sapphirecove::protocol
