#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sapphirecove::protocol {

/** IP address and port of a TCP listener. */
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;
};

/** Returns whether @p text is an IPv4 or IPv6 address. */
bool isIpAddress(const std::string &text);

/** Reads "127.0.0.1:8000" or "[::1]:8000"; the port is not 0. */
std::optional<Endpoint> parseEndpoint(std::string_view text);

/** Returns @p endpoint in the form that parseEndpoint reads. */
std::string toString(const Endpoint &endpoint);

} // namespace sapphirecove::protocol
