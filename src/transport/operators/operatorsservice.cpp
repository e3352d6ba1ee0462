#include "transport/operators/operatorsservice.h"

#include "protocol/keyhash.h"
#include "transport/watchdog.h"

#include <algorithm>
#include <utility>

namespace sapphirecove::transport {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr state::Duration SnapshotTimeout = std::chrono::seconds(2);

HttpServerLimits operatorsLimits()
{
    HttpServerLimits limits;
    limits.connections = 256;
    limits.bodyBytes = 1024;
    return limits;
}

} // namespace

OperatorsService::OperatorsService(asio::io_context &context,
                                   std::unique_ptr<Listener> listener,
                                   std::string key,
                                   Ring<SnapshotQuery> &queries)
    : m_context(context)
    , m_key(std::move(key))
    , m_queries(context, queries)
    , m_routes(operatorRoutes())
    , m_server(std::move(listener), operatorsLimits(), [this](const HttpRequest &request) {
        return answer(request);
    })
{
}

void OperatorsService::start()
{
    m_server.start();
}

void OperatorsService::apply(OperatorsUpdate update)
{
    if (auto *ready = std::get_if<coordination::SetReady>(&update)) {
        m_readiness = Readiness{ ready->ready, ready->reason };
        return;
    }
    auto &arrived = std::get<SnapshotResponse>(update);
    const auto found = m_pending.find(arrived.id);
    if (found != m_pending.end()) {
        found->second->snapshot = std::move(arrived.snapshot);
        found->second->signal.notify();
    }
}

void OperatorsService::drain()
{
    m_draining = true;
}

Readiness OperatorsService::readiness() const
{
    return m_draining ? Readiness{ false, "draining" } : m_readiness;
}

asio::awaitable<std::shared_ptr<const HostSnapshot>> OperatorsService::snapshot()
{
    const auto id = ++m_lastQuery;
    const auto pending = std::make_shared<Pending>(m_context.get_executor());
    m_pending.emplace(id, pending);
    Watchdog watchdog(m_context.get_executor(), [pending] {
        pending->expired = true;
        pending->signal.notify();
    });
    watchdog.arm(SnapshotTimeout);
    m_queries.send(SnapshotQuery{ id });
    co_await pending->signal.wait([&] {
        return pending->snapshot || pending->expired;
    });
    m_pending.erase(id);
    co_return pending->snapshot;
}

asio::awaitable<HttpResponse> OperatorsService::answer(const HttpRequest &request)
{
    const std::string path(request.target().substr(0, request.target().find('?')));
    const auto route = std::find_if(m_routes.begin(), m_routes.end(), [&](const auto &candidate) {
        return candidate.path == path;
    });
    const bool needsKey = route == m_routes.end() || route->needsKey;
    if (needsKey && !protocol::equalInConstantTime(bearerKey(request), m_key)) {
        co_return makeResponse(request, http::status::unauthorized, "text/plain", "wrong key\n");
    }
    if (route == m_routes.end()) {
        co_return makeResponse(request, http::status::not_found, "text/plain", "no such path\n");
    }
    if (request.method() != http::verb::get) {
        co_return makeResponse(request, http::status::method_not_allowed, "text/plain", "use GET\n");
    }
    co_return co_await route->handler(*this, request);
}

} // namespace sapphirecove::transport
