#include "protocol/utf8.h"

#include <cstdint>

namespace sapphirecove::protocol {

namespace {

constexpr std::uint32_t HighestCodePoint = 0x10FFFF;
constexpr std::uint32_t FirstSurrogate = 0xD800;
constexpr std::uint32_t LastSurrogate = 0xDFFF;

/** Lead byte of a sequence: its length, its payload bits and the lowest code point that needs that length. */
struct LeadByte
{
    std::size_t length = 0;
    std::uint32_t payload = 0;
    std::uint32_t lowestCodePoint = 0;
};

LeadByte parseLeadByte(unsigned char byte)
{
    if (byte < 0x80) {
        return { 1, byte, 0 };
    }
    if ((byte & 0xE0U) == 0xC0) {
        return { 2, byte & 0x1FU, 0x80 };
    }
    if ((byte & 0xF0U) == 0xE0) {
        return { 3, byte & 0x0FU, 0x800 };
    }
    if ((byte & 0xF8U) == 0xF0) {
        return { 4, byte & 0x07U, 0x10000 };
    }
    return {};
}

/** Returns the length of the well-formed sequence at the start of @p text, 0 if there is none. */
std::size_t sequenceLength(std::string_view text)
{
    const LeadByte lead = parseLeadByte(static_cast<unsigned char>(text.front()));
    if (lead.length == 0 || lead.length > text.size()) {
        return 0;
    }
    std::uint32_t codePoint = lead.payload;
    for (const char c : text.substr(1, lead.length - 1)) {
        const auto byte = static_cast<unsigned char>(c);
        if ((byte & 0xC0U) != 0x80) {
            return 0;
        }
        codePoint = (codePoint << 6U) | (byte & 0x3FU);
    }
    const bool surrogate = codePoint >= FirstSurrogate && codePoint <= LastSurrogate;
    const bool valid = codePoint >= lead.lowestCodePoint && codePoint <= HighestCodePoint && !surrogate;
    return valid ? lead.length : 0;
}

} // namespace

std::size_t validUtf8Length(std::string_view text)
{
    std::size_t position = 0;
    while (position < text.size()) {
        const std::size_t length = sequenceLength(text.substr(position));
        if (length == 0) {
            break;
        }
        position += length;
    }
    return position;
}

bool isValidUtf8(std::string_view text)
{
    return validUtf8Length(text) == text.size();
}

std::string toValidUtf8(std::string_view text)
{
    std::string result;
    while (!text.empty()) {
        const std::size_t length = validUtf8Length(text);
        result += text.substr(0, length);
        text.remove_prefix(length);
        if (!text.empty()) {
            result += '?';
            text.remove_prefix(1);
        }
    }
    return result;
}

} // namespace sapphirecove::protocol
