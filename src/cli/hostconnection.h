#pragma once

#include "coordination/statusreport.h"
#include "protocol/settings.h"
#include "protocol/statuscodec.h"
#include "state/failure.h"
#include "transport/syncclient.h"

#include <string>
#include <string_view>

namespace sapphirecove::cli {

/** Connection of a command to the operators' listener of one host. */
class HostConnection
{
public:
    /** Reads the operators' key that @p settings name. */
    static state::Result<HostConnection> create(const protocol::Settings &settings);

    /** Returns the body of @p path; fails unless the host answers 200. */
    state::Result<std::string> fetch(std::string_view path) const;

    /** Reads one part of the status. */
    state::Result<coordination::StatusReport> status(protocol::StatusPart part) const;

private:
    HostConnection(protocol::Endpoint endpoint, std::string key);

    protocol::Endpoint m_endpoint;
    transport::SyncClient m_client;
};

} // namespace sapphirecove::cli
