#pragma once

#include "protocol/endpoint.h"
#include "protocol/operatorstatecodec.h"
#include "state/failure.h"
#include "transport/entry/servingcontext.h"
#include "transport/httpclient.h"
#include "transport/httpserver.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace sapphirecove::transport::entry {

/**
 * Distributes the operator's newest records between hosts over HTTP, so that they are transferred from the metadata
 * store to a region once or twice, and not once for each host.
 */
class OperatorRelay
{
public:
    /** Operator state that a host provides to other hosts. */
    struct EncodedState
    {
        state::Duration age{}; /**< since the records were last known to be the newest in the metadata store */
        std::string records; /**< compressed OperatorState */
    };

    /** Returns the operator state of this host; nothing before it has a configuration. */
    using StateSource = std::function<std::optional<EncodedState>()>;

    /** Operator state that was fetched from another host. */
    struct FetchedState
    {
        state::Duration age{}; /**< at the time of the other host's response */
        protocol::OperatorState state;
    };

    /** Compresses @p state for EncodedState::records. */
    static std::string compress(const protocol::OperatorState &state);

    /** Binds the TCP port for messages between hosts; fails if it cannot be used. */
    static state::Result<std::unique_ptr<OperatorRelay>> create(ServingContext &context, StateSource source);

    /** Starts to respond to other hosts. */
    void start();

    /** Fetches the state of @p host; logs a failure and returns nothing if there is no valid response in time. */
    boost::asio::awaitable<std::optional<FetchedState>> fetch(protocol::Endpoint host);

private:
    OperatorRelay(ServingContext &context, std::unique_ptr<Listener> listener, StateSource source);

    HttpResponse handleRequest(const HttpRequest &request) const;

    ServingContext &m_context;
    StateSource m_source;
    HttpServer m_server;
    std::unique_ptr<HttpClient> m_client; /**< connected to the host of the last fetch */
};

} // namespace sapphirecove::transport::entry
