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
 * Passes the operator's newest records on between hosts over HTTP, so that they cross from the metadata store to a
 * region once or twice, and not once for each host.
 */
class OperatorRelay
{
public:
    /** What a host passes on. */
    struct EncodedState
    {
        state::Duration age{}; /**< since the metadata store surely held the records as the newest */
        std::string records; /**< compressed OperatorState */
    };

    /** Returns what this host knows; nothing before it knows a configuration. */
    using StateSource = std::function<std::optional<EncodedState>()>;

    /** What another host knows. */
    struct FetchedState
    {
        state::Duration age{}; /**< when the other host answered */
        protocol::OperatorState state;
    };

    /** Compresses @p state for Passed::records. */
    static std::string compress(const protocol::OperatorState &state);

    /** Binds the TCP port for messages between hosts; fails if it cannot be used. */
    static state::Result<std::unique_ptr<OperatorRelay>> create(ServingContext &context, StateSource source);

    /** Starts to answer other hosts. */
    void start();

    /** Asks @p host; returns nothing, after a log line, if it does not answer in time. */
    boost::asio::awaitable<std::optional<FetchedState>> fetch(protocol::Endpoint host);

private:
    OperatorRelay(ServingContext &context, std::unique_ptr<Listener> listener, StateSource source);

    HttpResponse handleRequest(const HttpRequest &request) const;

    ServingContext &m_context;
    StateSource m_source;
    HttpServer m_server;
    std::unique_ptr<HttpClient> m_client; /**< of the host that was asked last */
};

} // namespace sapphirecove::transport::entry
