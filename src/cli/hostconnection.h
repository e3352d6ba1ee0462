#pragma once

#include "coordination/statusreport.h"
#include "protocol/settings.h"
#include "protocol/statuscodec.h"
#include "state/failure.h"
#include "transport/syncclient.h"

#include <string>
#include <string_view>

namespace sapphirecove::cli {

/** Client that commands use to query the operators' listener of one host. */
class HostConnection
{
public:
    /** Loads the operators' key from the file that @p settings name; fails if it cannot be read. */
    static state::Result<HostConnection> create(const protocol::Settings &settings);

    /** Sends a GET request for @p path and returns the response body; fails if the status is not 200. */
    state::Result<std::string> fetch(std::string_view path) const;

    /** Fetches and decodes one part of the status of the host. */
    state::Result<coordination::StatusReport> status(protocol::StatusPart part) const;

private:
    HostConnection(protocol::Endpoint endpoint, std::string key);

    protocol::Endpoint m_endpoint;
    transport::SyncClient m_client;
};

} // namespace sapphirecove::cli
