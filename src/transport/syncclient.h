#pragma once

#include "protocol/endpoint.h"
#include "state/failure.h"
#include "state/time.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace sapphirecove::transport {

/** Response to a request of SyncClient. */
struct SyncResponse
{
    int status = 0;
    std::string body;
};

/** Step of the Failure if no connection was made and hence nothing was sent. */
constexpr std::string_view ConnectStep = "http.connect";

/** Step of the Failure if the connection ended or timed out after it was made; the request may have been received. */
constexpr std::string_view ExchangeStep = "http.exchange";

/** Blocking HTTP client for commands. Each request uses its own connection and is never retried. */
class SyncClient
{
public:
    /** Maximum size of a response body. */
    static constexpr std::size_t MaxResponseBytes = std::size_t{ 256 } * 1024 * 1024;

    /** Sends @p bearerKey in the Authorization header unless it is empty. */
    explicit SyncClient(protocol::Endpoint endpoint, std::string bearerKey = {});

    /** Sends GET @p path; @p timeout covers the time from connecting to the end of the response. */
    state::Result<SyncResponse> fetch(std::string_view path, state::Duration timeout) const;

    /** Sends POST @p path with a JSON body. */
    state::Result<SyncResponse> post(std::string_view path, std::string_view body, state::Duration timeout) const;

private:
    protocol::Endpoint m_endpoint;
    std::string m_bearerKey;
};

} // namespace sapphirecove::transport
