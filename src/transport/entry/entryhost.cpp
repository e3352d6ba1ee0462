#include "transport/entry/entryhost.h"

#include "coordination/entry/confirmation.h"
#include "state/buildid.h"
#include "transport/entry/callersession.h"
#include "transport/entry/exchange.h"
#include "transport/entry/format.h"
#include "transport/log.h"
#include "transport/operators/metricstext.h"
#include "transport/sockets.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <csignal>
#include <random>
#include <utility>

namespace sapphirecove::transport::entry {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

/** Interval of checks for expired timeouts and due reports to peers. */
constexpr std::chrono::milliseconds TickInterval{ 25 };

/** Time after SIGTERM for which idle caller connections stay open: two checks of the load balancer and responses. */
constexpr state::Duration IdleCloseDelay = std::chrono::milliseconds(3000);

/** Time before the end of the shutdown grace at which the host ends even if requests are running. */
constexpr state::Duration ShutdownMargin = std::chrono::milliseconds(300);

HttpServerLimits auxiliaryServerLimits()
{
    HttpServerLimits limits;
    limits.connections = 64;
    limits.bodyBytes = 1024;
    return limits;
}

coordination::entry::HostProcess newProcess(const protocol::EntrySettings &settings)
{
    std::random_device random;
    const std::uint64_t incarnation = (std::uint64_t{ random() } << 32U) | random();
    return { settings.hostId, incarnation, settings.address, settings.peerPort };
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
    coordination::entry::HostProcess process = newProcess(settings);
    const std::uint32_t self = coordination::entry::processHash(process.host, process.incarnation);
    BOOST_LEAF_AUTO(scheduler, coordination::entry::Scheduler::create(settings.bounds, std::move(location), self));
    std::unique_ptr<EntryHost> host(new EntryHost(settings, std::move(scheduler), std::move(process), codec, clock));
    if (auto bound = host->bind(storeFactory); !bound) {
        return bound.error();
    }
    return host;
}

EntryHost::EntryHost(const protocol::EntrySettings &settings,
                     std::unique_ptr<coordination::entry::Scheduler> scheduler,
                     coordination::entry::HostProcess process,
                     const WireCodec &codec,
                     const TimeSource &clock)
    : m_settings(settings)
    , m_scheduler(std::move(scheduler))
    , m_fleet(*m_scheduler, std::move(process), settings.region, *this)
    , m_context{ m_io, clock, codec, m_settings, *m_scheduler, m_fleet, {}, {}, {}, {},
                 {},   0,     0,     false,      {},           false,   {}, {}, {}, 0 }
    , m_tick(m_io)
    , m_signals(m_io, SIGTERM, SIGINT, SIGHUP)
{
    m_fleet.directory().learn(
        { settings.hostId, settings.address, settings.peerPort, settings.region, settings.capacity });
}

EntryHost::~EntryHost() = default;

state::Result<void> EntryHost::bind(const StoreFactory &storeFactory)
{
    BOOST_LEAF_AUTO(readiness, Listener::create(m_io, m_settings.readiness.address, m_settings.readiness.port));
    m_readiness = std::make_unique<HttpServer>(std::move(readiness),
                                               auxiliaryServerLimits(),
                                               [this](const HttpRequest &request) -> asio::awaitable<HttpResponse> {
                                                   co_return readinessResponse(request);
                                               });
    bindMetrics();
    BOOST_LEAF_ASSIGN(m_peers, PeerChannel::create(m_context));
    m_store = storeFactory(m_io.get_executor(), m_settings.store);
    m_follower = std::make_unique<StoreFollower>(m_context, *m_store);
    if (auto bound = m_follower->bind(); !bound) {
        return bound.error();
    }
    // The last one: callers that connect while this process waits for another port would get no answer.
    BOOST_LEAF_ASSIGN(m_callerListener, Listener::create(m_io, m_settings.callers.address, m_settings.callers.port));
    return {};
}

/** Binds the metrics listener. A host without metrics can still serve, so a failure is only logged. */
void EntryHost::bindMetrics()
{
    if (m_settings.metricsPort == 0) {
        return;
    }
    state::handleFailure(
        [this]() -> state::Result<void> {
            constexpr state::Duration noWait{}; // Callers matter more.
            BOOST_LEAF_AUTO(listener, Listener::create(m_io, m_settings.address, m_settings.metricsPort, noWait));
            m_metrics =
                std::make_unique<HttpServer>(std::move(listener),
                                             auxiliaryServerLimits(),
                                             [this](const HttpRequest &request) -> asio::awaitable<HttpResponse> {
                                                 co_return metricsResponse(request);
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
    m_callerListener->start([this](tcp::socket socket) {
        acceptCaller(std::move(socket));
    });
    waitForSignal();
    scheduleTick();
    logEvent("started",
             { { "host", m_settings.hostId },
               { "failure_domain", m_settings.failureDomain },
               { "callers", toString(m_settings.callers) },
               { "metrics_port", std::to_string(m_settings.metricsPort) },
               { "first_start", m_settings.firstStart ? "yes" : "no" },
               { "commit", std::string(state::buildCommit()) },
               { "sources", std::string(state::buildSources()) },
               { "process", std::to_string(m_fleet.self().incarnation) } });
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

void EntryHost::decided(coordination::entry::Decision decision)
{
    const auto found = m_context.waitingExchanges.find(decision.request);
    if (found != m_context.waitingExchanges.end()) {
        found->second->decided(std::move(decision));
    } else if (!decision.refusal) {
        m_fleet.finished(decision.request, coordination::entry::AttemptOutcome::Abandoned, 0, m_context.now());
    }
}

void EntryHost::send(const coordination::entry::DecisionRequest &decisionRequest,
                     const coordination::entry::KnownHost &to)
{
    m_peers->send(decisionRequest, to.address, to.port);
}

void EntryHost::send(const coordination::entry::AddressedReply &reply)
{
    m_peers->send(reply.reply, reply.to.address, reply.to.port);
}

void EntryHost::send(const coordination::entry::AttemptUpdate &update, const coordination::entry::KnownHost &to)
{
    m_peers->send(update, to.address, to.port);
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
            session->checkTimeouts(now);
        }
    }
    updatePeers(now);
    m_scheduler->expireTargets(now);
    m_context.pool.closeExpired(now);
    m_fleet.setCanDecide(m_context.targetsCurrent, m_context.stopping);
    m_fleet.setTargetsConfirmed(m_context.targetsConfirmed,
                                { coordination::entry::maxTargetsAge(m_settings.bounds),
                                  coordination::entry::maxPlacementAge(m_settings.bounds) });
    m_fleet.setStoreAway(m_context.storeReach.isAway(now) || m_scheduler->targets().hasLapsed());
    m_fleet.tick(now);
    logOutdatedPlacements();
    logLearnedStatements(now);
    logSuspectChanges();
    logEvacuations();
    logDeciderChange(now);
    m_peers->sendDueReports(now);
    if (m_context.stopping) {
        continueShutdown(now);
    }
}

void EntryHost::updatePeers(state::Time now)
{
    auto &peers = m_scheduler->peers();
    for (const auto &host : peers.expire(m_scheduler->targets(), now)) {
        logEvent("peer_silent", { { "peer", host } });
    }
    const bool decides = m_fleet.isActiveDecider(now);
    // A host that decides alone assumes that all other hosts do the same.
    const std::size_t known =
        decides ? peers.knownCount() + 1 : std::max(m_fleet.directory().size(), m_fleet.hosts(now));
    m_scheduler->setDeciders(decides ? 1 : known);
}

/** Logs the placements that were not used, as their deciders may not know that the target leaves. */
void EntryHost::logOutdatedPlacements()
{
    for (const auto &outdated : m_fleet.takeOutdatedPlacements()) {
        m_context.metrics.count("placements_outdated_total");
        logEvent("placement_outdated",
                 { { "request", std::to_string(outdated.request) },
                   { "decider", outdated.decider },
                   { "targets_age_ms", milliseconds(outdated.targetsAge) } });
    }
}

/** Logs the statements of targets that have changed by what other hosts know. */
void EntryHost::logLearnedStatements(state::Time now)
{
    for (const auto &[hash, since] : m_scheduler->statements().takeLearnedLeaving()) {
        const auto *target = m_scheduler->targets().findByHash(hash);
        logEvent("target_leaving",
                 { { "target", target == nullptr ? "unknown" : target->entry().id },
                   { "target_hash", std::to_string(hash) },
                   { "before", "no" },
                   { "source", "peer" },
                   { "age_ms", milliseconds(now - since) } });
    }
    for (const std::uint32_t hash : m_scheduler->statements().takeLearned()) {
        const auto *target = m_scheduler->targets().findByHash(hash);
        logEvent("target_limit_changed",
                 { { "target", target == nullptr ? "unknown" : target->entry().id },
                   { "target_hash", std::to_string(hash) },
                   { "limit", describeLimit(m_scheduler->statements().find(hash), now) },
                   { "source", "peer" } });
    }
}

/** Logs the failure domains whose evacuation has begun or ended. */
void EntryHost::logEvacuations()
{
    const auto targets = m_scheduler->targets().all();
    for (const auto &change : m_scheduler->evacuations().takeChanges()) {
        const auto inDomain = std::count_if(targets.begin(), targets.end(), [&](const auto *target) {
            return target->entry().failureDomain == change.domain;
        });
        m_context.metrics.count(change.evacuated ? "evacuations_begun_total" : "evacuations_ended_total");
        logEvent(change.evacuated ? "evacuation_begun" : "evacuation_ended",
                 { { "failure_domain", change.domain },
                   { "known", m_settings.regionOfDomain.contains(change.domain) ? "yes" : "no" },
                   { "targets", std::to_string(inDomain) },
                   { "source", change.fromPeer ? "peer" : "store" },
                   { "era", std::to_string(change.position.era) },
                   { "offset", std::to_string(change.position.offset) } });
    }
}

/** Logs the requests and parts of prompts that are now blocked or no longer blocked. */
void EntryHost::logSuspectChanges()
{
    for (const auto &change : m_scheduler->suspects().takeChanges()) {
        // Parts have lower numbers than requests.
        const std::string kind = coordination::entry::isRequestSuspect(change.parts.front()) ? "request" : "part";
        m_context.metrics.count(kind + (change.blocked ? "s_blocked_total" : "s_unblocked_total"));
        logEvent(kind + (change.blocked ? "_blocked" : "_unblocked"),
                 { { "part", describeParts(change.parts) },
                   { "parts", std::to_string(change.parts.size()) },
                   { "with", describeParts(change.companions) },
                   { "required", std::to_string(change.parts.size() + change.companions.size()) },
                   { "crashes", std::to_string(change.crashes) },
                   { "suspects", std::to_string(m_scheduler->suspects().suspectCount()) },
                   { "decides", m_fleet.isActiveDecider(m_context.now()) ? "yes" : "no" } });
    }
}

/** Logs the host that decides for this one if it has changed. */
void EntryHost::logDeciderChange(state::Time now)
{
    const auto &directory = m_fleet.directory();
    const auto decider = directory.decider(now).value_or("none");
    if (decider == m_loggedDecider) {
        return;
    }
    logEvent("decider_changed",
             { { "decider", std::string(decider) },
               { "before", m_loggedDecider },
               { "hosts_answering", std::to_string(directory.respondingHosts(now)) },
               { "hosts_known", std::to_string(directory.size()) },
               { "targets_age_ms", milliseconds(now - m_context.targetsConfirmed) },
               { "store_away", m_context.storeReach.isAway(now) ? "yes" : "no" },
               { "candidate", directory.isCandidate(now) ? "yes" : "no" } });
    m_loggedDecider = decider;
}

void EntryHost::waitForSignal()
{
    m_signals.async_wait([this](const boost::system::error_code &error, int signal) {
        if (error) {
            return;
        }
        if (signal == SIGHUP) {
            reload();
        } else {
            beginShutdown();
        }
        waitForSignal();
    });
}

void EntryHost::beginStop()
{
    asio::post(m_io, [this] {
        beginShutdown();
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

/**
 * Applies the bounds of changed settings. Changed addresses take effect at the next start, because callers use the old
 * ones until then.
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
            const bool addressesChanged = toString(settings.callers) != toString(m_settings.callers)
                || toString(settings.readiness) != toString(m_settings.readiness)
                || toString(settings.store) != toString(m_settings.store);
            m_settings.bounds = settings.bounds;
            // The platform may go by either grace period.
            m_context.graceEnds =
                std::min(m_context.graceEnds, m_context.stoppingSince + m_settings.bounds.shutdownGrace);
            logEvent("reloaded",
                     { { "host", m_settings.hostId }, { "restart_needed", addressesChanged ? "yes" : "no" } });
            return {};
        },
        [](const state::Failure &failure) {
            logFailure("reload_failed", failure);
        });
}

void EntryHost::beginShutdown()
{
    if (m_context.stopping) {
        return;
    }
    m_context.stopping = true;
    m_context.stoppingSince = m_context.now();
    m_context.graceEnds = m_context.stoppingSince + m_settings.bounds.shutdownGrace;
    logEvent("stopping",
             { { "host", m_settings.hostId },
               { "running", std::to_string(m_scheduler->running()) },
               { "waiting", std::to_string(m_scheduler->waiting()) } });
}

void EntryHost::continueShutdown(state::Time now)
{
    const state::Duration elapsed = now - m_context.stoppingSince;
    if (elapsed < IdleCloseDelay) {
        return;
    }
    bool busy = false;
    for (const auto &weak : m_sessions) {
        if (const auto session = weak.lock()) {
            session->closeIfIdle();
            busy = busy || !session->idle();
        }
    }
    if (!busy || now > m_context.graceEnds - ShutdownMargin) {
        m_io.stop();
    }
}

/** Returns whether the host can serve and, if revocation is strict, can confirm that its keys are still valid. */
bool EntryHost::ready() const
{
    const auto decider = m_fleet.directory().decider(m_context.now());
    const bool canPlaceRequests = m_scheduler->targets().size() > 0 || (decider && *decider != m_settings.hostId);
    if (m_context.stopping || !m_context.table || !canPlaceRequests) {
        return false;
    }
    return !m_settings.bounds.strictRevocation
        || m_context.now() - m_context.configurationConfirmed < m_settings.bounds.revocation;
}

HttpResponse EntryHost::readinessResponse(const HttpRequest &request) const
{
    const bool isReady = ready();
    return makeResponse(request,
                        isReady ? http::status::ok : http::status::service_unavailable,
                        "text/plain",
                        isReady ? "ready\n" : "not ready\n");
}

HttpResponse EntryHost::metricsResponse(const HttpRequest &request) const
{
    std::string text = m_context.metrics.text();
    text += encodeBuildInfo();
    text += "sapphirecove_requests_waiting " + std::to_string(m_scheduler->waiting()) + '\n';
    text += "sapphirecove_requests_running " + std::to_string(m_scheduler->running()) + '\n';
    text += "sapphirecove_peers_live " + std::to_string(m_scheduler->peers().liveCount()) + '\n';
    text += "sapphirecove_decider " + std::to_string(m_fleet.isActiveDecider(m_context.now()) ? 1 : 0) + '\n';
    text += "sapphirecove_requests_asked " + std::to_string(m_fleet.awaitingDecision()) + '\n';
    text += "sapphirecove_targets " + std::to_string(m_scheduler->targets().size()) + '\n';
    text += "sapphirecove_suspect_parts " + std::to_string(m_scheduler->suspects().suspectCount()) + '\n';
    text += "sapphirecove_blocked_parts " + std::to_string(m_scheduler->suspects().blockedCount()) + '\n';
    text += "sapphirecove_suspects_dropped_total " + std::to_string(m_scheduler->suspects().droppedSuspects()) + '\n';
    text += "sapphirecove_suspects_unshared " + std::to_string(m_scheduler->suspects().unsharedSuspects()) + '\n';
    text += "sapphirecove_target_limits " + std::to_string(m_scheduler->statements().inForce()) + '\n';
    const auto &statements = m_scheduler->statements();
    const std::size_t backingOff = statements.backingOffCount(m_context.now());
    text += "sapphirecove_targets_leaving " + std::to_string(statements.leavingCount()) + '\n';
    text += "sapphirecove_evacuated_domains " + std::to_string(m_scheduler->evacuations().evacuatedCount()) + '\n';
    text += "sapphirecove_targets_cold " + std::to_string(statements.coldCount(m_context.now())) + '\n';
    text += "sapphirecove_quota_given_back " + std::to_string(m_scheduler->quotas().givenBack()) + '\n';
    text += "sapphirecove_targets_backing_off " + std::to_string(backingOff) + '\n';
    return makeResponse(request, http::status::ok, MetricsMediaType, std::move(text));
}

} // namespace sapphirecove::transport::entry
