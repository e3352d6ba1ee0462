#include "tests/coordination/entry/simulatedfleet.h"

#include <algorithm>
#include <utility>

namespace sapphirecove::tests::entry {

using std::chrono::milliseconds;

namespace {

constexpr state::Duration Step = milliseconds(5);
constexpr state::Duration TickInterval = milliseconds(25);
constexpr TargetsAgeLimits TargetsAge{ milliseconds(1500), milliseconds(2000) };
constexpr state::Duration ReportInterval = milliseconds(300);

/** Time after discovery serves a host again in which missing entries count as expired. */
constexpr state::Duration StoreRecovery = milliseconds(2000);

/** Time from the arrival of a request at its target to the head of the response at the host. */
constexpr state::Duration ResponseDelay = milliseconds(40);

/** Time from the arrival of a request at its target to the beginning of the answer. */
constexpr state::Duration AnswerDelay = milliseconds(150);

/** Time after which a target that has crashed is back. */
constexpr state::Duration DownTime = milliseconds(3000);

std::string nameOf(int host)
{
    return "host-" + std::to_string(host);
}

} // namespace

/** Simulated host. */
struct SimulatedFleet::SimulatedHost final : public DecisionLink
{
    SimulatedHost(SimulatedFleet &owner, int hostNumber)
        : fleetOwner(owner)
        , number(hostNumber)
        , process{ nameOf(hostNumber), ++owner.m_lastIncarnation, "10.0.0.1", 1 }
        , scheduler(makeSchedulerOf(process, owner.m_options.coldRate > 0))
        , fleet(*scheduler, process, regionOf(hostNumber), *this)
    {
    }

    static std::unique_ptr<Scheduler> makeSchedulerOf(const HostProcess &process, bool boundsColdTargets)
    {
        state::entry::Bounds bounds;
        bounds.coldOverage = boundsColdTargets ? 1.5 : 0;
        bounds.coldSlack = boundsColdTargets ? 5 : 0;
        return state::handleFailure(
            [&] {
                return Scheduler::create(bounds,
                                         { "osu", "accra", { { "osu", "accra" }, { "adum", "kumasi" } } },
                                         processHash(process.host, process.incarnation));
            },
            [](const state::Failure &failure) -> std::unique_ptr<Scheduler> {
                throw std::runtime_error(describe(failure));
            });
    }

    static std::string regionOf(int number)
    {
        return number % 2 == 0 ? "accra" : "kumasi";
    }

    void decided(Decision decision) override
    {
        const auto found = simulationIds.find(decision.request);
        if (found != simulationIds.end()) {
            decision.request = found->second;
            fleetOwner.placed(number, decision);
        }
    }

    /** Returns the number that this process has given to the request with @p id. */
    std::uint64_t ownId(std::uint64_t id) const
    {
        const auto found = ownIds.find(id);
        return found == ownIds.end() ? 0 : found->second;
    }

    void send(const DecisionRequest &message, const KnownHost &to) override
    {
        const state::Duration age = fleetOwner.m_now - message.request.arrived;
        const state::Duration left = message.request.deadline - fleetOwner.m_now;
        DecisionRequest copy = message;
        fleetOwner.post(number, to.name, [copy, age, left](SimulatedHost &simulatedHost) mutable {
            copy.request.arrived = simulatedHost.fleetOwner.m_now - age;
            copy.request.deadline = simulatedHost.fleetOwner.m_now + left;
            simulatedHost.fleet.received(copy, simulatedHost.fleetOwner.m_now);
        });
    }

    void send(const AddressedReply &reply) override
    {
        fleetOwner.post(number, reply.to.host, [content = reply.reply](SimulatedHost &simulatedHost) {
            simulatedHost.fleet.received(content, simulatedHost.fleetOwner.m_now);
        });
    }

    void send(const AttemptUpdate &update, const KnownHost &to) override
    {
        fleetOwner.post(number, to.name, [update](SimulatedHost &simulatedHost) {
            simulatedHost.fleet.received(update, simulatedHost.fleetOwner.m_now);
        });
    }

