#include "protocol/endpoint.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace sapphirecove::protocol {

bool isIpAddress(const std::string &text)
{
    std::array<unsigned char, sizeof(in6_addr)> binary{};
    return inet_pton(AF_INET, text.c_str(), binary.data()) == 1
        || inet_pton(AF_INET6, text.c_str(), binary.data()) == 1;
}

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view address = text.substr(0, colon);
    if (address.starts_with('[') && address.ends_with(']')) {
        address = address.substr(1, address.size() - 2);
    }
    Endpoint endpoint;
    endpoint.address = address;
    const std::string_view port = text.substr(colon + 1);
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
    const bool portRead = error == std::errc() && end == port.data() + port.size() && endpoint.port != 0;
    return portRead && isIpAddress(endpoint.address) ? std::optional(endpoint) : std::nullopt;
}

std::string toString(const Endpoint &endpoint)
{
    const bool version6 = endpoint.address.find(':') != std::string::npos;
    const std::string host = version6 ? '[' + endpoint.address + ']' : endpoint.address;
    return host + ':' + std::to_string(endpoint.port);
}

} // namespace sapphirecove::protocol
