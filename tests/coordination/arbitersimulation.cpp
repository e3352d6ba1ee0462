#include "tests/coordination/arbitersimulation.h"

#include "coordination/placement/register.h"
#include "tests/coordination/slotrequests.h"

#include <algorithm>
#include <array>

namespace sapphirecove::coordination::testing {

namespace {

constexpr state::Duration Step = std::chrono::milliseconds(20);
constexpr int ActiveSteps = 250;
constexpr int MaximumSteps = 4000; // 80 s, more than the longest deadline and everything that follows it
constexpr int StepsPerHeartbeat = 10;
constexpr int StepsPerReport = 5;
constexpr double LossRate = 0.1;
constexpr double RepetitionRate = 0.1;
constexpr std::size_t HostCount = 3;

} // namespace

ArbiterSimulation::ArbiterSimulation(std::uint64_t seed)
    : m_random(seed)
    , m_now(Start)
    , m_up(HostCount)
    , m_down(HostCount)
{
    makeTargets();
    makeGate();
    ArbiterOptions options;
    options.pool = "pool";
    options.self = "a";
    options.incarnation = 1;
    options.seed = seed;
    options.lowestTier = 2;
    options.queueLength = static_cast<std::size_t>(pick(3, 30));
    options.gate = m_gate.get();
    const auto names = placement::names();
    const std::string_view policy = names[static_cast<std::size_t>(pick(0, static_cast<int>(names.size()) - 1))];
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
            beat();
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

int ArbiterSimulation::pick(int low, int high)
{
    return std::uniform_int_distribution<int>(low, high)(m_random);
}

bool ArbiterSimulation::chance(double probability)
{
    return std::uniform_real_distribution<>(0, 1)(m_random) < probability;
}

void ArbiterSimulation::makeTargets()
{
    const int count = pick(1, 4);
    for (int i = 0; i < count; ++i) {
        ArbiterTarget target;
        target.id = "target" + std::to_string(i);
        target.capacity.streams = pick(1, 3);
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
    // The first target stays, so that the group always serves something.
    for (std::size_t i = 1; i < m_targets.size(); ++i) {
        m_targets[i].listing = chance(0.3) ? TargetListing::Leaving : TargetListing::Live;
    }
    m_observer->setTargets(m_targets);
    m_arbiter->setTargets(m_targets, m_now);
}

void ArbiterSimulation::beat()
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

void ArbiterSimulation::step(bool withNewAsks)
{
    m_now += Step;
    for (std::size_t host = 0; host < HostCount; ++host) {
        for (; !m_up[host].empty() && m_up[host].front().arrival <= m_now; m_up[host].pop_front()) {
            deliverToArbiter(m_up[host].front());
        }
    }
    m_observer->tick(m_now);
    Replies replies;
    m_arbiter->tick(m_now, replies);
    toHosts(replies);
    for (std::size_t host = 0; host < HostCount; ++host) {
        for (; !m_down[host].empty() && m_down[host].front().arrival <= m_now; m_down[host].pop_front()) {
            deliverToHost(m_down[host].front());
        }
        act(host);
    }
    for (int i = withNewAsks ? pick(0, 2) : 0; i > 0; --i) {
        newAsk(m_hosts[static_cast<std::size_t>(pick(0, HostCount - 1))]);
    }
    checkRunning();
    if (m_violation.empty()) {
        m_violation = m_observer->violation();
    }
}

void ArbiterSimulation::newAsk(Host &host)
{
    Request request;
    const std::string name = host.id + "." + std::to_string(m_nextRequest++);
    request.ask = makeSlotRequest(name, pick(0, 2), "customer" + std::to_string(pick(0, 2)));
    request.ask.promptTokens = static_cast<std::uint32_t>(chance(0.1) ? 1500 : pick(0, 400));
    request.ask.maxOutputTokens = static_cast<std::uint32_t>(pick(1, 100));
    request.ask.deadline = m_now + (chance(0.6) ? milliseconds(30'000) : milliseconds(pick(20, 3000)));
    if (m_targets.size() > 1 && chance(0.1)) {
        request.ask.excluded.push_back(m_targets.back().id);
    }
    request.service = milliseconds(chance(0.05) ? pick(2000, 5000) : pick(20, 400)); // the long ones outlive a grant
    request.next = m_now;
    host.requests[name] = request;
}

void ArbiterSimulation::act(std::size_t index)
{
    Host &host = m_hosts[index];
    std::vector<state::RequestId> ended;
    for (auto &[name, request] : host.requests) {
        actOn(index, request, ended);
    }
    for (const state::RequestId &name : ended) {
        host.requests.erase(name);
    }
    if ((m_now - Start) / Step % StepsPerReport == 0) {
        sendReport(index);
    }
}

void ArbiterSimulation::actOn(std::size_t index, Request &request, std::vector<state::RequestId> &ended)
{
    if (request.next > m_now) {
        return;
    }
    switch (request.state) {
    case State::Waiting:
        if (chance(0.02)) {
            toArbiter(index, SlotWithdrawal{ .request = request.ask.request, .group = request.ask.group });
            ended.push_back(request.ask.request);
            return;
        }
        toArbiter(index, request.ask);
        request.next = m_now + milliseconds(200);
        return;
    case State::Granted:
        request.state = State::Running;
        request.next = m_now + request.service;
        return;
    case State::Running:
        toArbiter(index, releaseOf(request, chance(0.1) ? GrantOutcome::Failed : GrantOutcome::Complete));
        ended.push_back(request.ask.request);
        return;
    }
}

void ArbiterSimulation::send(std::deque<Flying> &link, std::size_t host, const Message &message)
{
    const int copies = chance(LossRate) ? 0 : (chance(RepetitionRate) ? 2 : 1);
    state::Time arrival = m_now + milliseconds(pick(0, 60));
    if (!link.empty()) {
        arrival = std::max(arrival, link.back().arrival);
    }
    for (int i = 0; i < copies; ++i) {
        link.push_back({ .arrival = arrival, .host = host, .message = message });
    }
}

void ArbiterSimulation::toArbiter(std::size_t host, const Message &message)
{
    send(m_up[host], host, message);
}

void ArbiterSimulation::toHosts(const Replies &replies)
{
    for (const Reply &reply : replies) {
        m_observer->sent(reply.message, m_now);
        for (std::size_t host = 0; host < HostCount; ++host) {
            if (m_hosts[host].id == reply.to) {
                send(m_down[host], host, reply.message);
            }
        }
    }
}

void ArbiterSimulation::deliverToArbiter(const Flying &flying)
{
    const state::HostId &from = m_hosts[flying.host].id;
    m_observer->received(from, flying.message);
    Replies replies;
    if (const auto *ask = std::get_if<SlotRequest>(&flying.message)) {
        m_arbiter->requestSlot(from, *ask, m_now, replies);
    } else if (const auto *withdrawal = std::get_if<SlotWithdrawal>(&flying.message)) {
        m_arbiter->withdraw(from, *withdrawal, m_now);
    } else if (const auto *release = std::get_if<SlotRelease>(&flying.message)) {
        m_arbiter->release(from, *release, m_now, replies);
    } else if (const auto *report = std::get_if<OutstandingReport>(&flying.message)) {
        m_arbiter->report(from, *report, m_now);
    }
    toHosts(replies);
}

void ArbiterSimulation::deliverToHost(const Flying &flying)
{
    if (const auto *grant = std::get_if<SlotGrant>(&flying.message)) {
        receiveGrant(flying.host, *grant);
    } else if (const auto *denial = std::get_if<SlotDenial>(&flying.message)) {
        const auto request = m_hosts[flying.host].requests.find(denial->request);
        if (request != m_hosts[flying.host].requests.end() && request->second.state == State::Waiting) {
            m_hosts[flying.host].requests.erase(request);
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
        request.next = m_now + milliseconds(chance(0.2) ? pick(0, 900) : 0);
        if (request.next > m_now + grant.validFor) {
            request.next = m_now + grant.validFor;
        }
        return;
    }
    if (position == m_hosts[host].requests.end() || position->second.grant.grant != grant.grant) {
        Request unused;
        unused.ask.request = grant.request;
        unused.grant = grant;
        toArbiter(host, releaseOf(unused, GrantOutcome::Unused));
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
             .promptTokens = request.ask.promptTokens,
             .outputTokens = request.ask.maxOutputTokens / 2,
             .timeToFirstToken = request.service / 2,
             .total = request.service };
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
                                          .promptTokens = request.ask.promptTokens,
                                          .maxOutputTokens = request.ask.maxOutputTokens });
        }
    }
    toArbiter(host, report);
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
