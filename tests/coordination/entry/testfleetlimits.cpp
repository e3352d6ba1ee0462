#include "tests/coordination/entry/simulatedfleet.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace sapphirecove;
using namespace sapphirecove::tests::entry;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/** Terms of the users' rule LIMIT. */
constexpr state::Duration Window = seconds(4);
constexpr state::Duration ContactTime = seconds(4);
constexpr state::Duration ToldDelay = milliseconds(500);
constexpr double AllowedShare = 1.5;
constexpr double AllowedSlack = 5;

/** Time after which all hosts know the decider. */
constexpr state::Duration Settling = seconds(2);

constexpr const char *Limited = "t0";

RateStatement limitOf(double requestsPerSecond)
{
    return { RateStatement::Kind::Limit, requestsPerSecond };
}

/** Fleet under load with one target that states limits, and the users' rule about them. */
class LimitScenario
{
public:
    explicit LimitScenario(const SimulatedFleet::Options &options)
        : m_options(options)
        , m_fleet(options)
        , m_random(options.seed * 7919 + 1)
    {
        m_fleet.runUntil(Start + Settling);
    }

    SimulatedFleet &fleet()
    {
        return m_fleet;
    }

    void state(const RateStatement &statement)
    {
        m_fleet.setStatement(Limited, statement);
        if (statement.kind != RateStatement::Kind::Malformed) {
            m_history.push_back({ m_fleet.now(), statement });
        }
    }

    /** Sets the hosts that get no requests. */
    void setIdle(std::set<int> hosts)
    {
        m_idle = std::move(hosts);
    }

    /** Lets @p perSecond requests arrive at random hosts for @p duration. */
    void load(state::Duration duration, int perSecond = 50)
    {
        const state::Time end = m_fleet.now() + duration;
        std::uniform_int_distribution<int> host(0, m_options.hosts - 1);
        while (m_fleet.now() < end) {
            ScheduledRequest request = makeRequest(0, 1, 600, m_fleet.now());
            request.latencyTarget = seconds(1);
            request.deadline = m_fleet.now() + seconds(10);
            const int at = host(m_random);
            if (!m_stopped.contains(at) && !m_idle.contains(at)) {
                m_submitted.emplace_back(m_fleet.submit(at, request, milliseconds(400)), at);
            }
            m_fleet.runUntil(m_fleet.now() + state::Duration(seconds(1)) / perSecond);
        }
    }

    void pause(int host)
    {
        m_disruptions.push_back({ host, m_fleet.now(), state::Time::max() });
        m_stopped.insert(host);
        m_fleet.pause(host, true);
    }

    void resume(int host)
    {
        m_fleet.resume(host);
        m_stopped.erase(host);
        endDisruption(host);
    }

    void restart(int host)
    {
        m_disruptions.push_back({ host, m_fleet.now(), m_fleet.now() });
        m_fleet.restart(host);
    }

    void kill(int host)
    {
        m_disruptions.push_back({ host, m_fleet.now(), state::Time::max() });
        m_stopped.insert(host);
        m_fleet.kill(host);
    }

    /** Cuts the hosts of @p part off from the others, or reconnects them. */
    void cut(const std::vector<int> &part, bool isCut)
    {
        for (int host = 0; host < m_options.hosts; ++host) {
            const bool inside = std::find(part.begin(), part.end(), host) != part.end();
            for (const int other : part) {
                if (!inside) {
                    m_fleet.setPartition(host, other, isCut);
                    m_fleet.setPartition(other, host, isCut);
                }
            }
        }
        for (const int host : part) {
            if (isCut) {
                m_disruptions.push_back({ host, m_fleet.now(), state::Time::max() });
            } else {
                endDisruption(host);
            }
        }
    }

    /** Returns the requests by which the rule was exceeded at most; 0 or less if it was kept. */
    double excess() const
    {
        double most = -AllowedSlack;
        const auto &arrivals = m_fleet.arrivalsAt(Limited);
        for (auto last = arrivals.begin(); last != arrivals.end(); ++last) {
            const auto inForce = inForceSince(last->at);
            if (!inForce || *inForce + ContactTime > last->at) {
                continue;
            }
            double count = 0;
            for (auto arrival = last;; --arrival) {
                if (arrival->at <= last->at - Window) {
                    break;
                }
                count += counts(*arrival, last->at) ? 1 : 0;
                if (arrival == arrivals.begin()) {
                    break;
                }
            }
            most = std::max(most, count - AllowedShare * stated(last->at - Window, last->at) - AllowedSlack);
        }
        return most;
    }

