#pragma once

#include "protocol/endpoint.h"
#include "state/identifiers.h"
#include "state/time.h"

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <string>

namespace sapphirecove::protocol {

/** Identity of a host. */
struct HostSettings
{
    state::HostId id;
    std::string region;
    std::string failureDomain;
};

/** Addresses on which a host listens. */
struct ListenSettings
{
    Endpoint callers;
    Endpoint operators;
    Endpoint peers;
};

/** Files that hold bearer keys; after reading, paths are absolute or relative to the working directory. */
struct KeySettings
{
    std::filesystem::path operatorsFile;
    std::filesystem::path fleetFile;
};

/** Addresses of the platform's services and how they are read. */
struct PlatformSettings
{
    Endpoint log;
    Endpoint hostList;
    state::Duration logRetention = std::chrono::hours(24);
    state::Duration hostListPoll = std::chrono::milliseconds(500);
    state::Duration loadPoll = std::chrono::milliseconds(500);
};

/** Limits of the listeners. */
struct ListenerLimits
{
    int maxConnections = 4096;
    std::int64_t maxHeaderBytes = 16384;
    std::int64_t maxBodyBytes = std::int64_t{ 8 } * 1024 * 1024;
    state::Duration slowSenderTimeout = std::chrono::seconds(10);
    std::int64_t streamBufferBytes = 65536; /**< buffered of one response for a slow reader */
    int maxRequests = 4096; /**< accepted and not finished */
};

/** Where log lines go. */
struct LogSettings
{
    std::string level = "info";
    std::filesystem::path file; /**< empty for standard error */
};

/** Settings of one host (section 8.1 of docs/design.md). */
struct Settings
{
    HostSettings host;
    ListenSettings listen;
    KeySettings keys;
    PlatformSettings platform;
    ListenerLimits limits;
    std::string placement = "cost";
    std::uint64_t seed = 1;
    state::Duration drainTimeout = std::chrono::seconds(600);
    LogSettings log;
};

} // namespace sapphirecove::protocol
