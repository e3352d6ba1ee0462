#include "transport/entry/storefollower.h"

#include "coordination/entry/confirmation.h"
#include "protocol/hostrecordcodec.h"
#include "protocol/partevidencecodec.h"
#include "protocol/quotausecodec.h"
#include "transport/entry/exchange.h"
#include "transport/entry/format.h"
#include "transport/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <exception>
#include <map>
#include <set>
#include <utility>

namespace sapphirecove::transport::entry {

namespace asio = boost::asio;

namespace {

/** Fraction of a wait that the store has certainly waited if its response arrives after the whole wait. */
constexpr double ConfirmedWaitShare = 0.9;

/** Timeout of a call in addition to its wait; a slow store responds within some hundred milliseconds. */
constexpr state::Duration CallTimeout = std::chrono::milliseconds(800);

/**
 * Shortest interval between two reads of the targets, whose changes come in bursts. It is a fraction of the time within
 * which the removal of a target must be noticed.
 */
constexpr state::Duration MinTargetsReadInterval = std::chrono::milliseconds(400);

/** Delays after failed calls: doubled from the shortest to the longest. */
constexpr state::Duration MinRetryDelay = std::chrono::milliseconds(100);
constexpr state::Duration MaxRetryDelay = std::chrono::milliseconds(800);

/** Delay after a failed call for the targets at a host that is no candidate decider; there may be hundreds of them. */
constexpr state::Duration OtherHostsRetryDelay = std::chrono::milliseconds(1500);

/**
 * Longest wait of a candidate decider's call on the operator's topic. Other hosts rely on its confirmations, which must
 * therefore be recent.
 */
constexpr state::Duration MaxCandidateWait = std::chrono::milliseconds(1000);

/** Fraction of the largest age of a confirmation from which on a host reads the store itself. */
constexpr double DirectReadAgeShare = 0.6;

/** Time after its start for which a host waits for its first configuration from another host. */
constexpr state::Duration PeerConfigurationWait = std::chrono::milliseconds(2500);

/** Time after its start for which a candidate decider waits for the first answer of another host. */
constexpr state::Duration FirstAnswerWait = std::chrono::milliseconds(1000);

/** Longest timeout of a call for the newest records: all hosts may read a large configuration over a region's link. */
constexpr state::Duration MaxNewestTimeout = std::chrono::milliseconds(6400);

/** Interval of checks whether a host has to read the store itself. */
constexpr state::Duration RoleCheckInterval = std::chrono::milliseconds(50);

/** Time after the first start of the deployment by which all hosts have announced themselves. */
constexpr state::Duration FirstStartAnnounceTime = std::chrono::milliseconds(1500);

/** Interval of checks whether the list of hosts has to be read again, as is the case while no other host responds. */
constexpr state::Duration HostListCheckInterval = std::chrono::seconds(3);

/** Time after a restore in which the operator's lost records may be written again. */
constexpr state::Duration RewriteWindow = std::chrono::seconds(30);

/** Interval of checks whether this host has to announce itself again. */
constexpr state::Duration AnnouncementCheckInterval = std::chrono::milliseconds(750);

/** Interval of checks whether state of the decider is due to be stored; bounds what a failure of all hosts loses. */
constexpr state::Duration DeciderStateCheckInterval = std::chrono::milliseconds(100);

/** Intervals at which rollouts are evaluated, and at which hosts that publish no outcomes read the published ones. */
constexpr state::Duration RolloutCheckInterval = std::chrono::milliseconds(50);
constexpr state::Duration RolloutStatusInterval = std::chrono::milliseconds(1000);

/** Interval at which a host reads the outcome of an order whose time is over. */
constexpr state::Duration RolloutOutcomeInterval = std::chrono::seconds(5);

/** Most problems with the regions of one configuration that are logged. */
constexpr std::size_t MaxRegionProblems = 32;

/** Delay before a task that ended by an exception runs again. */
constexpr state::Duration TaskRestartDelay = std::chrono::milliseconds(500);

/** Keys of the records with the quota usage and with the evidence against blocked parts. */
constexpr std::string_view QuotaUseKey = "use";
constexpr std::string_view BlockedPartsKey = "parts";

/** Time after the store is available again in which entries that expired in the meantime may still be missing. */
constexpr state::Duration ExpiredEntriesWindow = std::chrono::milliseconds(2000);

std::string_view nameOf(StoreTopic topic)
{
    switch (topic) {
    case StoreTopic::Operator:
        return "operator";
    case StoreTopic::Targets:
        return "targets";
    case StoreTopic::RolloutStatus:
        return "rollout_status";
    case StoreTopic::Hosts:
        return "hosts";
    case StoreTopic::QuotaUse:
        return "quota_use";
    case StoreTopic::BlockedParts:
        return "blocked_parts";
    }
    return "unknown";
}

/**
 * Runs @p apply, which decodes and applies one record. Passes its failure to @p onFailure, and an exception too, which
 * must not keep the records after it from being applied.
 */
template <typename Apply, typename OnFailure>
auto applyRecord(const StoreRecord &record, const Apply &apply, const OnFailure &onFailure)
{
    try {
        return state::handleFailure(apply, onFailure);
    } catch (const std::exception &exception) {
        return onFailure(state::Failure{ "store.apply", record.key, exception.what() });
    }
}

} // namespace

StoreFollower::StoreFollower(ServingContext &context, MetadataStore &store)
    : m_context(context)
    , m_store(store)
{
}

state::Result<void> StoreFollower::bind()
{
    BOOST_LEAF_ASSIGN(m_relay, OperatorRelay::create(m_context, [this] {
                          return stateForPeers();
                      }));
    return {};
}

void StoreFollower::start()
{
    m_relay->start();
    m_started = m_context.now();
    asio::co_spawn(m_context.io, supervise("operator", &StoreFollower::followOperator), asio::detached);
    asio::co_spawn(m_context.io, supervise("targets", &StoreFollower::followTargets), asio::detached);
    asio::co_spawn(m_context.io, supervise("hosts", &StoreFollower::discoverHosts), asio::detached);
    asio::co_spawn(m_context.io, supervise("decider_state", &StoreFollower::persistDeciderState), asio::detached);
    asio::co_spawn(m_context.io, supervise("rollouts", &StoreFollower::evaluateRollouts), asio::detached);
    asio::co_spawn(m_context.io, supervise("rollout_status", &StoreFollower::publishRollouts), asio::detached);
}

/** Runs @p task again whenever it ends by an exception, which would otherwise end it without a trace. */
asio::awaitable<void> StoreFollower::supervise(std::string_view name, Task task)
{
    for (;;) {
        try {
            co_await (this->*task)();
            co_return;
        } catch (const std::exception &exception) {
            m_context.metrics.count("store_tasks_failed_total");
            logFailure("store_task_failed", { "store.follow", std::string(name), exception.what() });
        }
        co_await sleepFor(TaskRestartDelay);
    }
}

asio::awaitable<void> StoreFollower::followOperator()
{
    m_operatorTopic.next.reset(); // An earlier run may have ended before it had applied a page.
    if (!std::exchange(m_stateRestored, true)) {
        co_await restoreQuotaUse();
        co_await restoreBlockedParts();
    }
    for (;;) {
        const bool newer = isOutdated(knownVersion());
        const bool readsStore = m_context.fleet.directory().isCandidate(m_context.now());
        if (newer && (!readsStore || m_storeOutdated || !m_context.table) && co_await fetchFromPeer()) {
            continue;
        }
        if (confirmedByPeers(m_context.now()) || awaitsPeerConfiguration(m_context.now())) {
            co_await sleepFor(RoleCheckInterval);
            continue;
        }
        // The first call after a failure does not wait, so that the configuration is confirmed at once.
        const state::Time sent = m_context.now();
        const std::uint64_t announced = m_context.announcedVersion;
        const state::Duration usual =
            coordination::entry::confirmationWait(sent - m_context.configurationConfirmed, m_context.settings.bounds);
        const bool candidate = m_context.fleet.directory().isCandidate(sent);
        const state::Duration wait =
            m_operatorTopic.unavailable || !candidate ? state::Duration::zero() : std::min(usual, MaxCandidateWait);
        const bool waits = m_operatorTopic.next.has_value() && wait > state::Duration::zero();
        const bool complete = !m_operatorTopic.next.has_value();
        const StorePage page = co_await read(StoreTopic::Operator, m_operatorTopic, wait);
        if (page.failure) {
            co_await sleepFor(m_operatorTopic.retryDelay);
            continue;
        }
        if (page.historyLost) {
            continue;
        }
        applyOperator(page.records, complete, { page.era.value_or(0), page.next });
        // A store that came back from a copy may have an older configuration than the fleet.
        m_storeOutdated = announced > knownVersion();
        if (m_storeOutdated) {
            logEvent("store_configuration_outdated",
                     { { "version", std::to_string(knownVersion()) }, { "announced", std::to_string(announced) } });
            co_await sleepFor(RoleCheckInterval);
            continue;
        }
        const state::Duration waited = waits ? wait : state::Duration::zero();
        m_context.configurationConfirmed =
            std::max(m_context.configurationConfirmed, confirmationTime(page, sent, waited));
    }
}

/** Returns the version of the configuration in force; 0 before the first one. */
std::uint64_t StoreFollower::knownVersion() const
{
    return m_context.table ? m_context.table->version() : 0;
}

/**
 * Returns the time up to which @p page shows that nothing else was stored. It is the response to a call at @p sent that
 * could wait for @p wait.
 */
state::Time StoreFollower::confirmationTime(const StorePage &page, state::Time sent, state::Duration wait) const
{
    const bool waitedFully = page.records.empty() && m_context.now() - sent >= wait;
    return waitedFully ? sent + state::scaled(wait, ConfirmedWaitShare) : sent;
}

/** Returns whether other hosts confirm the configuration of this one, so that it need not read the store. */
bool StoreFollower::confirmedByPeers(state::Time now) const
{
    if (!m_context.table || m_context.fleet.directory().isCandidate(now)) {
        return false;
    }
    const auto oldest =
        state::scaled(coordination::entry::maxConfirmationAge(m_context.settings.bounds), DirectReadAgeShare);
    return now - m_context.configurationConfirmed < oldest && m_context.announcedVersion <= m_context.table->version();
}

/** Fetches a newer configuration from the host that announced it; returns whether one was applied. */
asio::awaitable<bool> StoreFollower::fetchFromPeer()
{
    const state::Time asked = m_context.now();
    const std::uint64_t before = knownVersion();
    const auto source = newerConfigurationSource(asked);
    if (!source) {
        co_return false;
    }
    const auto fetched = co_await m_relay->fetch(*source);
    if (!fetched) {
        co_return false;
    }
    std::vector<StoreRecord> records;
    for (const auto &[key, document] : fetched->state.records) {
        records.push_back({ key, document });
    }
    // Applied before the records count as read, whether or not they bring a newer configuration.
    applyOperator(records, true, { fetched->state.era.value_or(0), fetched->state.next });
    if (!m_context.table || m_context.table->version() <= before) {
        co_return false;
    }
    adoptOffset(fetched->state);
    m_context.configurationConfirmed = std::max(m_context.configurationConfirmed, asked - fetched->age);
    co_return true;
}

/** Returns the address of a host that has the announced configuration: a candidate decider, or any that reports it. */
std::optional<protocol::Endpoint> StoreFollower::newerConfigurationSource(state::Time now) const
{
    const std::uint64_t version = m_context.announcedVersion;
    if (const auto *candidate = m_context.fleet.directory().configurationSource(version, now)) {
        return protocol::Endpoint{ candidate->address, candidate->port };
    }
    if (const auto *peer = m_context.scheduler.peers().findWithConfiguration(version)) {
        return protocol::Endpoint{ peer->report.address, peer->report.port };
    }
    return std::nullopt;
}

/** Returns the state that this host can provide to others; nothing before it knows the store's records. */
std::optional<OperatorRelay::EncodedState> StoreFollower::stateForPeers()
{
    if (!m_context.table || !m_operatorTopic.next) {
        return std::nullopt;
    }
    if (m_encodedRecords.empty()) {
        m_encodedRecords = OperatorRelay::compress({ *m_operatorTopic.next, m_operatorTopic.era, m_operatorRecords });
    }
    return OperatorRelay::EncodedState{ m_context.now() - m_context.configurationConfirmed, m_encodedRecords };
}

/**
 * Returns whether this host has just started and waits for its configuration from another host. If a whole fleet that
 * starts at once read the store, the copies would saturate the link between the regions.
 */
bool StoreFollower::awaitsPeerConfiguration(state::Time now) const
{
    // At the first start of a deployment, there is time and no host has a configuration yet.
    if (m_context.table || m_context.settings.firstStart || now - m_started > PeerConfigurationWait) {
        return false;
    }
    const auto &directory = m_context.fleet.directory();
    if (!m_hostsKnown || !directory.isCandidate(now)) {
        return true;
    }
    // The store's configuration may be older than that of the other hosts, whose answers tell.
    const bool mayHear = directory.size() > 1 && now - m_started < FirstAnswerWait;
    return mayHear && directory.respondingHosts(now) == 0;
}

/** Returns whether this host is the decider, which writes to the store for the fleet. */
bool StoreFollower::isDecider() const
{
    const auto decider = m_context.fleet.directory().decider(m_context.now());
    return decider && *decider == m_context.settings.hostId;
}

asio::awaitable<void> StoreFollower::followTargets()
{
    m_targetsTopic.next.reset(); // An earlier run may have ended before it had applied a page.
    for (;;) {
        if (!m_context.fleet.needsTargets(m_context.now())) {
            m_context.targetsCurrent = false;
            co_await sleepFor(RoleCheckInterval);
            continue;
        }
        const bool complete = !m_targetsTopic.next.has_value();
        // The first call after a failure does not wait, so that expired entries are noticed at once.
        const bool waits = !m_targetsTopic.unavailable && m_context.targetsCurrent;
        const state::Duration wait =
            waits ? coordination::entry::targetsWait(m_context.settings.bounds) : state::Duration::zero();
        const state::Time sent = m_context.now();
        const StorePage page = co_await read(StoreTopic::Targets, m_targetsTopic, wait);
        m_context.targetsCurrent = m_context.targetsCurrent || !page.historyLost;
        if (page.failure) {
            const bool candidate = m_context.fleet.directory().isCandidate(m_context.now());
            co_await sleepFor(candidate ? m_targetsTopic.retryDelay : OtherHostsRetryDelay);
            continue;
        }
        if (page.historyLost) {
            continue;
        }
        m_context.targetsCurrent = true;
        m_context.targetsConfirmed = confirmationTime(page, sent, wait);
        applyTargets(page, complete, m_targetsTopic);
        co_await sleepFor(MinTargetsReadInterval);
    }
}

/** Appends this host to the list of hosts. */
asio::awaitable<void> StoreFollower::announceHost()
{
    const auto &settings = m_context.settings;
    const std::string record = protocol::encodeHostRecord(*m_context.fleet.directory().find(settings.hostId));
    state::Duration wait = MinRetryDelay;
    for (;;) {
        const StoreAppendResult announced =
            co_await m_store.append(StoreTopic::Hosts, settings.hostId, record, std::nullopt, CallTimeout);
        if (announced.outcome == StoreAppendResult::Outcome::Stored) {
            m_announcedInEra = announced.era;
            co_return;
        }
        logFailure("host_not_announced", announced.failure.value_or(state::Failure()));
        co_await sleepFor(wait);
        wait = std::min(MaxRetryDelay, wait * 2);
    }
}

/** Announces this host and reads the list of hosts. Deciders learn of hosts that join later from their reports. */
asio::awaitable<void> StoreFollower::discoverHosts()
{
    co_await announceHost();
    if (m_context.settings.firstStart) {
        co_await sleepFor(FirstStartAnnounceTime);
    }
    for (;;) {
        const StorePage page = co_await m_store.readNewest(StoreTopic::Hosts, CallTimeout);
        if (page.failure) {
            logFailure("hosts_not_read", *page.failure);
            m_hostsKnown = true;
            co_await sleepFor(MaxRetryDelay);
            continue;
        }
        for (const auto &record : page.records) {
            if (record.key == m_context.settings.hostId || !record.value) {
                continue;
            }
            applyRecord(
                record,
                [&]() -> state::Result<void> {
                    BOOST_LEAF_AUTO(host, protocol::decodeHostRecord(record.key, *record.value));
                    m_context.scheduler.peers().addPeer(host.name, host.address, host.port, m_context.now());
                    m_context.fleet.directory().learn(std::move(host));
                    return {};
                },
                [](const state::Failure &failure) {
                    logFailure("host_record_rejected", failure);
                });
        }
        m_hostsKnown = true;
        const state::Time read = m_context.now();
        do {
            co_await sleepFor(AnnouncementCheckInterval);
            // The store may have lost what this host announced before a restore.
            if (m_announcedInEra && m_context.storeEra > *m_announcedInEra) {
                co_await announceHost();
            }
        } while (m_context.now() - read < HostListCheckInterval
                 || m_context.fleet.directory().respondingHosts(m_context.now()) > 0);
    }
}

/**
 * Reads the customers' quota usage before this host started. For customers without a stored usage,
 * QuotaTable::configure() counts a fixed share of the quota as used.
 */
asio::awaitable<void> StoreFollower::restoreQuotaUse()
{
    if (m_context.settings.firstStart) {
        co_return;
    }
    const StorePage page = co_await m_store.readNewest(StoreTopic::QuotaUse, CallTimeout);
    if (page.failure) {
        logFailure("quota_use_not_read", *page.failure);
        co_return;
    }
    for (const auto &record : page.records) {
        if (record.key != QuotaUseKey || !record.value) {
            continue;
        }
        applyRecord(
            record,
            [&]() -> state::Result<void> {
                BOOST_LEAF_AUTO(use, protocol::decodeQuotaUse(*record.value));
                logEvent("quota_use_restored", { { "customers", std::to_string(use.size()) } });
                m_context.scheduler.quotas().restore(std::move(use));
                return {};
            },
            [](const state::Failure &failure) {
                logFailure("quota_use_rejected", failure);
            });
    }
}

/** Reads which parts of prompts were blocked before this host started, so that it does not send requests with them. */
asio::awaitable<void> StoreFollower::restoreBlockedParts()
{
    if (m_context.settings.firstStart) {
        co_return;
    }
    const StorePage page = co_await m_store.readNewest(StoreTopic::BlockedParts, CallTimeout);
    if (page.failure) {
        logFailure("blocked_parts_not_read", *page.failure);
        co_return;
    }
    auto &suspects = m_context.scheduler.suspects();
    for (const auto &record : page.records) {
        if (record.key != BlockedPartsKey || !record.value) {
            continue;
        }
        applyRecord(
            record,
            [&]() -> state::Result<void> {
                BOOST_LEAF_AUTO(evidence, protocol::decodePartEvidence(*record.value));
                logEvent("blocked_parts_restored", { { "crashes", std::to_string(evidence.size()) } });
                suspects.merge(evidence, m_context.now());
                return {};
            },
            [](const state::Failure &failure) {
                logFailure("blocked_parts_rejected", failure);
            });
    }
    suspects.evidenceStored(suspects.blockedDigest());
}

/** Stores what a failure of all hosts must not lose. Of hosts with the same view, the decider writes. */
asio::awaitable<void> StoreFollower::persistDeciderState()
{
    for (;;) {
        co_await sleepFor(DeciderStateCheckInterval);
        if (m_context.table && isDecider()) {
            co_await persistQuotaUse();
            co_await persistBlockedParts();
        }
    }
}

asio::awaitable<void> StoreFollower::persistQuotaUse()
{
    const auto use = m_context.scheduler.quotas().useToStore(m_context.now());
    if (!use) {
        co_return;
    }
    const StoreAppendResult result = co_await m_store.append(
        StoreTopic::QuotaUse, std::string(QuotaUseKey), protocol::encodeQuotaUse(*use), std::nullopt, CallTimeout);
    if (result.outcome != StoreAppendResult::Outcome::Stored) {
        m_context.metrics.count("quota_use_unstored_total");
    }
}

asio::awaitable<void> StoreFollower::persistBlockedParts()
{
    auto &suspects = m_context.scheduler.suspects();
    const auto evidence = suspects.evidenceToStore(m_context.now());
    if (!evidence || m_context.now() < m_blockedPartsRetryAt) {
        co_return;
    }
    const std::uint32_t digest = suspects.blockedDigest();
    const StoreAppendResult result = co_await m_store.append(StoreTopic::BlockedParts,
                                                             std::string(BlockedPartsKey),
                                                             protocol::encodePartEvidence(*evidence),
                                                             std::nullopt,
                                                             CallTimeout);
    if (result.outcome == StoreAppendResult::Outcome::Stored) {
        suspects.evidenceStored(digest);
        co_return;
    }
    m_context.metrics.count("blocked_parts_unstored_total");
    m_blockedPartsRetryAt = m_context.now() + MaxRetryDelay;
}

/** Evaluates the rollouts. Calls to the store, which may take long, must not hold this up. */
asio::awaitable<void> StoreFollower::evaluateRollouts()
{
    for (;;) {
        co_await sleepFor(RolloutCheckInterval);
        for (const auto &status : m_context.scheduler.evaluateRollouts(isDecider(), m_context.now())) {
            logEvent("rollout_judged",
                     { { "service", status.service },
                       { "version", status.targetVersion },
                       { "done", status.state == state::entry::RolloutState::Done ? "yes" : "no" } });
            m_unpublishedRollouts[status.service] = status.state;
        }
        logRolloutProgress();
    }
}

/** Logs the rollouts whose phase has changed or that were judged, with the counts that led to it. */
void StoreFollower::logRolloutProgress()
{
    const auto number = [](double count) {
        return std::to_string(static_cast<std::uint64_t>(count));
    };
    for (const auto &progress : m_context.scheduler.rollouts().takeProgress()) {
        const auto &[target, others] = progress.counts;
        logEvent("rollout_progress",
                 { { "service", progress.service },
                   { "version", progress.targetVersion },
                   { "phase", progress.phase == coordination::entry::RolloutPhase::Trial ? "trial" : "switch" },
                   { "age_s", std::to_string(progress.ageSeconds) },
                   { "allowance", number(progress.allowance) },
                   { "sent", number(target.dispatched) },
                   { "sent_all", number(target.dispatched + others.dispatched) },
                   { "good", number(target.good) },
                   { "bad", number(target.bad) },
                   { "others_good", number(others.good) },
                   { "others_bad", number(others.bad) },
                   { "latency", std::to_string(target.meanLatency()) },
                   { "others_latency", std::to_string(others.meanLatency()) },
                   { "route", progress.route },
                   { "reason", std::string(progress.reason) } });
    }
}

/** Publishes the states of rollouts if this host is the decider, and reads those that others have published. */
asio::awaitable<void> StoreFollower::publishRollouts()
{
    state::Time statusRead{};
    for (;;) {
        co_await sleepFor(RolloutCheckInterval);
        auto &rollouts = m_context.scheduler.rollouts();
        const auto states = rollouts.states();
        if (std::exchange(m_rolloutsUnconfirmed, false)) {
            rollouts.storeAgain();
            for (const auto &status : states) {
                if (status.state != state::entry::RolloutState::Running) {
                    m_unpublishedRollouts[status.service] = status.state;
                }
            }
        }
        bool anyRunning = false;
        const bool publishes = isDecider();
        for (const auto &status : states) {
            const bool running = status.state == state::entry::RolloutState::Running;
            anyRunning = anyRunning || running;
            const bool changed =
                running ? !rollouts.isAnnounced(status.service) : m_unpublishedRollouts.contains(status.service);
            if (!publishes || !changed) {
                continue;
            }
            const bool published = co_await publishRolloutStatus(status);
            if (published && !running) {
                m_unpublishedRollouts.erase(status.service);
            }
        }
        const state::Time now = m_context.now();
        const bool reads = anyRunning && !publishes && m_context.fleet.directory().isCandidate(now);
        // Any host may have to decide later, and must not take an order for running that has ended long ago.
        const bool readsOutcome = rollouts.anyOverdue(now);
        const state::Duration interval = reads ? RolloutStatusInterval : RolloutOutcomeInterval;
        if ((reads || readsOutcome) && now - statusRead >= interval) {
            statusRead = now;
            co_await readRolloutStatus();
        }
    }
}

/** Applies the published outcomes; returns the end of their topic, or nothing if it could not be read. */
asio::awaitable<std::optional<StoreFollower::TopicEnd>> StoreFollower::readRolloutStatus()
{
    const StorePage page = co_await m_store.readNewest(StoreTopic::RolloutStatus, CallTimeout);
    if (page.failure) {
        logFailure("rollout_status_not_read", *page.failure);
        co_return std::nullopt;
    }
    for (const auto &record : page.records) {
        const auto service = m_context.codec.rolloutService(record.key);
        if (!service || !record.value) {
            continue;
        }
        applyRecord(
            record,
            [&]() -> state::Result<void> {
                BOOST_LEAF_AUTO(status, m_context.codec.decodeRolloutStatus(*service, *record.value));
                m_context.scheduler.rollouts().published(status, m_context.now());
                return {};
            },
            [](const state::Failure &failure) {
                logFailure("rollout_status_rejected", failure);
            });
    }
    co_return TopicEnd{ page.next, page.era };
}

/**
 * Publishes @p status unless another outcome of the same order is published: the append succeeds only if the topic
 * still ends where it was read. Returns whether this host knows the status that is published now.
 */
asio::awaitable<bool> StoreFollower::publishRolloutStatus(state::entry::RolloutStatus status)
{
    const auto end = co_await readRolloutStatus();
    if (!end) {
        co_return false;
    }
    const auto states = m_context.scheduler.rollouts().states();
    const bool stillCurrent = std::any_of(states.begin(), states.end(), [&](const auto &current) {
        return current.service == status.service && current.targetVersion == status.targetVersion
            && current.state == status.state;
    });
    const bool isRunning = status.state == state::entry::RolloutState::Running;
    if (!stillCurrent || (isRunning && m_context.scheduler.rollouts().isAnnounced(status.service))) {
        co_return true; // Another host has published an outcome, or the order, meanwhile.
    }
    const StoreAppendResult stored = co_await m_store.append(StoreTopic::RolloutStatus,
                                                             m_context.codec.rolloutKey(status.service),
                                                             m_context.codec.encodeRolloutStatus(status),
                                                             end->offset,
                                                             CallTimeout);
    // In another era, the same offset may follow other records.
    const bool published = stored.outcome == StoreAppendResult::Outcome::Stored && stored.era == end->era;
    if (isRunning && (published || stored.outcome == StoreAppendResult::Outcome::Unknown)) {
        m_context.scheduler.rollouts().announced(status, published);
    }
    logEvent("rollout_published",
             { { "service", status.service },
               { "version", status.targetVersion },
               { "running", isRunning ? "yes" : "no" },
               { "done", status.state == state::entry::RolloutState::Done ? "yes" : "no" },
               { "stored", published ? "yes" : "no" } });
    co_return published;
}

asio::awaitable<StorePage> StoreFollower::read(StoreTopic topic, TopicState &topicState, state::Duration wait)
{
    StorePage page;
    const int sequence = static_cast<int>(topic);
    m_context.storeReach.asked(sequence, m_context.now() + (topicState.next ? wait : state::Duration::zero()));
    if (topicState.next) {
        page = co_await m_store.readSince(topic, *topicState.next, wait, wait + CallTimeout);
    } else {
        // The timeout grows: one that is too short while all hosts read at once would fail for all of them repeatedly.
        topicState.newestTimeout = std::clamp(topicState.newestTimeout * 2, CallTimeout, MaxNewestTimeout);
        page = co_await m_store.readNewest(topic, topicState.newestTimeout);
        if (!page.failure) {
            topicState.newestTimeout = state::Duration::zero();
        }
    }
    applyEra(topic, topicState, page);
    m_context.storeReach.ended(sequence, !page.failure, m_context.now());
    recordReadResult(topic, topicState, page);
    co_return page;
}

/**
 * Checks the era of @p page. If the offset from which the topic was read belongs to another era, its records are none
 * of those that follow the ones read before, and the newest record of each key has to be read.
 */
void StoreFollower::applyEra(StoreTopic topic, TopicState &topicState, StorePage &page)
{
    if (!page.era) {
        return; // No response, or a store that states no era.
    }
    if (m_era.current() && *page.era < *m_era.current()) {
        m_context.metrics.count("store_responses_outdated_total");
        page = {};
        page.failure = state::Failure{ "store.era", std::string(nameOf(topic)), "response from before a restore" };
        return;
    }
    observeEra(page.era);
    if (topicState.era == page.era) {
        return;
    }
    const bool readOn = topicState.next.has_value();
    logEvent("store_era",
             { { "topic", std::string(nameOf(topic)) },
               { "era", std::to_string(*page.era) },
               { "before", topicState.era ? std::to_string(*topicState.era) : "none" },
               { "read_from", readOn ? std::to_string(*topicState.next) : "newest" },
               { "next", std::to_string(page.next) },
               { "records", std::to_string(page.records.size()) },
               { "history_lost", page.historyLost ? "yes" : "no" } });
    topicState.era = page.era;
    if (!readOn) {
        return;
    }
    topicState.next.reset();
    page.records.clear();
    page.historyLost = !page.failure;
}

/** Returns whether the store came back from a copy so recently that it may not have been written to again. */
bool StoreFollower::mayHoldOldRecords() const
{
    return m_restoredAt != state::Time() && m_context.now() - m_restoredAt < RewriteWindow;
}

/** Processes the era that the store or another host states. */
void StoreFollower::observeEra(std::optional<std::uint64_t> era)
{
    const auto before = m_era.current();
    m_context.storeEra = std::max(m_context.storeEra, era.value_or(0));
    if (m_era.observe(era) != coordination::entry::StoreEra::Change::Restored) {
        return;
    }
    m_context.metrics.count("store_restores_total");
    m_encodedRecords.clear(); // They name the offset in the earlier era.
    m_context.scheduler.quotas().storeAgain();
    m_context.scheduler.suspects().storeAgain();
    m_rolloutsUnconfirmed = true;
    m_restoredAt = m_context.now();
    logEvent("store_restored", { { "era", std::to_string(*era) }, { "before", std::to_string(*before) } });
}

/** Takes over the offset to read the operator's topic from that belongs to records of another host. */
void StoreFollower::adoptOffset(const protocol::OperatorState &fetched)
{
    const bool isOutdated = m_operatorTopic.era && (!fetched.era || *fetched.era < *m_operatorTopic.era);
    if (isOutdated) {
        return;
    }
    const bool sameEra = fetched.era == m_operatorTopic.era;
    m_operatorTopic.next = sameEra ? std::max(m_operatorTopic.next.value_or(0), fetched.next) : fetched.next;
    m_operatorTopic.era = fetched.era;
    observeEra(fetched.era);
}

void StoreFollower::recordReadResult(StoreTopic topic, TopicState &topicState, const StorePage &page)
{
    const std::string name(nameOf(topic));
    m_context.metrics.count("store_calls_total");
    if (page.failure) {
        if (!topicState.unavailable) {
            logFailure("store_lost", { page.failure->step, page.failure->peer, name + ": " + page.failure->detail });
        }
        m_context.metrics.count("store_failures_total");
        topicState.retryDelay =
            topicState.unavailable ? std::min(MaxRetryDelay, topicState.retryDelay * 2) : MinRetryDelay;
        topicState.unavailable = true;
        return;
    }
    if (topicState.unavailable) {
        logEvent("store_regained", { { "topic", name } });
        topicState.recoveredAt = m_context.now();
    }
    topicState.unavailable = false;
    if (page.historyLost) {
        logEvent("store_history_lost", { { "topic", name } });
        topicState.next.reset();
        return;
    }
    topicState.next = page.next;
}

asio::awaitable<void> StoreFollower::sleepFor(state::Duration duration)
{
    asio::steady_timer timer(m_context.io, duration);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

/**
 * Applies records of the operator that were read up to @p position; they are all that the store has if @p complete is
 * true.
 */
void StoreFollower::applyOperator(const std::vector<StoreRecord> &records,
                                  bool complete,
                                  coordination::entry::TopicPosition position)
{
    // Another host may provide records from before those that this host knows.
    const coordination::entry::TopicPosition known{ m_operatorTopic.era.value_or(0), m_operatorTopic.next.value_or(0) };
    const bool outdated = position < known;
    if (!outdated) {
        applyEvacuations(records, complete, position);
    }
    // Only the newest sound configuration of a page is decoded, because configurations may come in quick succession.
    // After a restore they may be written again in another order.
    const bool inOrder = !mayHoldOldRecords();
    std::vector<const StoreRecord *> configurations;
    for (const auto &record : records) {
        if (!record.value) {
            continue;
        }
        const OperatorRecord kind = m_context.codec.classify(record.key);
        if (kind == OperatorRecord::Evacuation && outdated) {
            continue;
        }
        if (kind != OperatorRecord::Configuration) {
            provideToPeers(record);
        } else if (inOrder) {
            configurations.push_back(&record);
        } else {
            useConfiguration(record);
        }
    }
    while (!configurations.empty() && !useConfiguration(*configurations.back())) {
        configurations.pop_back();
    }
    for (const auto &record : records) {
        if (record.value && m_context.codec.classify(record.key) == OperatorRecord::RolloutOrder) {
            applyRollout(record);
        }
    }
}

/** Applies the evacuation orders in @p records and their removals; see applyOperator(). */
void StoreFollower::applyEvacuations(const std::vector<StoreRecord> &records,
                                     bool complete,
                                     coordination::entry::TopicPosition position)
{
    // The last record of a domain holds; all of them are known at the same position.
    std::map<std::string, bool> evacuated;
    for (const auto &record : records) {
        if (m_context.codec.classify(record.key) != OperatorRecord::Evacuation) {
            continue;
        }
        const auto domain = m_context.codec.evacuatedDomain(record.key);
        if (!domain) {
            logEvent("evacuation_rejected", { { "key", record.key }, { "reason", "no name of a failure domain" } });
            continue;
        }
        evacuated[*domain] = record.value.has_value();
        if (record.value && !m_context.codec.isEvacuation(*record.value)) {
            // The key alone says what is asked for.
            logEvent("evacuation_unreadable", { { "key", record.key }, { "offset", std::to_string(position.offset) } });
        }
        if (!record.value) {
            m_operatorRecords.erase(record.key);
            m_encodedRecords.clear();
        }
    }
    auto &evacuations = m_context.scheduler.evacuations();
    std::set<std::string, std::less<>> ordered;
    for (const auto &[domain, isOrdered] : evacuated) {
        if (isOrdered) {
            ordered.insert(domain);
        }
        if (!evacuations.recorded(domain, isOrdered, position)) {
            logEvent("evacuation_rejected", { { "failure_domain", domain }, { "reason", "too many failure domains" } });
        }
    }
    // A copy may lack orders that are written again.
    if (complete && !mayHoldOldRecords()) {
        evacuations.endOthers(ordered, position);
        std::erase_if(m_operatorRecords, [&](const auto &record) {
            const auto domain = m_context.codec.evacuatedDomain(record.first);
            return domain && !ordered.contains(*domain);
        });
        m_encodedRecords.clear();
    }
    m_context.fleet.decide(m_context.now());
}

/**
 * Puts a configuration in force if it is newer; returns whether it could be decoded. Other hosts must not get one that
 * this host does not use, such as that of a restored store.
 */
bool StoreFollower::useConfiguration(const StoreRecord &record)
{
    const auto inForce = applyConfiguration(record);
    if (inForce.value_or(false)) {
        provideToPeers(record);
    }
    return inForce.has_value();
}

/** Makes @p record the one of its key that other hosts get from this one. */
void StoreFollower::provideToPeers(const StoreRecord &record)
{
    m_operatorRecords[record.key] = *record.value;
    m_encodedRecords.clear();
}

/**
 * Puts the configuration in @p record in force. Returns false if it is not newer than the one in force, and nothing if
 * it cannot be decoded.
 */
std::optional<bool> StoreFollower::applyConfiguration(const StoreRecord &record)
{
    return applyRecord(
        record,
        [&]() -> state::Result<std::optional<bool>> {
            BOOST_LEAF_AUTO(table, m_context.codec.decodeConfiguration(*record.value));
            const std::uint64_t before = knownVersion();
            // A host without a configuration waits for the newest one, rather than serve one that was superseded.
            const bool usable = m_context.table ? table.version() > before : !isOutdated(table.version());
            if (!usable) {
                return std::optional(false);
            }
            const bool usageKnown = m_context.settings.firstStart || m_context.table;
            m_context.scheduler.quotas().configure(table, usageKnown, m_context.now());
            m_context.scheduler.configureColdTargets(table, m_context.now());
            logEvent("configuration_in_force",
                     { { "version", std::to_string(table.version()) },
                       { "before", std::to_string(before) },
                       { "routes", std::to_string(table.routes().size()) },
                       { "customers", std::to_string(table.customers().size()) } });
            m_context.table = std::make_shared<const state::entry::RoutingTable>(std::move(table));
            m_context.configurationInForce = m_context.now();
            logRegionProblems(*m_context.table);
            for (const auto &[id, exchange] : m_context.waitingExchanges) {
                exchange->configurationChanged();
            }
            return std::optional(true);
        },
        [](const state::Failure &failure) {
            logFailure("configuration_rejected", failure);
            return std::optional<bool>();
        });
}

/** Logs regions in @p table that are unknown, and routes and customers that have none in common. */
void StoreFollower::logRegionProblems(const state::entry::RoutingTable &table) const
{
    for (const auto &problem : m_context.scheduler.regionRules().problems(table, MaxRegionProblems)) {
        logEvent("configuration_region_invalid",
                 { { "version", std::to_string(table.version()) },
                   { "route", problem.route },
                   { "customer", problem.customer },
                   { "unknown_region", problem.region },
                   { "none_in_common", problem.region.empty() ? "yes" : "no" } });
    }
}

void StoreFollower::applyRollout(const StoreRecord &record)
{
    applyRecord(
        record,
        [&]() -> state::Result<void> {
            BOOST_LEAF_AUTO(order, m_context.codec.decodeRollout(*record.value));
            logEvent("rollout_ordered",
                     { { "service", order.service },
                       { "version", order.targetVersion },
                       { "duration_s", std::to_string(order.durationSeconds) } });
            m_context.scheduler.rollouts().ordered(order, m_context.now(), mayHoldOldRecords());
            return {};
        },
        [](const state::Failure &failure) {
            logFailure("rollout_rejected", failure);
        });
}

/** Returns whether @p entry names a port of this host, or of another one that uses the same ports for callers. */
bool StoreFollower::isHostAddress(const state::entry::TargetEntry &entry) const
{
    const auto &settings = m_context.settings;
    const bool isListener = entry.port == settings.callers.port || entry.port == settings.readiness.port;
    if (entry.address == settings.callers.address || entry.address == settings.address) {
        return isListener || entry.port == settings.peerPort;
    }
    const auto &peers = m_context.scheduler.peers().peers();
    return std::any_of(peers.begin(), peers.end(), [&](const auto &peer) {
        const auto &report = peer.second.report;
        return report.address == entry.address && (isListener || report.port == entry.port);
    });
}

void StoreFollower::applyTargets(const StorePage &page, bool complete, const TopicState &topicState)
{
    const state::Time now = m_context.now();
    auto &targets = m_context.scheduler.targets();
    const bool storeWasUnavailable =
        topicState.recoveredAt != state::Time() && now - topicState.recoveredAt < ExpiredEntriesWindow;
    std::vector<std::string> listed;
    for (const auto &record : page.records) {
        if (!record.value) {
            targets.removed(record.key, storeWasUnavailable, now);
            m_context.pool.closeAll(record.key);
            logEvent("target_removed",
                     { { "target", record.key }, { "store_was_away", storeWasUnavailable ? "yes" : "no" } });
            continue;
        }
        applyRecord(
            record,
            [&]() -> state::Result<void> {
                BOOST_LEAF_AUTO(entry, m_context.codec.decodeTarget(record.key, *record.value));
                if (isHostAddress(entry)) {
                    return state::fail("target.check", record.key, "address of a host of this deployment");
                }
                const auto *before = targets.find(entry.id);
                const bool wasCold = before != nullptr && now < before->coldUntil();
                if (entry.coldFor.value_or(state::Duration::zero()) > state::Duration::zero() && !wasCold) {
                    logEvent("target_cold", { { "target", entry.id }, { "cold_ms", milliseconds(*entry.coldFor) } });
                }
                if (before == nullptr || before->entry().draining != entry.draining
                    || before->entry().startedUnixMs != entry.startedUnixMs) {
                    logEvent("target_listed",
                             { { "target", entry.id },
                               { "service", entry.service },
                               { "version", entry.softwareVersion },
                               { "state", entry.draining ? "draining" : "ready" } });
                }
                if (complete && mayHoldOldRecords()) {
                    targets.listedInCopy(entry, now);
                } else {
                    targets.listed(entry);
                }
                m_context.scheduler.listed(entry, now);
                listed.push_back(entry.id);
                return {};
            },
            [&](const state::Failure &failure) {
                // An entry that cannot be decoded removes its target, even if an earlier version was valid.
                targets.removed(record.key, false, now);
                logFailure("target_rejected", failure);
            });
    }
    if (complete) {
        targets.retainOnly(listed, storeWasUnavailable, now);
    }
    m_context.scheduler.targetsChanged(now);
    m_context.fleet.decide(now);
}

} // namespace sapphirecove::transport::entry
