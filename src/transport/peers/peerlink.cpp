#include "transport/peers/peerlink.h"

#include "protocol/messagecodec.h"
#include "transport/log.h"
#include "transport/pause.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace sapphirecove::transport {

namespace asio = boost::asio;

namespace {

constexpr state::Duration SendTimeout = std::chrono::seconds(1);

/** Delay after a failed request; limits the connection attempts to an unreachable peer. */
constexpr state::Duration RetryDelay = std::chrono::milliseconds(100);

} // namespace

PeerLink::PeerLink(const asio::any_io_executor &executor, Endpoint endpoint, const PeerIdentity &identity)
    : m_identity(identity)
    , m_client(executor, std::move(endpoint))
    , m_signal(executor)
{
}

void PeerLink::start()
{
    asio::co_spawn(
        m_signal.executor(),
        [self = shared_from_this()] {
            return self->run();
        },
        asio::detached);
}

void PeerLink::send(coordination::Message message)
{
    m_usedSinceCheck = true;
    m_queue.push(std::move(message));
    m_signal.notify();
}

void PeerLink::close()
{
    m_closed = true;
    m_client.close();
    m_signal.notify();
}

bool PeerLink::wasIdle()
{
    return !std::exchange(m_usedSinceCheck, false);
}

asio::awaitable<void> PeerLink::run()
{
    while (!m_closed) {
        co_await m_signal.wait([this] {
            return m_closed || !m_queue.empty();
        });
        if (!m_closed) {
            co_await sendBatch();
        }
    }
}

asio::awaitable<void> PeerLink::sendBatch()
{
    coordination::Envelope envelope;
    envelope.from = m_identity.host;
    envelope.incarnation = m_identity.incarnation;
    envelope.messages = m_queue.takeBatch();
    HttpCall call;
    call.method = boost::beast::http::verb::post;
    call.path = "/peers/v1/messages";
    call.body = protocol::encodeEnvelope(envelope);
    call.bearerKey = m_identity.fleetKey;
    const auto outcome = co_await m_client.send(std::move(call), SendTimeout);
    if (outcome.ok() || m_closed) {
        m_reachable = true;
        co_return;
    }
    if (std::exchange(m_reachable, false)) {
        const state::Failure refused{ "peer.send", toString(endpoint()), "status " + std::to_string(outcome.status) };
        logFailure("peer_unreachable", outcome.failure.value_or(refused));
    }
    co_await pauseFor(RetryDelay);
}

} // namespace sapphirecove::transport
