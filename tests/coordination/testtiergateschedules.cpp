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
constexpr state::Duration Contact = std::chrono::seconds(5);
const std::string Pool = "pool";

/** Gates of three hosts over links that delay, lose and sometimes cut off heartbeats in one direction. */
class GateSchedule
{
public:
    explicit GateSchedule(std::uint64_t seed);

    /** Runs the schedule; returns the first violation, or an empty text. */
    std::string run();

    std::uint64_t sheds() const
    {
        return m_sheds;
    }

private:
    struct Flying
    {
        state::Time arrival{};
        Heartbeat heartbeat;
    };

    struct Link
    {
        std::deque<Flying> flying;
        state::Time cutUntil{};
        state::Time lastHeard{};
        std::uint64_t highest = 0; /**< sequence received over this link */
    };

    struct Host
    {
        std::unique_ptr<TierGate> gate;
        std::uint64_t sequence = 0;
        std::optional<state::Tier> wanted; /**< tier that the host wants to shed */
        std::optional<state::Tier> shed; /**< tier of the last shed */
        state::Time shedAt{};
    };

    int pick(int low, int high);
    void beat(std::size_t from);
    void receive(std::size_t from, std::size_t to);
    void want(Host &host);
    void check(std::size_t shedding);

    std::mt19937_64 m_random;
    state::Time m_now = Start;
    std::array<state::HostId, HostCount> m_names{ "a", "b", "c" };
    std::array<Host, HostCount> m_hosts;
    std::array<std::array<Link, HostCount>, HostCount> m_links; // by sender and receiver
    std::uint64_t m_sheds = 0;
    std::string m_violation;
};

GateSchedule::GateSchedule(std::uint64_t seed)
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

int GateSchedule::pick(int low, int high)
{
    return std::uniform_int_distribution<int>(low, high)(m_random);
}

std::string GateSchedule::run()
{
    for (int step = 0; step < StepCount && m_violation.empty(); ++step) {
        m_now += Step;
        for (std::size_t from = 0; from < HostCount; ++from) {
            for (std::size_t to = 0; to < HostCount; ++to) {
                receive(from, to);
            }
        }
        for (std::size_t i = 0; i < HostCount; ++i) {
            want(m_hosts[i]);
            if ((step + 3 * static_cast<int>(i)) % 10 == 0) {
                beat(i);
            }
        }
        for (std::size_t i = 0; i < HostCount; ++i) {
            check(i);
        }
    }
    return m_violation;
}

void GateSchedule::beat(std::size_t from)
{
    Host &host = m_hosts[from];
    Heartbeat heartbeat;
    heartbeat.sequence = ++host.sequence;
    heartbeat.floors = host.gate->floors(m_now);
    host.gate->heartbeatSent(heartbeat.sequence, m_now);
    for (std::size_t to = 0; to < HostCount; ++to) {
        Link &link = m_links[from][to];
        if (pick(0, 199) == 0) {
            link.cutUntil = m_now + milliseconds(pick(200, 7000));
        }
        if (to == from || m_now < link.cutUntil || pick(0, 9) == 0) {
            continue;
        }
        heartbeat.acknowledged = m_links[to][from].highest;
        const state::Time earliest = link.flying.empty() ? m_now : link.flying.back().arrival;
        link.flying.push_back({ std::max(earliest, m_now + milliseconds(pick(1, 100))), heartbeat });
    }
}

void GateSchedule::receive(std::size_t from, std::size_t to)
{
    Link &link = m_links[from][to];
    for (; !link.flying.empty() && link.flying.front().arrival <= m_now; link.flying.pop_front()) {
        const Heartbeat &heartbeat = link.flying.front().heartbeat;
        link.highest = heartbeat.sequence;
        link.lastHeard = m_now;
        m_hosts[to].gate->heartbeatReceived(m_names[from], heartbeat, m_now);
    }
}

void GateSchedule::want(Host &host)
{
    if (!host.wanted && pick(0, 99) == 0) {
        host.wanted = pick(0, 1);
    }
    if (host.wanted && host.gate->mayShed(Pool, *host.wanted, m_now)) {
        host.shed = host.wanted;
        host.shedAt = m_now;
        host.wanted.reset();
        ++m_sheds;
    }
}

void GateSchedule::check(std::size_t shedding)
{
    const Host &host = m_hosts[shedding];
    if (!host.shed || m_now >= host.shedAt + TierGate::FloorDuration) {
        return;
    }
    for (std::size_t other = 0; other < HostCount; ++other) {
        const bool inContact = m_now - m_links[shedding][other].lastHeard < Contact
            && m_now - m_links[other][shedding].lastHeard < Contact;
        const bool bound = other == shedding || inContact;
        if (bound && m_hosts[other].gate->lowestGrantable(Pool, m_now) > *host.shed && m_violation.empty()) {
            m_violation = m_names[other] + " would grant below tier " + std::to_string(*host.shed) + " while "
                + m_names[shedding] + " sheds it";
        }
    }
}

} // namespace

// Guards guarantee 2 against lost and late heartbeats and against links that work in one direction only.
TEST_CASE("no host in contact grants a lower tier while a tier is shed", "[tiergate][random]")
{
    constexpr std::uint64_t seeds = 5000;
    std::uint64_t sheds = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        GateSchedule schedule(seed);
        const std::string violation = schedule.run();
        INFO("seed " << seed << ": " << violation);
        REQUIRE(violation.empty());
        sheds += schedule.sheds();
    }
    CHECK(sheds > 5 * seeds);
}
