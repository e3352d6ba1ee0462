#include "transport/entry/operatorrelay.h"

#include "protocol/binarycodec.h"
#include "transport/deflate.h"
#include "transport/log.h"

#include <utility>

namespace sapphirecove::transport::entry {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::string_view StatePath = "/operator";
constexpr std::string_view StateMediaType = "application/octet-stream";

/** Timeout of a fetch; all hosts of a region may fetch a large document from the same host. */
constexpr state::Duration FetchTimeout = std::chrono::milliseconds(1200);

/** Largest number of connections from other hosts; all hosts of a large fleet may fetch at once. */
constexpr std::size_t MaxConnections = 512;

/** Idle time after which a connection is closed; changes are mostly minutes apart. */
constexpr state::Duration IdleTimeout = std::chrono::seconds(4);

/** Largest accepted size of the decompressed records; several times the largest record of a store. */
constexpr std::size_t MaxStateBytes = std::size_t{ 16 } * 1024 * 1024;

HttpServerLimits serverLimits()
{
    HttpServerLimits limits;
    limits.connections = MaxConnections;
    limits.bodyBytes = 1024;
    limits.idleTimeout = IdleTimeout;
    return limits;
}

} // namespace

state::Result<std::unique_ptr<OperatorRelay>> OperatorRelay::create(ServingContext &context, StateSource source)
{
    const auto &settings = context.settings;
    BOOST_LEAF_AUTO(listener, Listener::create(context.io, settings.address, settings.peerPort));
    return std::unique_ptr<OperatorRelay>(new OperatorRelay(context, std::move(listener), std::move(source)));
}

OperatorRelay::OperatorRelay(ServingContext &context, std::unique_ptr<Listener> listener, StateSource source)
    : m_context(context)
    , m_source(std::move(source))
    , m_server(
          std::move(listener), serverLimits(), [this](const HttpRequest &request) -> asio::awaitable<HttpResponse> {
              co_return handleRequest(request);
          })
{
}

void OperatorRelay::start()
{
    m_server.start();
}

HttpResponse OperatorRelay::handleRequest(const HttpRequest &request) const
{
    if (request.target() != StatePath) {
        return makeResponse(request, http::status::not_found, StateMediaType, {});
    }
    const auto encoded = m_source();
    if (!encoded) {
        return makeResponse(request, http::status::service_unavailable, StateMediaType, {});
    }
    protocol::BinaryWriter writer;
    writer.signedNumber(encoded->age.count());
    return makeResponse(request, http::status::ok, StateMediaType, writer.take() + encoded->records);
}

std::string OperatorRelay::compress(const protocol::OperatorState &state)
{
    return deflate(protocol::encodeOperatorState(state));
}

asio::awaitable<std::optional<OperatorRelay::FetchedState>> OperatorRelay::fetch(protocol::Endpoint host)
{
    if (!m_client || toString(m_client->endpoint()) != toString(host)) {
        m_client = std::make_unique<HttpClient>(m_context.io.get_executor(), host, MaxStateBytes);
    }
    HttpCall call;
    call.path = StatePath;
    const HttpOutcome outcome = co_await m_client->send(std::move(call), FetchTimeout);
    std::optional<FetchedState> fetched;
    if (!outcome.ok()) {
        logFailure("operator_state_not_fetched",
                   outcome.failure.value_or(
                       state::Failure{ "relay.fetch", toString(host), "status " + std::to_string(outcome.status) }));
        co_return fetched;
    }
    state::handleFailure(
        [&]() -> state::Result<void> {
            protocol::BinaryReader reader(outcome.body);
            std::int64_t age = 0;
            reader.signedNumber(age);
            const auto text = reader.failed() || age < 0
                ? std::nullopt
                : inflate(std::string_view(outcome.body).substr(sizeof age), MaxStateBytes);
            if (!text) {
                return state::fail(
                    "relay.fetch", toString(host), "response has no valid age or no valid compressed records");
            }
            BOOST_LEAF_AUTO(decoded, protocol::decodeOperatorState(*text, toString(host)));
            fetched = FetchedState{ state::Duration(age), std::move(decoded) };
            return {};
        },
        [](const state::Failure &failure) {
            logFailure("operator_state_rejected", failure);
        });
    co_return fetched;
}

} // namespace sapphirecove::transport::entry