    /** Returns how many requests reached the limited target between @p begin and @p end. */
    std::size_t arrivals(state::Time begin, state::Time end) const
    {
        const auto &all = m_fleet.arrivalsAt(Limited);
        return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [&](const auto &arrival) {
            return arrival.at > begin && arrival.at <= end;
        }));
    }

    /** Returns how many requests of hosts that were never disrupted got no decision. */
    std::size_t lost() const
    {
        return static_cast<std::size_t>(std::count_if(m_submitted.begin(), m_submitted.end(), [this](const auto &item) {
            const bool calm = std::none_of(m_disruptions.begin(), m_disruptions.end(), [&](const Disruption &d) {
                return d.host == item.second;
            });
            return calm && !m_fleet.decisions().contains(item.first);
        }));
    }

private:
    struct Disruption
    {
        int host = 0;
        state::Time begin;
        state::Time end;
    };

    struct Statement
    {
        state::Time at;
        RateStatement statement;
    };

    void endDisruption(int host)
    {
        for (auto &disruption : m_disruptions) {
            if (disruption.host == host && disruption.end == state::Time::max()) {
                disruption.end = m_fleet.now();
            }
        }
    }

    /** Returns since when a limit, whatever its value, has been in force at @p at. */
    std::optional<state::Time> inForceSince(state::Time at) const
    {
        std::optional<state::Time> since;
        for (const auto &entry : m_history) {
            if (entry.at > at) {
                break;
            }
            if (entry.statement.kind == RateStatement::Kind::None) {
                since.reset();
            } else if (!since) {
                since = entry.at;
            }
        }
        return since;
    }

    /** Returns the requests that the stated limits allow from @p begin to @p end. */
    double stated(state::Time begin, state::Time end) const
    {
        double sum = 0;
        for (auto entry = m_history.begin(); entry != m_history.end(); ++entry) {
            const state::Time until = std::next(entry) == m_history.end() ? end : std::min(end, std::next(entry)->at);
            const state::Time from = std::max(begin, entry->at);
            if (until > from) {
                sum += entry->statement.requestsPerSecond * state::toSeconds(until - from);
            }
        }
        return sum;
    }

    bool counts(const SimulatedFleet::Arrival &arrival, state::Time windowEnd) const
    {
        const auto told = m_fleet.limitToldAt(Limited, arrival.host);
        if (!told || arrival.at - *told < ToldDelay) {
            return false;
        }
        return std::none_of(m_disruptions.begin(), m_disruptions.end(), [&](const Disruption &disruption) {
            const bool past = disruption.end != state::Time::max() && disruption.end + ContactTime < windowEnd - Window;
            return disruption.host == arrival.host && disruption.begin <= windowEnd && !past;
        });
    }

    SimulatedFleet::Options m_options;
    SimulatedFleet m_fleet;
    std::mt19937 m_random;
    std::vector<Statement> m_history;
    std::vector<Disruption> m_disruptions;
    std::set<int> m_stopped;
    std::set<int> m_idle;
    std::vector<std::pair<std::uint64_t, int>> m_submitted;
};

} // namespace

// Guards against hosts that together send a target more requests than the limit that it states in its responses.
TEST_CASE("all hosts together keep to the limit that a target states", "[entry][fleet][limit]")
{
    for (const int hosts : { 1, 6, 40 }) {
        for (const double limit : { 0.3, 2.7, 8.0 }) {
            INFO(hosts << " hosts, limit " << limit);
            LimitScenario scenario({ hosts, 3, 12 });
            scenario.load(seconds(3));
            const state::Time stated = scenario.fleet().now();
            scenario.state(limitOf(limit));
            scenario.load(seconds(12));
            CHECK(scenario.excess() <= 0);
            // The target still gets what it takes.
            CHECK(scenario.arrivals(stated + seconds(2), stated + seconds(12)) >= static_cast<std::size_t>(limit * 5));
            scenario.load(seconds(11), 1);
            CHECK(scenario.lost() == 0);
        }
    }
}

