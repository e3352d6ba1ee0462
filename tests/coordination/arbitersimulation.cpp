#include "tests/coordination/arbitersimulation.h"

#include "coordination/placement/register.h"
#include "tests/coordination/slotrequests.h"

#include <algorithm>
#include <array>

namespace sapphirecove::coordination::testing {

namespace {

constexpr state::Duration Step = std::chrono::milliseconds(20);
constexpr int ActiveSteps = 250;
constexpr int MaximumSteps = 4000; // 80 s: longer than the longest deadline and the work after it
constexpr int StepsPerHeartbeat = 10;
constexpr int StepsPerReport = 5;
constexpr double LossRate = 0.1;
constexpr double DuplicationRate = 0.1;
constexpr std::size_t HostCount = 3;

} // namespace

ArbiterSimulation::ArbiterSimulation(std::uint64_t seed)
    : m_random(seed)
    , m_now(Start)
    , m_arbiterLinks(HostCount)
    , m_hostLinks(HostCount)
{
    makeTargets();
    makeGate();
    ArbiterOptions options;
    options.pool = "pool";
    options.self = "a";
    options.incarnation = 1;
    options.seed = seed;
    options.lowestTier = 2;
    options.queueLength = static_cast<std::size_t>(randomInt(3, 30));
    options.gate = m_gate.get();
    const auto names = placement::names();
    const std::string_view policy = names[static_cast<std::size_t>(randomInt(0, static_cast<int>(names.size()) - 1))];
    m_arbiter = state::handleFailure(
        [&]() -> state::Result<std::unique_ptr<Arbiter>> {
            BOOST_LEAF_AUTO(created, placement::create(policy));
            return Arbiter::create("pool@region#0", options, std::move(created));
        },
        [](const state::Failure &) {
            return std::unique_ptr<Arbiter>();
        });
    m_observer = std::make_unique<GrantObserver>(m_targets, options.grantValidity + options.grantMargin);
    m_arbiter->setTargets(m_targets, m_now);
    for (std::size_t i = 0; i < HostCount; ++i) {
        m_hosts.push_back({ .id = "host" + std::to_string(i) });
    }
}

std::string ArbiterSimulation::run()
{
    for (int i = 0; i < MaximumSteps && m_violation.empty(); ++i) {
        if (i % StepsPerHeartbeat == 0) {
            exchangeHeartbeats();
        }
        if (i < ActiveSteps && chance(0.01)) {
            changeTargets();
        }
        step(i < ActiveSteps);
        const bool busy = std::ranges::any_of(m_hosts, [](const Host &host) {
            return !host.requests.empty();
        });
        if (i >= ActiveSteps && !busy) {
            return m_violation;
        }
    }
    return m_violation.empty() ? "a request was never answered" : m_violation;
}

const GrantObserver &ArbiterSimulation::observer() const
{
    return *m_observer;
}

int ArbiterSimulation::randomInt(int low, int high)
{
    return std::uniform_int_distribution<int>(low, high)(m_random);
}

bool ArbiterSimulation::chance(double probability)
{
    return std::uniform_real_distribution<>(0, 1)(m_random) < probability;
}

void ArbiterSimulation::makeTargets()
{
    const int count = randomInt(1, 4);
    for (int i = 0; i < count; ++i) {
        ArbiterTarget target;
        target.id = "target" + std::to_string(i);
        target.capacity.streams = randomInt(1, 3);
        target.capacity.prefillTokens = 1000;
        target.capacity.prefillTokensPerSecond = 5000;
        target.capacity.decodeTokensPerSecond = 1000;
        target.version = "v1";
        m_targets.push_back(target);
    }
}

void ArbiterSimulation::makeGate()
{
    m_gate = state::handleFailure(
        [] {
            return TierGate::create("a");
        },
        [](const state::Failure &) {
            return std::unique_ptr<TierGate>();
        });
    m_hasPeer = chance(0.5);
    if (m_hasPeer) {
        const std::array<state::HostId, 2> listed{ "a", "b" };
        m_gate->setPeers(listed, m_now);
    }
}

void ArbiterSimulation::changeTargets()
{
    // The first target stays live, so that the group always has a usable target.
    for (std::size_t i = 1; i < m_targets.size(); ++i) {
        m_targets[i].listing = chance(0.3) ? TargetListing::Leaving : TargetListing::Live;
    }
    m_observer->setTargets(m_targets);
    m_arbiter->setTargets(m_targets, m_now);
}

void ArbiterSimulation::exchangeHeartbeats()
{
    if (!m_hasPeer) {
        return;
    }
    m_gate->heartbeatSent(++m_heartbeat, m_now);
    if (!chance(2 * LossRate)) {
        Heartbeat heartbeat;
        heartbeat.acknowledged = m_heartbeat - (chance(0.3) ? 1 : 0);
        m_gate->heartbeatReceived("b", heartbeat, m_now);
    }
}

void ArbiterSimulation::step(bool withNewRequests)
{
    m_now += Step;
    for (std::size_t host = 0; host < HostCount; ++host) {
        for (; !m_arbiterLinks[host].empty() && m_arbiterLinks[host].front().arrival <= m_now;
             m_arbiterLinks[host].pop_front()) {
            deliverToArbiter(m_arbiterLinks[host].front());
        }
    }
    m_observer->tick(m_now);
    Replies replies;
    m_arbiter->tick(m_now, replies);
    sendToHosts(replies);
    for (std::size_t host = 0; host < HostCount; ++host) {
        for (; !m_hostLinks[host].empty() && m_hostLinks[host].front().arrival <= m_now;
             m_hostLinks[host].pop_front()) {
            deliverToHost(m_hostLinks[host].front());
        }
        runHost(host);
    }
    for (int i = withNewRequests ? randomInt(0, 2) : 0; i > 0; --i) {
        addRequest(m_hosts[static_cast<std::size_t>(randomInt(0, HostCount - 1))]);
    }
    checkRunning();
    if (m_violation.empty()) {
        m_violation = m_observer->violation();
    }
}

void ArbiterSimulation::addRequest(Host &host)
{
    Request request;
    const std::string name = host.id + "." + std::to_string(m_nextRequest++);
    request.slotRequest = makeSlotRequest(name, randomInt(0, 2), "customer" + std::to_string(randomInt(0, 2)));
    request.slotRequest.promptTokens = static_cast<std::uint32_t>(chance(0.1) ? 1500 : randomInt(0, 400));
    request.slotRequest.maxOutputTokens = static_cast<std::uint32_t>(randomInt(1, 100));
    request.slotRequest.deadline = m_now + (chance(0.6) ? milliseconds(30'000) : milliseconds(randomInt(20, 3000)));
    if (m_targets.size() > 1 && chance(0.1)) {
        request.slotRequest.excluded.push_back(m_targets.back().id);
    }
    request.serviceTime =
        milliseconds(chance(0.05) ? randomInt(2000, 5000) : randomInt(20, 400)); // the long ones outlast a grant
    request.next = m_now;
    host.requests[name] = request;
}

void ArbiterSimulation::runHost(std::size_t index)
{
    Host &host = m_hosts[index];
    std::vector<state::RequestId> ended;
    for (auto &[name, request] : host.requests) {
        advanceRequest(index, request, ended);
    }
    for (const state::RequestId &name : ended) {
        host.requests.erase(name);
    }
    if ((m_now - Start) / Step % StepsPerReport == 0) {
        sendReport(index);
    }
}

void ArbiterSimulation::advanceRequest(std::size_t index, Request &request, std::vector<state::RequestId> &ended)
{
    if (request.next > m_now) {
        return;
    }
    switch (request.state) {
    case State::Waiting:
        if (chance(0.02)) {
            sendToArbiter(index,
                          SlotWithdrawal{ .request = request.slotRequest.request, .group = request.slotRequest.group });
            ended.push_back(request.slotRequest.request);
            return;
        }
        sendToArbiter(index, request.slotRequest);
        request.next = m_now + milliseconds(200);
        return;
    case State::Granted:
        request.state = State::Running;
        request.next = m_now + request.serviceTime;
        return;
    case State::Running:
        sendToArbiter(index, releaseOf(request, chance(0.1) ? GrantOutcome::Failed : GrantOutcome::Complete));
        ended.push_back(request.slotRequest.request);
        return;
    }
}

void ArbiterSimulation::send(std::deque<InFlightMessage> &link, std::size_t host, const Message &message)
{
    const int copies = chance(LossRate) ? 0 : (chance(DuplicationRate) ? 2 : 1);
    state::Time arrival = m_now + milliseconds(randomInt(0, 60));
    if (!link.empty()) {
        arrival = std::max(arrival, link.back().arrival);
    }
    for (int i = 0; i < copies; ++i) {
        link.push_back({ .arrival = arrival, .host = host, .message = message });
    }
}

void ArbiterSimulation::sendToArbiter(std::size_t host, const Message &message)
{
    send(m_arbiterLinks[host], host, message);
}

void ArbiterSimulation::sendToHosts(const Replies &replies)
{
    for (const Reply &reply : replies) {
        m_observer->sent(reply.message, m_now);
        for (std::size_t host = 0; host < HostCount; ++host) {
            if (m_hosts[host].id == reply.to) {
                send(m_hostLinks[host], host, reply.message);
            }
        }
    }
}

void ArbiterSimulation::deliverToArbiter(const InFlightMessage &inFlight)
{
    const state::HostId &from = m_hosts[inFlight.host].id;
    m_observer->received(from, inFlight.message);
    Replies replies;
    if (const auto *slotRequest = std::get_if<SlotRequest>(&inFlight.message)) {
        m_arbiter->requestSlot(from, *slotRequest, m_now, replies);
    } else if (const auto *withdrawal = std::get_if<SlotWithdrawal>(&inFlight.message)) {
        m_arbiter->withdraw(from, *withdrawal, m_now);
    } else if (const auto *release = std::get_if<SlotRelease>(&inFlight.message)) {
        m_arbiter->release(from, *release, m_now, replies);
    } else if (const auto *report = std::get_if<OutstandingReport>(&inFlight.message)) {
        m_arbiter->report(from, *report, m_now);
    }
    sendToHosts(replies);
}

void ArbiterSimulation::deliverToHost(const InFlightMessage &inFlight)
{
    if (const auto *grant = std::get_if<SlotGrant>(&inFlight.message)) {
        receiveGrant(inFlight.host, *grant);
    } else if (const auto *denial = std::get_if<SlotDenial>(&inFlight.message)) {
        const auto request = m_hosts[inFlight.host].requests.find(denial->request);
        if (request != m_hosts[inFlight.host].requests.end() && request->second.state == State::Waiting) {
            m_hosts[inFlight.host].requests.erase(request);
        }
    }
}

void ArbiterSimulation::receiveGrant(std::size_t host, const SlotGrant &grant)
{
    const auto position = m_hosts[host].requests.find(grant.request);
    if (position != m_hosts[host].requests.end() && position->second.state == State::Waiting) {
        Request &request = position->second;
        request.state = State::Granted;
        request.grant = grant;
        request.next = m_now + milliseconds(chance(0.2) ? randomInt(0, 900) : 0);
        if (request.next > m_now + grant.validFor) {
            request.next = m_now + grant.validFor;
        }
        return;
    }
    if (position == m_hosts[host].requests.end() || position->second.grant.grant != grant.grant) {
        Request unused;
        unused.slotRequest.request = grant.request;
        unused.grant = grant;
        sendToArbiter(host, releaseOf(unused, GrantOutcome::Unused));
    }
}

SlotRelease ArbiterSimulation::releaseOf(const Request &request, GrantOutcome outcome) const
{
    return { .request = request.grant.request,
             .group = request.grant.group,
             .grant = request.grant.grant,
             .target = request.grant.target,
             .version = request.grant.version,
             .outcome = outcome,
             .promptTokens = request.slotRequest.promptTokens,
             .outputTokens = request.slotRequest.maxOutputTokens / 2,
             .timeToFirstToken = request.serviceTime / 2,
             .total = request.serviceTime };
}

void ArbiterSimulation::sendReport(std::size_t host)
{
    OutstandingReport report;
    report.group = "pool@region#0";
    for (const auto &[name, request] : m_hosts[host].requests) {
        if (request.state == State::Running) {
            report.dispatches.push_back({ .request = name,
                                          .grant = request.grant.grant,
                                          .target = request.grant.target,
                                          .promptTokens = request.slotRequest.promptTokens,
                                          .maxOutputTokens = request.slotRequest.maxOutputTokens });
        }
    }
    sendToArbiter(host, report);
}

void ArbiterSimulation::checkRunning()
{
    std::map<state::TargetId, int> running;
    for (const Host &host : m_hosts) {
        for (const auto &[name, request] : host.requests) {
            running[request.grant.target] += request.state == State::Running ? 1 : 0;
        }
    }
    for (const ArbiterTarget &target : m_targets) {
        if (running[target.id] > target.capacity.streams && m_violation.empty()) {
            m_violation = "too many dispatches run on " + target.id;
        }
    }
}

} // namespace sapphirecove::coordination::testing
