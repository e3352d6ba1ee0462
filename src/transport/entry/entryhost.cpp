#include "transport/entry/entryhost.h"

#include "transport/entry/callersession.h"
#include "transport/entry/exchange.h"
#include "transport/log.h"
#include "transport/operators/metricstext.h"
#include "transport/sockets.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <csignal>
#include <utility>

namespace sapphirecove::transport::entry {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

/** Interval of checks on time limits and of reports to peers. */
constexpr std::chrono::milliseconds TickInterval{ 25 };

/** Time after SIGTERM for which idle callers keep their connections: the balancer's two checks and their answers. */
constexpr state::Duration StopSettle = std::chrono::milliseconds(3000);

/** Time before the end of the grace at which the host ends, whatever is under way. */
constexpr state::Duration StopMargin = std::chrono::milliseconds(300);

HttpServerLimits checkLimits()
{
    HttpServerLimits limits;
    limits.connections = 64;
    limits.bodyBytes = 1024;
    return limits;
}

} // namespace

state::Result<std::unique_ptr<EntryHost>> EntryHost::create(const protocol::EntrySettings &settings,
                                                            const WireCodec &codec,
                                                            const TimeSource &clock,
                                                            const StoreFactory &storeFactory)
{
    coordination::entry::Location location{
        settings.failureDomain, settings.region, settings.regionOfDomain, settings.hostId
    };
    BOOST_LEAF_AUTO(scheduler, coordination::entry::Scheduler::create(settings.bounds, std::move(location)));
    std::unique_ptr<EntryHost> host(new EntryHost(settings, std::move(scheduler), codec, clock));
    if (auto bound = host->bind(storeFactory); !bound) {
        return bound.error();
    }
    return host;
}

EntryHost::EntryHost(const protocol::EntrySettings &settings,
                     std::unique_ptr<coordination::entry::Scheduler> scheduler,
                     const WireCodec &codec,
                     const TimeSource &clock)
    : m_settings(settings)
    , m_scheduler(std::move(scheduler))
    , m_context{ m_io, clock, codec, m_settings, *m_scheduler, {}, {}, {}, {}, false, {}, {}, 0, {} }
    , m_tick(m_io)
    , m_signals(m_io, SIGTERM, SIGINT, SIGHUP)
{
    m_context.runDecisions = [this] {
        runDecisions();
    };
}

EntryHost::~EntryHost() = default;

state::Result<void> EntryHost::bind(const StoreFactory &storeFactory)
{
    BOOST_LEAF_ASSIGN(m_callers, Listener::create(m_io, m_settings.callers.address, m_settings.callers.port));
    BOOST_LEAF_AUTO(readiness, Listener::create(m_io, m_settings.readiness.address, m_settings.readiness.port));
    m_readiness = std::make_unique<HttpServer>(
        std::move(readiness), checkLimits(), [this](const HttpRequest &request) -> asio::awaitable<HttpResponse> {
            co_return answerReadiness(request);
        });
    bindMetrics();
    BOOST_LEAF_ASSIGN(m_peers, PeerChannel::create(m_context));
    m_store = storeFactory(m_io.get_executor(), m_settings.store);
    m_follower = std::make_unique<StoreFollower>(m_context, *m_store);
    return {};
}

/** Binds the metrics listener. A host without metrics still serves, so that a failure is only logged. */
void EntryHost::bindMetrics()
{
    if (m_settings.metricsPort == 0) {
        return;
    }
    state::handleFailure(
        [this]() -> state::Result<void> {
            BOOST_LEAF_AUTO(listener, Listener::create(m_io, m_settings.address, m_settings.metricsPort));
            m_metrics =
                std::make_unique<HttpServer>(std::move(listener),
                                             checkLimits(),
                                             [this](const HttpRequest &request) -> asio::awaitable<HttpResponse> {
                                                 co_return answerMetrics(request);
                                             });
            return {};
        },
        [](const state::Failure &failure) {
            logFailure("metrics_not_served", failure);
        });
}

void EntryHost::run()
{
    m_follower->start();
    m_peers->start();
    m_readiness->start();
    if (m_metrics) {
        m_metrics->start();
    }
    m_callers->start([this](tcp::socket socket) {
        acceptCaller(std::move(socket));
    });
    waitForSignal();
    scheduleTick();
    logEvent("started",
             { { "host", m_settings.hostId },
               { "failure_domain", m_settings.failureDomain },
               { "callers", toString(m_settings.callers) },
               { "metrics_port", std::to_string(m_settings.metricsPort) },
               { "first_start", m_settings.firstStart ? "yes" : "no" } });
    m_io.run();
    logEvent("stopped", { { "host", m_settings.hostId } });
}

void EntryHost::acceptCaller(tcp::socket socket)
{
    prepareSocket(socket);
    auto session = std::make_shared<CallerSession>(m_context, std::move(socket));
    m_sessions.push_back(session);
    asio::co_spawn(
        m_io,
        [session]() -> asio::awaitable<void> {
            co_await session->run();
        },
        asio::detached);
}

