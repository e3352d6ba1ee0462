#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace sapphirecove::tests {

/** Status codes that no final response has: outside 100 to 599, or a change of protocol that nobody asked for. */
inline const std::vector<std::string> &invalidStatusCodes()
{
    static const std::vector<std::string> codes{ "000", "001", "042", "099", "600", "700", "999", "101", "20x", "-20" };
    return codes;
}

/**
 * Lines of a header whose field names hold a blank or a control byte. A line that begins with a blank may also be read
 * as the continuation of the one before it.
 */
inline const std::vector<std::string> &invalidFieldLines()
{
    using namespace std::string_literals;
    static const std::vector<std::string> lines{
        " X-Trace: 1"s,
        "\tX-Trace: 1"s,
        "  Content-Length: 2"s,
        "\tContent-Length: 2"s,
        " Transfer-Encoding: chunked"s,
        " "s,
        "X-Trace : 1"s,
        "X-Trace\t: 1"s,
        "X Trace: 1"s,
        "X\tTrace: 1"s,
        "X-Trace"s + '\0' + ": 1",
        "X-\x01Trace: 1"s,
        "\x0bX-Trace: 1"s,
        "X-Trace\x1f: 1"s,
        "X-Trace\x7f: 1"s,
        "X-Tr\race: 1"s,
        "X-Tr\nace: 1"s,
        "Content-Length : 2"s,
        "Content Length: 2"s,
        "Content-Length\x01: 2"s,
        "Transfer-Encoding : chunked"s,
        "Transfer-Encoding\x0b: chunked"s,
        ": 1"s,
    };
    return lines;
}

} // namespace sapphirecove::tests
