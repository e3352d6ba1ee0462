#include "transport/entry/storefollower.h"

#include "coordination/entry/confirmation.h"
#include "protocol/hostrecordcodec.h"
#include "protocol/quotausecodec.h"
#include "transport/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace sapphirecove::transport::entry {

namespace asio = boost::asio;

namespace {

/** Part of a wait that a store has surely waited when it answers after the whole wait. */
constexpr double SureWaitShare = 0.9;

/** Time limit of a call beyond its wait: a slow store answers within some hundred milliseconds. */
constexpr state::Duration CallLimit = std::chrono::milliseconds(800);

/** Shortest interval between two reads of the targets, which come in swarms when many change; a fraction of the time in
 * which a leaving one must be noticed. */
constexpr state::Duration TargetsInterval = std::chrono::milliseconds(400);

/** Pauses after failed calls: doubled from the shortest to the longest. */
constexpr state::Duration MinPause = std::chrono::milliseconds(100);
constexpr state::Duration MaxPause = std::chrono::milliseconds(800);

/** Longest wait of a call on the operator's topic by a host that others rely on, so that what it confirms is young. */
constexpr state::Duration RelayingWait = std::chrono::milliseconds(1000);

/** Part of the largest age of a confirmation from which on a host reads the store itself. */
constexpr double OwnReadShare = 0.6;

/** Time after its start within which a host expects its first configuration from another host. */
constexpr state::Duration RelayedStart = std::chrono::milliseconds(2500);

/** Longest time limit of a call for the newest records: a large configuration for all hosts over a region's link. */
constexpr state::Duration MaxNewestLimit = std::chrono::milliseconds(6400);

/** Interval of checks whether a host has to read the store itself. */
constexpr state::Duration RelayCheck = std::chrono::milliseconds(50);

/** Time after the first start of the deployment by which all hosts have announced themselves. */
constexpr state::Duration FirstStartSpread = std::chrono::milliseconds(1500);

/** Interval of checks whether the list of hosts has to be read again, which happens while no other host answers. */
constexpr state::Duration FindPeersInterval = std::chrono::seconds(3);

/** Interval of checks whether the use of quotas is due to be stored; bounds what a loss of all hosts forgets. */
constexpr state::Duration QuotaUseCheck = std::chrono::milliseconds(100);

/** Interval at which rollouts are judged, and at which hosts that publish nothing read what is published. */
constexpr state::Duration RolloutCheck = std::chrono::milliseconds(150);
constexpr state::Duration RolloutStatusInterval = std::chrono::milliseconds(1000);

/** Key of the record with the use of quotas. */
constexpr std::string_view QuotaUseKey = "use";

/** Time after the store's return in which entries that lapsed meanwhile may still be missing. */
constexpr state::Duration LapseWindow = std::chrono::milliseconds(2000);

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
    }
    return "unknown";
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
                          return operatorState();
                      }));
    return {};
}

void StoreFollower::start()
{
    m_relay->start();
    m_started = m_context.now();
    asio::co_spawn(m_context.io, followOperator(), asio::detached);
    asio::co_spawn(m_context.io, followTargets(), asio::detached);
    asio::co_spawn(m_context.io, findPeers(), asio::detached);
    asio::co_spawn(m_context.io, keepQuotaUse(), asio::detached);
    asio::co_spawn(m_context.io, conductRollouts(), asio::detached);
}

asio::awaitable<void> StoreFollower::followOperator()
{
    co_await restoreQuotaUse();
    for (;;) {
        const bool newer = m_context.announcedVersion > (m_context.table ? m_context.table->version() : 0);
        if (newer && !m_context.fleet.directory().isCandidate(m_context.now()) && co_await fetchOperator()) {
            continue;
        }
        if (relayed(m_context.now()) || awaitsRelay(m_context.now())) {
            co_await pause(RelayCheck);
            continue;
        }
        // The first call after a failure does not wait, so that the configuration is confirmed at once.
        const state::Time sent = m_context.now();
        const state::Duration usual =
            coordination::entry::confirmationWait(sent - m_context.confirmed, m_context.settings.bounds);
        const bool candidate = m_context.fleet.directory().isCandidate(sent);
        const state::Duration wait =
            m_operator.away || !candidate ? state::Duration::zero() : std::min(usual, RelayingWait);
        const bool waits = m_operator.next.has_value() && wait > state::Duration::zero();
        const StorePage page = co_await read(StoreTopic::Operator, m_operator, wait);
        if (page.failure) {
            co_await pause(m_operator.pause);
            continue;
        }
        if (page.historyLost) {
            continue;
        }
        applyOperator(page.records);
        const state::Duration waited = waits ? wait : state::Duration::zero();
        m_context.confirmed = std::max(m_context.confirmed, confirmedBy(page, sent, waited));
    }
}

