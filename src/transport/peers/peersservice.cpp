#include "transport/peers/peersservice.h"

#include "protocol/keyhash.h"
#include "protocol/messagecodec.h"
#include "transport/log.h"
#include "transport/pause.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <optional>
#include <utility>

namespace sapphirecove::transport {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/** A link without messages for this time is closed: its host was replaced or has left the fleet. */
constexpr state::Duration IdleLinkTimeout = std::chrono::seconds(60);

std::optional<coordination::Envelope> readEnvelope(const HttpRequest &request)
{
    return state::handleFailure(
        [&]() -> state::Result<std::optional<coordination::Envelope>> {
            auto envelope = protocol::decodeEnvelope(request.body(), "peer");
            if (!envelope) {
                return envelope.error();
            }
            return std::optional<coordination::Envelope>(std::move(envelope.value()));
        },
        [](const state::Failure &failure) {
            logFailure("peer_message_malformed", failure);
            return std::optional<coordination::Envelope>();
        });
}

} // namespace

PeersService::PeersService(asio::io_context &context,
                           std::unique_ptr<Listener> listener,
                           PeerIdentity identity,
                           Ring<coordination::Event> &events)
    : m_context(context)
    , m_identity(std::move(identity))
    , m_events(context, events)
    , m_server(std::move(listener), HttpServerLimits{}, [this](const HttpRequest &request) {
        return receive(request);
    })
{
}

void PeersService::start()
{
    m_server.start();
    asio::co_spawn(m_context, removeIdleLinks(), asio::detached);
}

void PeersService::send(coordination::SendMessage action)
{
    const Endpoint endpoint{ action.address, action.port };
    auto &link = m_links[action.to];
    const bool moved = link && (link->endpoint().address != endpoint.address || link->endpoint().port != endpoint.port);
    if (moved) {
        link->close();
        link.reset();
    }
    if (!link) {
        link = std::make_shared<PeerLink>(m_context.get_executor(), endpoint, m_identity);
        link->start();
    }
    link->send(std::move(action.message));
}

asio::awaitable<HttpResponse> PeersService::receive(const HttpRequest &request)
{
    if (!protocol::equalInConstantTime(bearerKey(request), m_identity.fleetKey)) {
        co_return makeResponse(request, http::status::unauthorized, "application/json", "{}");
    }
    if (request.method() != http::verb::post || request.target() != "/peers/v1/messages") {
        co_return makeResponse(request, http::status::not_found, "application/json", "{}");
    }
    auto envelope = readEnvelope(request);
    if (!envelope) {
        co_return makeResponse(request, http::status::bad_request, "application/json", "{}");
    }
    // Delivery is best effort, so messages are dropped while the ring is full; waiting would block the peer's
    // connection.
    const bool accepted = m_events.trySend(coordination::MessagesReceived{ std::move(*envelope) });
    const auto status = accepted ? http::status::ok : http::status::service_unavailable;
    co_return makeResponse(request, status, "application/json", "{}");
}

asio::awaitable<void> PeersService::removeIdleLinks()
{
    for (;;) {
        co_await pauseFor(IdleLinkTimeout);
        std::erase_if(m_links, [](const auto &entry) {
            const bool idle = entry.second->wasIdle();
            if (idle) {
                entry.second->close();
            }
            return idle;
        });
    }
}

} // namespace sapphirecove::transport