// Guards against a limit that is forgotten, or counted anew, when another host starts to decide.
TEST_CASE("a limit holds when the decider is killed, paused or restarted", "[entry][fleet][limit]")
{
    enum class Fault { Kill, Pause, Restart };
    for (const Fault fault : { Fault::Kill, Fault::Pause, Fault::Restart }) {
        INFO("fault " << static_cast<int>(fault));
        LimitScenario scenario({ 8, 3, 12 });
        scenario.load(seconds(2));
        scenario.state(limitOf(2));
        scenario.load(seconds(5));
        REQUIRE(scenario.fleet().deciders().size() == 1);
        const int decider = scenario.fleet().deciders().front();
        switch (fault) {
        case Fault::Kill:
            scenario.kill(decider);
            break;
        case Fault::Pause:
            scenario.pause(decider);
            scenario.load(seconds(3));
            scenario.resume(decider);
            break;
        case Fault::Restart:
            scenario.restart(decider);
            break;
        }
        scenario.load(seconds(8));
        CHECK(scenario.excess() <= 0);
    }
}

// Guards against parts of a partitioned fleet that each use the whole limit, and against hosts that decide alone.
TEST_CASE("the parts of a partitioned fleet share a limit", "[entry][fleet][limit]")
{
    for (const bool alone : { false, true }) {
        INFO((alone ? "each host alone" : "two halves"));
        LimitScenario scenario({ 10, 3, 12 });
        scenario.load(seconds(2));
        scenario.state(limitOf(4));
        scenario.load(seconds(5));
        const state::Time begin = scenario.fleet().now();
        if (alone) {
            for (int host = 0; host < 10; ++host) {
                scenario.cut({ host }, true);
            }
        } else {
            scenario.cut({ 0, 1, 2, 3, 4 }, true);
        }
        // Longer than hosts that stopped reporting count as peers.
        scenario.load(PeerTable::ForgetAfter + seconds(12));
        CHECK(scenario.excess() <= 0);
        // The rule excuses hosts that are cut off, but the target asked all of them.
        for (state::Time from = begin + seconds(2); from + Window < scenario.fleet().now(); from += Window) {
            const std::size_t arrivals = scenario.arrivals(from, from + Window);
            CHECK(static_cast<double>(arrivals) <= AllowedShare * 4 * 4 + AllowedSlack);
        }
    }
}

// Guards against a limit that stays with the hosts that read it.
TEST_CASE("a decider learns a limit that only other hosts have read", "[entry][fleet][limit]")
{
    LimitScenario scenario({ 8, 3, 12 });
    scenario.load(seconds(2));
    REQUIRE(scenario.fleet().deciders().size() == 1);
    scenario.setIdle({ scenario.fleet().deciders().front() });
    scenario.state(limitOf(2));
    scenario.load(seconds(8));
    CHECK(scenario.excess() <= 0);
}

// Guards against hosts that each send a request at once when they lose the decider, as they read no limit or saved up.
TEST_CASE("many hosts that have to decide alone at once keep to a limit that few have read", "[entry][fleet][limit]")
{
    constexpr int hosts = 40;
    LimitScenario scenario({ hosts, 3, 12 });
    std::set<int> idle;
    for (int host = 4; host < hosts; ++host) {
        idle.insert(host);
    }
    scenario.setIdle(idle);
    scenario.load(seconds(2));
    scenario.state(limitOf(1));
    scenario.load(seconds(8));
    scenario.setIdle({});
    for (int host = 0; host < hosts; ++host) {
        scenario.cut({ host }, true);
    }
    for (int i = 0; i < 6; ++i) {
        const state::Time begin = scenario.fleet().now();
        scenario.load(Window);
        CHECK(static_cast<double>(scenario.arrivals(begin, begin + Window)) <= AllowedShare * 1 * 4 + AllowedSlack);
    }
}

// Guards against a target that was in need and gets all waiting requests at once when it no longer states a limit.
TEST_CASE("the rate at a target grows step by step after its limit has ended", "[entry][fleet][limit]")
{
    LimitScenario scenario({ 6, 3, 12 });
    scenario.load(seconds(2));
    scenario.state(limitOf(2));
    scenario.load(seconds(5));
    const state::Time ended = scenario.fleet().now();
    scenario.state({});
    scenario.load(seconds(8));
    CHECK(scenario.arrivals(ended, ended + seconds(1)) <= 2 * 4); // The rate has doubled twice at most.
    CHECK(scenario.arrivals(ended + seconds(5), ended + seconds(8)) >= 30);
}

