#pragma once

#include "protocol/endpoint.h"
#include "state/entry/bounds.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace sapphirecove::protocol {

/** Settings of an entry host in a deployment whose targets and configuration are discovered. */
struct EntrySettings
{
    std::string hostId;
    std::string address; /**< IP address of the host */
    std::string failureDomain;
    std::string region;
    std::map<std::string, std::string> regionOfDomain;
    Endpoint callers; /**< listener for callers */
    Endpoint readiness; /**< listener for the balancer's readiness check */
    std::uint16_t peerPort = 0; /**< UDP port for messages between hosts, the same on all hosts */
    std::uint16_t metricsPort = 0; /**< TCP port that serves metrics; 0 for none */
    /** Work that the host can do for others: processor cores, reduced if the link is below 100 Mbit/s. */
    double capacity = 1;
    std::size_t memoryBytes = std::size_t{ 256 } * 1024 * 1024; /**< that the process may use */
    bool firstStart = false; /**< the whole deployment starts for the first time */
    Endpoint store; /**< metadata store of the deployment */
    state::entry::Bounds bounds;
};

} // namespace sapphirecove::protocol
