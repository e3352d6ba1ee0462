#include "coordination/tiergate.h"
#include "tests/coordination/slotrequests.h"

#include <catch2/catch.hpp>

#include <array>
#include <deque>
#include <optional>
#include <random>

using namespace sapphirecove;
using namespace sapphirecove::coordination;
using testing::milliseconds;
using testing::Start;

namespace {

constexpr std::size_t HostCount = 3;
constexpr state::Duration Step = std::chrono::milliseconds(20);
constexpr int StepCount = 750;
constexpr state::Duration ContactTimeout = std::chrono::seconds(5);
const std::string Pool = "pool";

/** Tier gates of three hosts, connected by links that delay and lose heartbeats and sometimes fail in one direction. */
class TierGateSimulation
{
public:
    explicit TierGateSimulation(std::uint64_t seed);

    /** Runs the simulation; returns the first violation, or an empty text. */
    std::string run();

    std::uint64_t sheds() const
    {
        return m_sheds;
    }

private:
    struct InFlightHeartbeat
    {
        state::Time arrival{};
        Heartbeat heartbeat;
    };

    struct Link
    {
        std::deque<InFlightHeartbeat> inFlight;
        state::Time partitionedUntil{};
        state::Time lastHeard{};
        std::uint64_t highestSequence = 0; /**< sequence received over this link */
    };

    struct Host
    {
        std::unique_ptr<TierGate> gate;
        std::uint64_t sequence = 0;
        std::optional<state::Tier> tierToShed; /**< tier that the host tries to shed */
        std::optional<state::Tier> shed; /**< tier of the last shed */
        state::Time shedAt{};
    };

    int randomInt(int low, int high);
    void sendHeartbeat(std::size_t from);
    void receive(std::size_t from, std::size_t to);
    void tryShed(Host &host);
    void check(std::size_t shedding);

    std::mt19937_64 m_random;
    state::Time m_now = Start;
    std::array<state::HostId, HostCount> m_names{ "a", "b", "c" };
    std::array<Host, HostCount> m_hosts;
    std::array<std::array<Link, HostCount>, HostCount> m_links; // by sender and receiver
    std::uint64_t m_sheds = 0;
    std::string m_violation;
};

TierGateSimulation::TierGateSimulation(std::uint64_t seed)
    : m_random(seed)
{
    for (std::size_t i = 0; i < HostCount; ++i) {
        m_hosts[i].gate = state::handleFailure(
            [&] {
                return TierGate::create(m_names[i]);
            },
            [](const state::Failure &) {
                return std::unique_ptr<TierGate>();
            });
        m_hosts[i].gate->setPeers(m_names, m_now);
    }
}

int TierGateSimulation::randomInt(int low, int high)
{
    return std::uniform_int_distribution<int>(low, high)(m_random);
}

std::string TierGateSimulation::run()
{
    for (int step = 0; step < StepCount && m_violation.empty(); ++step) {
        m_now += Step;
        for (std::size_t from = 0; from < HostCount; ++from) {
            for (std::size_t to = 0; to < HostCount; ++to) {
                receive(from, to);
            }
        }
        for (std::size_t i = 0; i < HostCount; ++i) {
            tryShed(m_hosts[i]);
            if ((step + 3 * static_cast<int>(i)) % 10 == 0) {
                sendHeartbeat(i);
            }
        }
        for (std::size_t i = 0; i < HostCount; ++i) {
            check(i);
        }
    }
    return m_violation;
}

void TierGateSimulation::sendHeartbeat(std::size_t from)
{
    Host &host = m_hosts[from];
    Heartbeat heartbeat;
    heartbeat.sequence = ++host.sequence;
    heartbeat.floors = host.gate->floors(m_now);
    host.gate->heartbeatSent(heartbeat.sequence, m_now);
    for (std::size_t to = 0; to < HostCount; ++to) {
        Link &link = m_links[from][to];
        if (randomInt(0, 199) == 0) {
            link.partitionedUntil = m_now + milliseconds(randomInt(200, 7000));
        }
        if (to == from || m_now < link.partitionedUntil || randomInt(0, 9) == 0) {
            continue;
        }
        heartbeat.acknowledged = m_links[to][from].highestSequence;
        const state::Time earliest = link.inFlight.empty() ? m_now : link.inFlight.back().arrival;
        link.inFlight.push_back({ std::max(earliest, m_now + milliseconds(randomInt(1, 100))), heartbeat });
    }
}

void TierGateSimulation::receive(std::size_t from, std::size_t to)
{
    Link &link = m_links[from][to];
    for (; !link.inFlight.empty() && link.inFlight.front().arrival <= m_now; link.inFlight.pop_front()) {
        const Heartbeat &heartbeat = link.inFlight.front().heartbeat;
        link.highestSequence = heartbeat.sequence;
        link.lastHeard = m_now;
        m_hosts[to].gate->heartbeatReceived(m_names[from], heartbeat, m_now);
    }
}

void TierGateSimulation::tryShed(Host &host)
{
    if (!host.tierToShed && randomInt(0, 99) == 0) {
        host.tierToShed = randomInt(0, 1);
    }
    if (host.tierToShed && host.gate->mayShed(Pool, *host.tierToShed, m_now)) {
        host.shed = host.tierToShed;
        host.shedAt = m_now;
        host.tierToShed.reset();
        ++m_sheds;
    }
}

void TierGateSimulation::check(std::size_t shedding)
{
    const Host &host = m_hosts[shedding];
    if (!host.shed || m_now >= host.shedAt + TierGate::FloorDuration) {
        return;
    }
    for (std::size_t other = 0; other < HostCount; ++other) {
        const bool inContact = m_now - m_links[shedding][other].lastHeard < ContactTimeout
            && m_now - m_links[other][shedding].lastHeard < ContactTimeout;
        const bool mustHonorFloor = other == shedding || inContact;
        if (mustHonorFloor && m_hosts[other].gate->lowestGrantable(Pool, m_now) > *host.shed && m_violation.empty()) {
            m_violation = m_names[other] + " may grant below tier " + std::to_string(*host.shed) + " while "
                + m_names[shedding] + " sheds it";
        }
    }
}

} // namespace

// Guards against a host in contact that grants a lower tier while a tier is shed, because heartbeats are lost or late
// or a link works in one direction only.
TEST_CASE("no host in contact grants a lower tier while a tier is shed", "[tiergate][random]")
{
    constexpr std::uint64_t seeds = 5000;
    std::uint64_t sheds = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        TierGateSimulation simulation(seed);
        const std::string violation = simulation.run();
        INFO("seed " << seed << ": " << violation);
        REQUIRE(violation.empty());
        sheds += simulation.sheds();
    }
    CHECK(sheds > 5 * seeds);
}
