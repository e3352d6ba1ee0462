#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace sapphirecove::integration {

/** What the platform's settings file states about one entry host. */
struct EntryHostSettings
{
    std::string host = "host-1";
    std::vector<std::uint16_t> ports; /**< for callers, for the readiness check and for other hosts */
    std::uint16_t store = 0;
    std::size_t memory = 0; /**< bytes */
    bool firstStart = true;
};

/** Returns the settings file of an entry host on the loopback address. */
inline std::string encode(const EntryHostSettings &settings)
{
    const auto address = [](std::uint16_t port) {
        return "\"127.0.0.1:" + std::to_string(port) + '"';
    };
    const std::string peerPort = std::to_string(settings.ports[2]);
    return R"({"node":")" + settings.host
        + R"(","ip":"127.0.0.1","zone":"osu","region":"accra","zones":{"osu":"accra"},"listen":{"front":)"
        + address(settings.ports[0]) + R"(,"ready":)" + address(settings.ports[1]) + R"(},"portRange":[)" + peerPort
        + ',' + peerPort + R"(],"bootstrap":)" + (settings.firstStart ? "true" : "false") + R"(,"limits":{"memoryMb":)"
        + std::to_string(settings.memory / 1024 / 1024) + R"(},"platform":{"address":)" + address(settings.store)
        + "}}";
}

} // namespace sapphirecove::integration