void EntryHost::runDecisions()
{
    // A decision resumes no request at once, so that this can only be entered again through a caller's mistake.
    if (m_deciding) {
        return;
    }
    m_deciding = true;
    for (auto &decision : m_scheduler->decide(m_context.now())) {
        const auto found = m_context.waiting.find(decision.request);
        if (found != m_context.waiting.end()) {
            found->second->decided(std::move(decision));
        } else if (!decision.refusal) {
            m_scheduler->finished(decision.request, coordination::entry::AttemptOutcome::Abandoned, 0, m_context.now());
        }
    }
    m_deciding = false;
}

void EntryHost::scheduleTick()
{
    m_tick.expires_after(TickInterval);
    m_tick.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            tick();
            scheduleTick();
        }
    });
}

void EntryHost::tick()
{
    const state::Time now = m_context.now();
    std::erase_if(m_sessions, [](const auto &session) {
        return session.expired();
    });
    for (const auto &weak : m_sessions) {
        if (const auto session = weak.lock()) {
            session->checkTime(now);
        }
    }
    checkPeers(now);
    m_scheduler->expireTargets(now);
    m_context.pool.expire(now);
    if (m_scheduler->waiting() > 0) {
        runDecisions();
    }
    m_peers->sendDue(now);
    if (m_context.stopping) {
        continueStop(now);
    }
}

void EntryHost::checkPeers(state::Time now)
{
    auto &peers = m_scheduler->peers();
    for (const auto &host : peers.expire(m_scheduler->targets(), now)) {
        logEvent("peer_silent", { { "peer", host } });
    }
    const double share =
        static_cast<double>(peers.liveHosts()) / static_cast<double>(std::max<std::size_t>(1, peers.knownCount() + 1));
    m_scheduler->quotas().setReachableShare(share);
}

void EntryHost::waitForSignal()
{
    m_signals.async_wait([this](const boost::system::error_code &error, int signal) {
        if (error) {
            return;
        }
        if (signal == SIGHUP) {
            reload();
        } else if (!m_context.stopping) {
            drain();
        }
        waitForSignal();
    });
}

void EntryHost::beginStop()
{
    asio::post(m_io, [this] {
        drain();
    });
}

void EntryHost::stop()
{
    m_io.stop();
}

void EntryHost::setSettingsReader(SettingsReader reader)
{
    m_readSettings = std::move(reader);
}

/** Takes the bounds of changed settings. Addresses take effect at the next start: callers use the old ones until then.
 */
void EntryHost::reload()
{
    if (!m_readSettings) {
        logEvent("reload_ignored", { { "host", m_settings.hostId } });
        return;
    }
    state::handleFailure(
        [this]() -> state::Result<void> {
            BOOST_LEAF_AUTO(settings, m_readSettings());
            const bool moved = toString(settings.callers) != toString(m_settings.callers)
                || toString(settings.readiness) != toString(m_settings.readiness)
                || toString(settings.store) != toString(m_settings.store);
            m_settings.bounds = settings.bounds;
            logEvent("reloaded", { { "host", m_settings.hostId }, { "restart_needed", moved ? "yes" : "no" } });
            return {};
        },
        [](const state::Failure &failure) {
            logFailure("reload_failed", failure);
        });
}

void EntryHost::drain()
{
    m_context.stopping = true;
    m_context.stopBegan = m_context.now();
    logEvent("stopping",
             { { "host", m_settings.hostId },
               { "running", std::to_string(m_scheduler->running()) },
               { "waiting", std::to_string(m_scheduler->waiting()) } });
}

void EntryHost::continueStop(state::Time now)
{
    const state::Duration elapsed = now - m_context.stopBegan;
    if (elapsed < StopSettle) {
        return;
    }
    bool busy = false;
    for (const auto &weak : m_sessions) {
        if (const auto session = weak.lock()) {
            session->closeIfIdle();
            busy = busy || !session->idle();
        }
    }
    if (!busy || elapsed > m_settings.bounds.shutdownGrace - StopMargin) {
        m_io.stop();
    }
}

/** The host is ready once it can serve, and for as long as it can confirm that its keys still hold. */
bool EntryHost::ready() const
{
    if (m_context.stopping || !m_context.table || m_scheduler->targets().size() == 0) {
        return false;
    }
    return !m_settings.bounds.strictRevocation || m_context.now() - m_context.confirmed < m_settings.bounds.revocation;
}

HttpResponse EntryHost::answerReadiness(const HttpRequest &request) const
{
    const bool isReady = ready();
    return makeResponse(request,
                        isReady ? http::status::ok : http::status::service_unavailable,
                        "text/plain",
                        isReady ? "ready\n" : "not ready\n");
}

HttpResponse EntryHost::answerMetrics(const HttpRequest &request) const
{
    std::string text = m_context.metrics.text();
    text += "sapphirecove_requests_waiting " + std::to_string(m_scheduler->waiting()) + '\n';
    text += "sapphirecove_requests_running " + std::to_string(m_scheduler->running()) + '\n';
    text += "sapphirecove_peers_live " + std::to_string(m_scheduler->peers().liveCount()) + '\n';
    text += "sapphirecove_targets " + std::to_string(m_scheduler->targets().size()) + '\n';
    return makeResponse(request, http::status::ok, MetricsMediaType, std::move(text));
}

} // namespace sapphirecove::transport::entry