    SimulatedFleet &fleetOwner;
    int number;
    HostProcess process;
    std::unique_ptr<Scheduler> scheduler;
    FleetScheduler fleet;
    bool alive = true;
    bool discovers = true;
    bool wasDenied = false; /**< discovery has refused the host before */
    std::optional<state::Time> regainedAt; /**< first read since discovery refused the host */
    bool paused = false;
    bool queuesMessages = false;
    std::vector<std::function<void(SimulatedHost &)>> queued;
    state::Time lastTick{};
    state::Time reportedAt{};
    std::uint32_t sequence = 0;
    std::size_t sent = 0;
    std::map<std::uint64_t, std::uint64_t> simulationIds; /**< by the process's own, which count from 1 */
    std::map<std::uint64_t, std::uint64_t> ownIds; /**< by the simulation's */
};

SimulatedFleet::SimulatedFleet(const Options &options)
    : m_options(options)
    , m_random(options.seed)
{
    for (int i = 0; i < options.hosts; ++i) {
        m_hosts.push_back(std::make_unique<SimulatedHost>(*this, i));
        m_numberOf[nameOf(i)] = i;
    }
    for (auto &simulatedHost : m_hosts) {
        prepare(*simulatedHost);
    }
}

/** Tells a new process of its peers and the targets. */
void SimulatedFleet::prepare(SimulatedHost &simulatedHost)
{
    for (int i = 0; i < m_options.hosts; ++i) {
        simulatedHost.fleet.directory().learn({ nameOf(i), "10.0.0.1", 1, SimulatedHost::regionOf(i), 0.25 });
        if (i != simulatedHost.number) {
            simulatedHost.scheduler->peers().addPeer(nameOf(i), "10.0.0.1", 1, m_now);
        }
    }
    for (int i = 0; i < m_options.targets; ++i) {
        const auto entry = entryOf("t" + std::to_string(i));
        simulatedHost.scheduler->targets().listed(entry);
        simulatedHost.scheduler->listed(entry, m_now);
    }
    simulatedHost.scheduler->configureColdTargets(configuration(), m_now);
    if (m_options.quotaRate > 0) {
        simulatedHost.scheduler->quotas().configure(makeQuota("c", m_options.quotaRate, 0), true, m_now);
    }
    simulatedHost.fleet.setCanDecide(true, false);
}

SimulatedFleet::~SimulatedFleet() = default;

state::entry::TargetEntry SimulatedFleet::entryOf(const std::string &target) const
{
    auto entry = makeTarget(target, m_options.slots);
    const auto restarts = m_starts.find(target);
    entry.startedUnixMs += restarts == m_starts.end() ? 0 : restarts->second;
    const bool isOdd = std::stoi(target.substr(1)) % 2 != 0;
    if (m_options.twoServices && isOdd) {
        entry.service = "plain";
    }
    entry.failureDomain = m_options.twoRegions && isOdd ? "adum" : "osu";
    entry.coldFor = state::Duration::zero();
    return entry;
}

state::entry::RoutingTable SimulatedFleet::configuration() const
{
    state::entry::Service service;
    service.name = "llm";
    service.coldTime = ColdTime;
    service.coldRequestsPerSecond = m_options.coldRate;
    return state::entry::RoutingTable::create(1, {}, { service }, {}, {});
}

void SimulatedFleet::setEvacuated(const std::string &domain, bool evacuated)
{
    m_evacuations[domain] = evacuated;
    ++m_operatorRecords;
}

void SimulatedFleet::makeCold(const std::string &target)
{
    m_events.emplace(m_now + ColdListed, [this, target] {
        auto entry = entryOf(target);
        entry.coldFor = ColdTime - ColdListed;
        for (auto &simulatedHost : m_hosts) {
            if (simulatedHost->alive && simulatedHost->discovers) {
                simulatedHost->scheduler->targets().listed(entry);
                simulatedHost->scheduler->listed(entry, m_now);
            }
        }
    });
}

void SimulatedFleet::runUntil(state::Time end)
{
    while (m_now < end) {
        m_now += Step;
        while (!m_events.empty() && m_events.begin()->first <= m_now) {
            const auto event = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            event();
        }
        for (auto &simulatedHost : m_hosts) {
            if (!simulatedHost->alive || simulatedHost->paused) {
                continue;
            }
            if (simulatedHost->fleet.takeUrgentReport() || m_now - simulatedHost->reportedAt >= ReportInterval) {
                simulatedHost->reportedAt = m_now;
                report(simulatedHost->number);
            }
            if (m_now - simulatedHost->lastTick >= TickInterval) {
                simulatedHost->lastTick = m_now;
                simulatedHost->scheduler->peers().expire(simulatedHost->scheduler->targets(), m_now);
                simulatedHost->scheduler->expireTargets(m_now);
                readTargets(*simulatedHost);
                simulatedHost->fleet.tick(m_now);
            }
        }
    }
}

/** Reads the list of targets as hosts do that need it, unless the store refuses the host. */
void SimulatedFleet::readTargets(SimulatedHost &simulatedHost)
{
    if (!simulatedHost.fleet.needsTargets(m_now)) {
        return;
    }
    if (!simulatedHost.discovers) {
        simulatedHost.regainedAt.reset();
        simulatedHost.fleet.setStoreAway(true);
        return;
    }
    if (!simulatedHost.regainedAt) {
        simulatedHost.regainedAt = m_now;
    }
    for (const auto &[domain, evacuated] : m_evacuations) {
        simulatedHost.scheduler->evacuations().recorded(domain, evacuated, { 1, m_operatorRecords });
    }
    for (const auto &[target, since] : m_draining) {
        auto entry = entryOf(target);
        entry.draining = true;
        simulatedHost.scheduler->targets().listed(entry);
    }
    TargetTable &targets = simulatedHost.scheduler->targets();
    const bool justRegained = simulatedHost.wasDenied && m_now - *simulatedHost.regainedAt < StoreRecovery;
    for (const auto &target : m_removed) {
        targets.removed(target, justRegained, m_now);
    }
    simulatedHost.fleet.setStoreAway(justRegained || targets.hasLapsed());
    simulatedHost.fleet.setTargetsConfirmed(m_now, TargetsAge);
}

void SimulatedFleet::report(int host)
{
    SimulatedHost &simulatedHost = *m_hosts[static_cast<std::size_t>(host)];
    PeerReport report;
    report.host = simulatedHost.process.host;
    report.incarnation = simulatedHost.process.incarnation;
    report.address = simulatedHost.process.address;
    report.port = simulatedHost.process.port;
    report.failureDomain = "osu";
    report.sequence = ++simulatedHost.sequence;
    report.reportSentAt = state::toMicroseconds(m_now);
    simulatedHost.fleet.fillReport(report, m_now);
    for (const auto *to : simulatedHost.fleet.directory().reportRecipients(m_now)) {
        simulatedHost.fleet.directory().reportSent(to->name, m_now);
        post(host, to->name, [report](SimulatedHost &receiver) {
            const state::Time now = receiver.fleetOwner.m_now;
            if (!receiver.scheduler->peers().receive(report, receiver.scheduler->targets(), now)) {
                return;
            }
            receiver.fleet.received(report, now);
            const ReportReply reply = receiver.fleet.reportReplyFor(report, now);
            receiver.fleetOwner.post(receiver.number, report.host, [reply](SimulatedHost &requester) {
                requester.fleet.received(reply, requester.fleetOwner.m_now);
            });
        });
    }
}

void SimulatedFleet::post(int from, const std::string &to, std::function<void(SimulatedHost &)> deliver)
{
    const int number = m_numberOf.at(to);
    SimulatedHost &sender = *m_hosts[static_cast<std::size_t>(from)];
    ++sender.sent;
    std::uniform_real_distribution<double> chance(0, 1);
    if (chance(m_random) < m_options.loss || m_partitions.contains({ from, number })) {
        return;
    }
    std::uniform_int_distribution<int> delay(1, 14);
    m_events.emplace(m_now + milliseconds(delay(m_random)), [this, number, deliver = std::move(deliver)] {
        SimulatedHost &simulatedHost = *m_hosts[static_cast<std::size_t>(number)];
        if (!simulatedHost.alive) {
            return;
        }
        if (simulatedHost.paused) {
            if (simulatedHost.queuesMessages) {
                simulatedHost.queued.push_back(deliver);
            }
            return;
        }
        deliver(simulatedHost);
    });
}

std::uint64_t SimulatedFleet::submit(int host, ScheduledRequest request, state::Duration work)
{
    request.id = ++m_lastId;
    m_requests[request.id] = request;
    m_work[request.id] = work;
    m_parts[request.id] = request.parts;
    SimulatedHost &simulatedHost = *m_hosts[static_cast<std::size_t>(host)];
    const std::uint64_t id = request.id;
    submitAt(simulatedHost, std::move(request));
    return id;
}

/** Submits @p request under the next number of the host's process, as hosts number their requests. */
void SimulatedFleet::submitAt(SimulatedHost &simulatedHost, ScheduledRequest request)
{
    const std::uint64_t ownId = simulatedHost.ownIds.size() + 1;
    simulatedHost.ownIds[request.id] = ownId;
    simulatedHost.simulationIds[ownId] = request.id;
    request.id = ownId;
    simulatedHost.fleet.submit(std::move(request), m_now);
}

void SimulatedFleet::placed(int host, const Decision &decision)
{
    const std::uint64_t id = decision.request;
    if (!decision.refusal && withhold(host, decision)) {
        return;
    }
    const auto firstId = m_firstIds.find(id);
    if (!m_decisions.emplace(firstId == m_firstIds.end() ? id : firstId->second, decision).second) {
        ++m_duplicateDecisions;
        return;
    }
    if (decision.refusal) {
        return;
    }
    m_strayPlacements += decision.target.service == m_requests[id].service ? 0 : 1;
    const std::string target = decision.target.id;
    const auto &parts = m_parts[id];
    const bool isDeadly = std::any_of(parts.begin(), parts.end(), [this](std::uint64_t part) {
        return m_deadlyParts.contains(part);
    });
    const bool isGone = decision.target.startedUnixMs != 0
        && decision.target.startedUnixMs != makeTarget(target).startedUnixMs + m_starts[target];
    if (m_crashed.contains(target) || isGone) {
        m_events.emplace(m_now + milliseconds(2), [this, host, id] {
            ended(host, id, AttemptOutcome::Unreachable);
        });
        return;
    }
    respond(host, decision);
    tellClosing(host, decision);
    if (isDeadly) {
        m_deadlyArrivals.push_back(m_now);
        m_events.emplace(m_now + AnswerDelay, [this, id, target] {
            if (m_atTarget[target].contains(id)) {
                m_deadlyCrashes.push_back(m_now);
                crash(target);
            }
        });
    }
    auto &running = m_atTarget[target];
    running[id] = host;
    m_highestLoad = std::max(m_highestLoad, static_cast<std::uint32_t>(running.size()));
    m_events.emplace(m_now + m_work[id], [this, host, id, target] {
        if (m_atTarget[target].erase(id) > 0) {
            ended(host, id, AttemptOutcome::Served);
        }
    });
}

/**
 * Gives the placement back and requests another one if the target has told the host to send nothing, as hosts do
 * before they send a request.
 */
bool SimulatedFleet::withhold(int host, const Decision &decision)
{
    const SimulatedHost &simulatedHost = *m_hosts[static_cast<std::size_t>(host)];
    const auto until = simulatedHost.scheduler->statements().closedUntil(decision.targetHash, {}, m_now);
    const std::uint64_t id = decision.request;
    const PlacedTarget target{ decision.targetHash, decision.target.failureDomain, decision.targetsConfirmed };
    const bool allowed =
        simulatedHost.scheduler->regionRules().allows(m_requests[id].permittedRegions, target.failureDomain);
    if (allowed && !simulatedHost.fleet.isWithheld(target, m_now)) {
        return false;
    }
    m_withheldOutsideRegions += allowed ? 0 : 1;
    ScheduledRequest again = m_requests[id];
    if (until) {
        const auto heard = m_heard.find({ host, decision.targetHash });
        m_withheld.push_back({ m_now, host, heard == m_heard.end() ? m_now : heard->second.at });
        again.backOffs.push_back({ decision.targetHash, std::min(*until, again.deadline) });
    }
    const std::uint64_t newId = ++m_lastId;
    m_firstIds[newId] = m_firstIds.contains(id) ? m_firstIds[id] : id;
    again.id = newId;
    m_requests[newId] = again;
    m_work[newId] = m_work[id];
    m_parts[newId] = m_parts[id];
    m_events.emplace(m_now + milliseconds(1), [this, host, id, again] {
        ended(host, id, AttemptOutcome::Abandoned);
        SimulatedHost &receiver = *m_hosts[static_cast<std::size_t>(host)];
        const auto submitAgain = [again](SimulatedHost &resumed) {
            resumed.fleetOwner.submitAt(resumed, again);
        };
        if (receiver.paused) {
            receiver.queued.push_back(submitAgain);
        } else if (receiver.alive) {
            submitAgain(receiver);
        }
    });
    return true;
}

/** Counts a request that must not arrive, and sends the head of the response if it tells the host to send nothing. */
void SimulatedFleet::tellClosing(int host, const Decision &decision)
{
    const std::uint32_t hash = decision.targetHash;
    const auto heard = m_heard.find({ host, hash });
    m_forbiddenArrivals += heard != m_heard.end() && m_now < heard->second.until ? 1 : 0;
    const auto closing = m_closing.find(decision.target.id);
    if (closing == m_closing.end() || !closing->second.hearers.contains(host)) {
        return;
    }
    m_events.emplace(m_now + ResponseDelay, [this, host, hash, decision, said = closing->second] {
        SelfStatement statement;
        statement.leaving = said.leaving;
        if (said.backOff > state::Duration::zero()) {
            statement.backOff = said.backOff;
            if (m_atTarget[decision.target.id].erase(decision.request) > 0) {
                ended(host, decision.request, AttemptOutcome::NotExecuted);
            }
        }
        const auto deliver = [this, hash, statement](SimulatedHost &receiver) {
            receiver.scheduler->statements().heard(hash, statement, m_now - ResponseDelay, m_now);
            const state::Time until = statement.leaving ? state::Time::max() : m_now + *statement.backOff;
            Heard &known = m_heard[{ receiver.number, hash }];
            known = { known.until > m_now ? known.at : m_now, std::max(known.until, until) };
        };
        SimulatedHost &simulatedHost = *m_hosts[static_cast<std::size_t>(host)];
        if (simulatedHost.paused) {
            simulatedHost.queued.push_back(deliver);
        } else if (simulatedHost.alive) {
            deliver(simulatedHost);
        }
    });
}

void SimulatedFleet::setClosing(const std::string &target, bool leaving, state::Duration backOff, std::set<int> hearers)
{
    m_closing[target] = { leaving, backOff, std::move(hearers) };
}

void SimulatedFleet::crash(const std::string &target)
{
    for (const auto &[id, host] : std::exchange(m_atTarget[target], {})) {
        m_events.emplace(m_now + milliseconds(2), [this, id = id, host = host] {
            ended(host, id, AttemptOutcome::Crashed);
        });
    }
    m_crashed.insert(target);
    m_closing.erase(target);
    m_events.emplace(m_now + DownTime, [this, target] {
        m_crashed.erase(target);
        ++m_starts[target];
        relist(target);
    });
}

/** Tells all hosts of the present incarnation of @p target. */
void SimulatedFleet::relist(const std::string &target)
{
    auto entry = entryOf(target);
    entry.coldFor = m_options.coldRate > 0 ? ColdTime : state::Duration::zero();
    for (auto &simulatedHost : m_hosts) {
        simulatedHost->scheduler->targets().listed(entry);
        simulatedHost->scheduler->listed(entry, m_now);
        simulatedHost->scheduler->targetsChanged(m_now);
    }
}

void SimulatedFleet::setDeadlyParts(std::set<std::uint64_t> parts)
{
    m_deadlyParts = std::move(parts);
}

/** Records the arrival of a request and sends the head of the response, with what the target states then. */
void SimulatedFleet::respond(int host, const Decision &decision)
{
    const std::string target = decision.target.id;
    const std::uint32_t hash = decision.targetHash;
    m_arrivals[target].push_back({ m_now, host });
    m_events.emplace(m_now + ResponseDelay, [this, host, target, hash] {
        const RateStatement statement = m_statements[target];
        SimulatedHost &simulatedHost = *m_hosts[static_cast<std::size_t>(host)];
        const auto deliver = [this, target, hash, statement](SimulatedHost &receiver) {
            receiver.scheduler->statements().heard(hash, { statement, false, {} }, m_now - ResponseDelay, m_now);
            if (statement.kind == RateStatement::Kind::Limit) {
                m_limitToldAt.emplace(std::pair(target, receiver.number), m_now);
            }
        };
        if (simulatedHost.paused) {
            simulatedHost.queued.push_back(deliver);
        } else if (simulatedHost.alive) {
            deliver(simulatedHost);
        }
    });
}

/** Tells the host that its request has ended; a paused host gets to know when it resumes. */
void SimulatedFleet::ended(int host, std::uint64_t id, AttemptOutcome outcome)
{
    SimulatedHost &simulatedHost = *m_hosts[static_cast<std::size_t>(host)];
    if (!simulatedHost.alive) {
        return;
    }
    if (simulatedHost.paused) {
        simulatedHost.queued.push_back([id, outcome](SimulatedHost &resumed) {
            resumed.fleet.finished(resumed.ownId(id), outcome, 10, resumed.fleetOwner.m_now);
        });
        return;
    }
    simulatedHost.fleet.finished(simulatedHost.ownId(id), outcome, 10, m_now);
}

void SimulatedFleet::pause(int host, bool queuesMessages)
{
    SimulatedHost &simulatedHost = *m_hosts[static_cast<std::size_t>(host)];
    simulatedHost.paused = true;
    simulatedHost.queuesMessages = queuesMessages;
}

void SimulatedFleet::resume(int host)
{
    SimulatedHost &simulatedHost = *m_hosts[static_cast<std::size_t>(host)];
    simulatedHost.paused = false;
    const auto queued = std::move(simulatedHost.queued);
    simulatedHost.queued.clear();
    for (const auto &deliver : queued) {
        deliver(simulatedHost);
    }
}

void SimulatedFleet::kill(int host)
{
    m_hosts[static_cast<std::size_t>(host)]->alive = false;
}

void SimulatedFleet::restart(int host)
{
    // The process is kept until the end, since events may still refer to it.
    auto &current = m_hosts[static_cast<std::size_t>(host)];
    current->alive = false;
    m_ended.push_back(std::move(current));
    std::erase_if(m_heard, [host](const auto &entry) {
        return entry.first.first == host;
    });
    current = std::make_unique<SimulatedHost>(*this, host);
    prepare(*current);
}

void SimulatedFleet::setStatement(const std::string &target, const RateStatement &statement)
{
    m_statements[target] = statement;
    if (statement.kind == RateStatement::Kind::None) {
        std::erase_if(m_limitToldAt, [&](const auto &entry) {
            return entry.first.first == target;
        });
    }
}

const std::vector<SimulatedFleet::Arrival> &SimulatedFleet::arrivalsAt(const std::string &target) const
{
    static const std::vector<Arrival> None;
    const auto found = m_arrivals.find(target);
    return found == m_arrivals.end() ? None : found->second;
}

std::optional<state::Time> SimulatedFleet::limitToldAt(const std::string &target, int host) const
{
    const auto found = m_limitToldAt.find({ target, host });
    return found == m_limitToldAt.end() ? std::nullopt : std::optional(found->second);
}

void SimulatedFleet::denyDiscovery(int host, bool denied)
{
    SimulatedHost &simulatedHost = *m_hosts[static_cast<std::size_t>(host)];
    simulatedHost.discovers = !denied;
    simulatedHost.wasDenied = simulatedHost.wasDenied || denied;
}

void SimulatedFleet::drain(const std::string &target)
{
    m_draining.emplace(target, m_now);
}

void SimulatedFleet::remove(const std::string &target)
{
    m_draining.erase(target);
    m_removed.insert(target);
}

void SimulatedFleet::setPartition(int from, int to, bool isPartitioned)
{
    if (isPartitioned) {
        m_partitions.insert({ from, to });
    } else {
        m_partitions.erase({ from, to });
    }
}

std::vector<int> SimulatedFleet::deciders() const
{
    std::vector<int> result;
    for (const auto &simulatedHost : m_hosts) {
        if (simulatedHost->alive && simulatedHost->fleet.isActiveDecider(m_now)) {
            result.push_back(simulatedHost->number);
        }
    }
    return result;
}

std::size_t SimulatedFleet::running() const
{
    std::size_t sum = 0;
    for (const auto &[target, ids] : m_atTarget) {
        sum += ids.size();
    }
    return sum;
}

std::uint32_t SimulatedFleet::slotsInUseAt(int host) const
{
    std::uint32_t sum = 0;
    for (const TargetLoad *target : m_hosts[static_cast<std::size_t>(host)]->scheduler->targets().all()) {
        sum += target->running();
    }
    return sum;
}

std::size_t SimulatedFleet::maxMessagesSent() const
{
    std::size_t most = 0;
    for (const auto &simulatedHost : m_hosts) {
        most = std::max(most, simulatedHost->sent);
    }
    return most;
}

FleetScheduler &SimulatedFleet::fleet(int host)
{
    return m_hosts[static_cast<std::size_t>(host)]->fleet;
}

Scheduler &SimulatedFleet::scheduler(int host)
{
    return *m_hosts[static_cast<std::size_t>(host)]->scheduler;
}

} // namespace sapphirecove::tests::entry