// Guards against an outdated limit, and against a malformed one that is taken for none.
TEST_CASE("a limit that changes or ends is followed and a malformed one changes nothing", "[entry][fleet][limit]")
{
    LimitScenario scenario({ 6, 3, 12 });
    scenario.load(seconds(2));
    scenario.state(limitOf(10));
    scenario.load(seconds(6));
    scenario.state(limitOf(2));
    scenario.load(seconds(6));
    const state::Time malformed = scenario.fleet().now();
    scenario.state({ RateStatement::Kind::Malformed, 0 });
    scenario.load(seconds(6));
    CHECK(scenario.excess() <= 0);
    CHECK(static_cast<double>(scenario.arrivals(malformed, malformed + seconds(6)))
          <= AllowedShare * 2 * 6 + AllowedSlack);
    scenario.state(limitOf(6));
    scenario.load(seconds(2));
    const state::Time raised = scenario.fleet().now();
    scenario.load(seconds(5));
    CHECK(scenario.arrivals(raised, raised + seconds(5)) >= 15);
    scenario.state({});
    scenario.load(seconds(6));
    const state::Time ended = scenario.fleet().now();
    scenario.load(seconds(4));
    CHECK(scenario.arrivals(ended, ended + seconds(4)) >= 40); // A third of the load of 50 a second, less for noise.
    CHECK(scenario.excess() <= 0);
}

// Guards against a limit of zero that is never asked about again, so that its end goes unnoticed.
TEST_CASE("a target that takes no requests is tried seldom until it takes some", "[entry][fleet][limit]")
{
    LimitScenario scenario({ 6, 3, 12 });
    scenario.load(seconds(2));
    scenario.state(limitOf(0));
    scenario.load(seconds(16));
    CHECK(scenario.excess() <= 0);
    scenario.state({});
    scenario.load(seconds(10));
    const state::Time ended = scenario.fleet().now();
    scenario.load(seconds(4));
    CHECK(scenario.arrivals(ended, ended + seconds(4)) >= 40);
}

// Guards against schedules of faults that no case above has.
TEST_CASE("limits hold under random schedules of faults", "[entry][fleet][limit][random]")
{
    for (std::uint32_t seed = 1; seed <= 60; ++seed) {
        INFO("seed " << seed);
        std::mt19937 random(seed);
        const auto pick = [&random](int first, int last) {
            return std::uniform_int_distribution<int>(first, last)(random);
        };
        const int hosts = pick(3, 14);
        SimulatedFleet::Options options{ hosts, pick(2, 4), 12, 0.01 * pick(0, 5), seed };
        LimitScenario scenario(options);
        scenario.load(seconds(2));
        scenario.state(limitOf(0.5 * pick(1, 16)));
        scenario.load(seconds(2));
        for (int step = 0; step < 6; ++step) {
            const int victim = pick(0, hosts - 1);
            const auto deciders = scenario.fleet().deciders();
            const int host = pick(0, 1) == 0 && !deciders.empty() ? deciders.front() : victim;
            switch (pick(0, 5)) {
            case 0:
                scenario.restart(host);
                break;
            case 1:
                scenario.pause(host);
                scenario.load(milliseconds(pick(300, 4000)));
                scenario.resume(host);
                break;
            case 2:
                scenario.cut({ host }, true);
                scenario.load(milliseconds(pick(300, 4000)));
                scenario.cut({ host }, false);
                break;
            case 3:
                scenario.state(limitOf(0.5 * pick(1, 16)));
                break;
            case 4:
                scenario.state({ RateStatement::Kind::Malformed, 0 });
                break;
            case 5:
                // Nothing of the limit is left but what the next responses state.
                scenario.state(limitOf(0.5 * pick(1, 16)));
                for (int i = 0; i < hosts; ++i) {
                    scenario.restart(i);
                }
                break;
            }
            scenario.load(milliseconds(pick(500, 4000)));
        }
        scenario.load(seconds(2));
        CHECK(scenario.excess() <= 0);
        scenario.load(seconds(11), 1);
        CHECK(scenario.lost() == 0);
    }
}