/** Returns until when @p page, the answer to a call at @p sent that could @p wait, says that nothing else was stored.
 */
state::Time StoreFollower::confirmedBy(const StorePage &page, state::Time sent, state::Duration wait) const
{
    const bool waitedFully = page.records.empty() && m_context.now() - sent >= wait;
    return waitedFully ? sent + state::scaled(wait, SureWaitShare) : sent;
}

/** Returns whether other hosts confirm the configuration of this one, so that it need not read the store. */
bool StoreFollower::relayed(state::Time now) const
{
    if (!m_context.table || m_context.fleet.directory().isCandidate(now)) {
        return false;
    }
    const auto oldest = state::scaled(coordination::entry::maxConfirmationAge(m_context.settings.bounds), OwnReadShare);
    return now - m_context.confirmed < oldest && m_context.announcedVersion <= m_context.table->version();
}

/** Fetches a newer configuration from the host that announced it; returns whether one was taken. */
asio::awaitable<bool> StoreFollower::fetchOperator()
{
    const state::Time asked = m_context.now();
    const std::uint64_t before = m_context.table ? m_context.table->version() : 0;
    const auto *configurationSource =
        m_context.fleet.directory().configurationSource(m_context.announcedVersion, asked);
    if (configurationSource == nullptr) {
        co_return false;
    }
    const protocol::Endpoint endpoint{ configurationSource->address, configurationSource->port };
    const auto fetched = co_await m_relay->fetch(endpoint);
    if (!fetched) {
        co_return false;
    }
    std::vector<StoreRecord> records;
    for (const auto &[key, document] : fetched->state.records) {
        records.push_back({ key, document });
    }
    applyOperator(records);
    if (!m_context.table || m_context.table->version() <= before) {
        co_return false;
    }
    m_operator.next = std::max(m_operator.next.value_or(0), fetched->state.next);
    m_context.confirmed = std::max(m_context.confirmed, asked - fetched->age);
    co_return true;
}

/** Returns what this host can pass on; nothing before it knows the store's records. */
std::optional<OperatorRelay::Passed> StoreFollower::operatorState()
{
    if (!m_context.table || !m_operator.next) {
        return std::nullopt;
    }
    if (m_encodedRecords.empty()) {
        m_encodedRecords = OperatorRelay::compress({ *m_operator.next, m_operatorRecords });
    }
    return OperatorRelay::Passed{ m_context.now() - m_context.confirmed, m_encodedRecords };
}

/** Returns whether a host that has just started expects its configuration from another one: a whole fleet that starts
 * at once would fill the link between the regions with copies of it. */
bool StoreFollower::awaitsRelay(state::Time now) const
{
    // At the first start there is time, and nobody has a configuration yet.
    if (m_context.table || m_context.settings.firstStart || now - m_started > RelayedStart) {
        return false;
    }
    return !m_hostsKnown || !m_context.fleet.directory().isCandidate(now);
}

/** Returns whether this host is the one that writes for the fleet. */
bool StoreFollower::conductsDuties() const
{
    const auto decider = m_context.fleet.directory().decider(m_context.now());
    return decider && *decider == m_context.settings.hostId;
}

asio::awaitable<void> StoreFollower::followTargets()
{
    for (;;) {
        if (!m_context.fleet.needsTargets(m_context.now())) {
            m_context.targetsCurrent = false;
            co_await pause(RelayCheck);
            continue;
        }
        const bool complete = !m_targets.next.has_value();
        // The first call after a failure does not wait, so that lapsed entries are noticed at once.
        const bool waits = !m_targets.away && m_context.targetsCurrent;
        const state::Duration wait =
            waits ? coordination::entry::targetsWait(m_context.settings.bounds) : state::Duration::zero();
        const state::Time sent = m_context.now();
        const StorePage page = co_await read(StoreTopic::Targets, m_targets, wait);
        m_context.targetsCurrent = m_context.targetsCurrent || !page.historyLost;
        if (page.failure) {
            co_await pause(m_targets.pause);
            continue;
        }
        if (page.historyLost) {
            continue;
        }
        m_context.targetsCurrent = true;
        m_context.targetsConfirmed = confirmedBy(page, sent, wait);
        applyTargets(page, complete, m_targets);
        co_await pause(TargetsInterval);
    }
}

/** Appends this host to the list of hosts. */
asio::awaitable<void> StoreFollower::announceHost()
{
    const auto &settings = m_context.settings;
    const std::string record = protocol::encodeHostRecord(*m_context.fleet.directory().find(settings.hostId));
    state::Duration wait = MinPause;
    for (;;) {
        const StoreAppend announced =
            co_await m_store.append(StoreTopic::Hosts, settings.hostId, record, std::nullopt, CallLimit);
        if (announced.outcome == StoreAppend::Outcome::Stored) {
            co_return;
        }
        logFailure("host_not_announced", announced.failure.value_or(state::Failure()));
        co_await pause(wait);
        wait = std::min(MaxPause, wait * 2);
    }
}

/** Announces this host and reads which others there are. Deciders learn of later ones by their reports. */
asio::awaitable<void> StoreFollower::findPeers()
{
    co_await announceHost();
    if (m_context.settings.firstStart) {
        co_await pause(FirstStartSpread);
    }
    for (;;) {
        const StorePage page = co_await m_store.readNewest(StoreTopic::Hosts, CallLimit);
        if (page.failure) {
            logFailure("hosts_not_read", *page.failure);
            m_hostsKnown = true;
            co_await pause(MaxPause);
            continue;
        }
        for (const auto &record : page.records) {
            if (record.key == m_context.settings.hostId || !record.value) {
                continue;
            }
            state::handleFailure(
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
        do {
            co_await pause(FindPeersInterval);
        } while (m_context.fleet.directory().liveCandidates(m_context.now()) > 0);
    }
}

/** Reads what customers had used before this host started. Without it, configure() assumes a usual use. */
asio::awaitable<void> StoreFollower::restoreQuotaUse()
{
    if (m_context.settings.firstStart) {
        co_return;
    }
    const StorePage page = co_await m_store.readNewest(StoreTopic::QuotaUse, CallLimit);
    if (page.failure) {
        logFailure("quota_use_not_read", *page.failure);
        co_return;
    }
    for (const auto &record : page.records) {
        if (record.key != QuotaUseKey || !record.value) {
            continue;
        }
        state::handleFailure(
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

/** Keeps the use of quotas in the store, so that it outlives all hosts. Of the hosts that see the same, one writes. */
asio::awaitable<void> StoreFollower::keepQuotaUse()
{
    for (;;) {
        co_await pause(QuotaUseCheck);
        if (!m_context.table || !conductsDuties()) {
            continue;
        }
        const auto use = m_context.scheduler.quotas().useToStore(m_context.now());
        if (!use) {
            continue;
        }
        const StoreAppend result = co_await m_store.append(
            StoreTopic::QuotaUse, std::string(QuotaUseKey), protocol::encodeQuotaUse(*use), std::nullopt, CallLimit);
        if (result.outcome != StoreAppend::Outcome::Stored) {
            m_context.metrics.count("quota_use_unstored_total");
        }
    }
}

/** Judges the rollouts, learns of outcomes that are published, and publishes outcomes if this host is the one to do so.
 */
asio::awaitable<void> StoreFollower::conductRollouts()
{
    std::map<std::string, state::entry::RolloutState> unpublished; // By service; what was published last is left out.
    std::map<std::string, std::string> announced; // Target version by service that was announced as running.
    state::Time statusRead{};
    for (;;) {
        co_await pause(RolloutCheck);
        auto &rollouts = m_context.scheduler.rollouts();
        const auto states = rollouts.states();
        if (states.empty()) {
            continue;
        }
        for (const auto &status : m_context.scheduler.evaluateRollouts(m_context.now())) {
            logEvent("rollout_judged",
                     { { "service", status.service },
                       { "version", status.targetVersion },
                       { "done", status.state == state::entry::RolloutState::Done ? "yes" : "no" } });
            unpublished[status.service] = status.state;
        }
        const bool writes = conductsDuties();
        for (const auto &status : rollouts.states()) {
            const bool running = status.state == state::entry::RolloutState::Running;
            const bool news =
                running ? announced[status.service] != status.targetVersion : unpublished.contains(status.service);
            if (writes && news && co_await publishRollout(status)) {
                announced[status.service] = status.targetVersion;
                unpublished.erase(status.service);
            }
        }
        const bool anyRunning = std::any_of(states.begin(), states.end(), [](const auto &status) {
            return status.state == state::entry::RolloutState::Running;
        });
        if (!writes && anyRunning && m_context.fleet.directory().isCandidate(m_context.now())
            && m_context.now() - statusRead >= RolloutStatusInterval) {
            statusRead = m_context.now();
            co_await readRolloutStatus();
        }
    }
}

/** Takes the published outcomes; returns the end of their topic, or nothing if it could not be read. */
asio::awaitable<std::optional<std::uint64_t>> StoreFollower::readRolloutStatus()
{
    const StorePage page = co_await m_store.readNewest(StoreTopic::RolloutStatus, CallLimit);
    if (page.failure) {
        logFailure("rollout_status_not_read", *page.failure);
        co_return std::nullopt;
    }
    for (const auto &record : page.records) {
        const auto service = m_context.codec.rolloutService(record.key);
        if (!service || !record.value) {
            continue;
        }
        state::handleFailure(
            [&]() -> state::Result<void> {
                BOOST_LEAF_AUTO(status, m_context.codec.decodeRolloutStatus(*service, *record.value));
                m_context.scheduler.rollouts().published(status);
                return {};
            },
            [](const state::Failure &failure) {
                logFailure("rollout_status_rejected", failure);
            });
    }
    co_return page.next;
}

/**
 * Publishes @p status unless another outcome of the same order is published: the append holds only while the topic ends
 * where it was read. Returns whether the status that is published now is known.
 */
asio::awaitable<bool> StoreFollower::publishRollout(state::entry::RolloutStatus status)
{
    const auto end = co_await readRolloutStatus();
    if (!end) {
        co_return false;
    }
    const auto states = m_context.scheduler.rollouts().states();
    const bool stands = std::any_of(states.begin(), states.end(), [&](const auto &current) {
        return current.service == status.service && current.targetVersion == status.targetVersion
            && current.state == status.state;
    });
    if (!stands) {
        co_return true; // Another host has published an outcome meanwhile.
    }
    const StoreAppend stored = co_await m_store.append(StoreTopic::RolloutStatus,
                                                       m_context.codec.rolloutKey(status.service),
                                                       m_context.codec.encodeRolloutStatus(status),
                                                       *end,
                                                       CallLimit);
    const bool published = stored.outcome == StoreAppend::Outcome::Stored;
    logEvent("rollout_published",
             { { "service", status.service },
               { "version", status.targetVersion },
               { "running", status.state == state::entry::RolloutState::Running ? "yes" : "no" },
               { "done", status.state == state::entry::RolloutState::Done ? "yes" : "no" },
               { "stored", published ? "yes" : "no" } });
    co_return published;
}

asio::awaitable<StorePage> StoreFollower::read(StoreTopic topic, Topic &state, state::Duration wait)
{
    StorePage page;
    if (state.next) {
        page = co_await m_store.readSince(topic, *state.next, wait, wait + CallLimit);
    } else {
        // A limit that is too short for all hosts at once would fail for all of them again and again.
        state.newestLimit = std::clamp(state.newestLimit * 2, CallLimit, MaxNewestLimit);
        page = co_await m_store.readNewest(topic, state.newestLimit);
        if (!page.failure) {
            state.newestLimit = state::Duration::zero();
        }
    }
    noteOutcome(topic, state, page);
    co_return page;
}

void StoreFollower::noteOutcome(StoreTopic topic, Topic &state, const StorePage &page)
{
    const std::string name(nameOf(topic));
    m_context.metrics.count("store_calls_total");
    if (page.failure) {
        if (!state.away) {
            logFailure("store_lost", { page.failure->step, page.failure->peer, name + ": " + page.failure->detail });
        }
        m_context.metrics.count("store_failures_total");
        state.pause = state.away ? std::min(MaxPause, state.pause * 2) : MinPause;
        state.away = true;
        return;
    }
    if (state.away) {
        logEvent("store_regained", { { "topic", name } });
        state.returned = m_context.now();
    }
    state.away = false;
    if (page.historyLost) {
        logEvent("store_history_lost", { { "topic", name } });
        state.next.reset();
        return;
    }
    state.next = page.next;
}

asio::awaitable<void> StoreFollower::pause(state::Duration duration)
{
    asio::steady_timer timer(m_context.io, duration);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

void StoreFollower::applyOperator(const std::vector<StoreRecord> &records)
{
    // Only the newest configuration of a page is decoded: configurations may come in quick succession.
    const std::string *configuration = nullptr;
    for (const auto &record : records) {
        if (record.value) {
            m_operatorRecords[record.key] = *record.value;
            m_encodedRecords.clear();
        }
        if (record.value && m_context.codec.classify(record.key) == OperatorRecord::Configuration) {
            configuration = &*record.value;
        }
    }
    if (configuration != nullptr) {
        applyConfiguration(*configuration);
    }
    for (const auto &record : records) {
        if (record.value && m_context.codec.classify(record.key) == OperatorRecord::RolloutOrder) {
            applyRollout(*record.value);
        }
    }
}

void StoreFollower::applyConfiguration(const std::string &document)
{
    state::handleFailure(
        [&]() -> state::Result<void> {
            BOOST_LEAF_AUTO(table, m_context.codec.decodeConfiguration(document));
            const std::uint64_t before = m_context.table ? m_context.table->version() : 0;
            if (m_context.table && table.version() <= before) {
                return {};
            }
            const bool fullBuckets = m_context.settings.firstStart || m_context.table;
            m_context.scheduler.quotas().configure(table, fullBuckets, m_context.now());
            logEvent("configuration_in_force",
                     { { "version", std::to_string(table.version()) },
                       { "before", std::to_string(before) },
                       { "routes", std::to_string(table.routes().size()) },
                       { "customers", std::to_string(table.customers().size()) } });
            m_context.table = std::make_shared<const state::entry::RoutingTable>(std::move(table));
            return {};
        },
        [](const state::Failure &failure) {
            logFailure("configuration_rejected", failure);
        });
}

void StoreFollower::applyRollout(const std::string &document)
{
    state::handleFailure(
        [&]() -> state::Result<void> {
            BOOST_LEAF_AUTO(order, m_context.codec.decodeRollout(document));
            logEvent("rollout_ordered",
                     { { "service", order.service },
                       { "version", order.targetVersion },
                       { "duration_s", std::to_string(order.durationSeconds) } });
            m_context.scheduler.rollouts().ordered(order, m_context.now());
            return {};
        },
        [](const state::Failure &failure) {
            logFailure("rollout_rejected", failure);
        });
}

void StoreFollower::applyTargets(const StorePage &page, bool complete, const Topic &state)
{
    const state::Time now = m_context.now();
    auto &targets = m_context.scheduler.targets();
    const bool storeWasAway = state.returned != state::Time() && now - state.returned < LapseWindow;
    std::vector<std::string> listed;
    for (const auto &record : page.records) {
        if (!record.value) {
            targets.removed(record.key, storeWasAway, now);
            m_context.pool.drop(record.key);
            logEvent("target_removed", { { "target", record.key }, { "store_was_away", storeWasAway ? "yes" : "no" } });
            continue;
        }
        state::handleFailure(
            [&]() -> state::Result<void> {
                BOOST_LEAF_AUTO(entry, m_context.codec.decodeTarget(record.key, *record.value));
                const auto *before = targets.find(entry.id);
                if (before == nullptr || before->entry().draining != entry.draining
                    || before->entry().startedUnixMs != entry.startedUnixMs) {
                    logEvent("target_listed",
                             { { "target", entry.id },
                               { "service", entry.service },
                               { "version", entry.softwareVersion },
                               { "state", entry.draining ? "draining" : "ready" } });
                }
                targets.listed(entry);
                listed.push_back(entry.id);
                return {};
            },
            [&](const state::Failure &failure) {
                // An entry that cannot be read names no target to use, whatever it said before.
                targets.removed(record.key, false, now);
                logFailure("target_rejected", failure);
            });
    }
    if (complete) {
        targets.retainOnly(listed, storeWasAway, now);
    }
    m_context.scheduler.targetsChanged();
    m_context.fleet.decide(now);
}

} // namespace sapphirecove::transport::entry
