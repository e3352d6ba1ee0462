#include "coordination/leasetable.h"
#include "coordination/versioncontroller.h"
#include "tests/coordination/simulatedlog.h"

#include <catch2/catch.hpp>

#include <array>
#include <map>

using namespace sapphirecove;
using namespace sapphirecove::coordination;
using namespace std::chrono_literals;

namespace {

const state::Time Start = state::timeFromMicroseconds(1'000'000'000);
const state::PoolId Pool = "index-llm";
constexpr state::Duration Deadline = 6min;

std::shared_ptr<const state::Configuration> configuration()
{
    auto result = std::make_shared<state::Configuration>();
    result->pools[Pool] = { Pool, state::PoolKind::Model, Pool, "v1" };
    for (const auto *id : { "index-1", "index-2", "index-3", "index-4" }) {
        result->targets[id] = { id, Pool, "127.0.0.1", 9000, "dalseo" };
    }
    result->changes.push_back({ "index-v2", Pool, "v1", "v2", Start + Deadline });
    return result;
}

struct Host
{
    state::HostId id;
    LeaseTable leases = LeaseTable::create(id, 1);
    VersionController controller = VersionController::create(id, 100);
    state::Time pausedUntil{};
};

/** Two hosts that compete for the lease, and targets that ignore fencing numbers and execute late orders. */
class FailoverSimulation
{
public:
    FailoverSimulation(std::uint64_t seed, bool isBad)
        : m_leases(seed)
        , m_steps(seed + 1'000'000)
        , m_isBad(isBad)
    {
        const auto declared = configuration();
        for (auto &host : m_hosts) {
            host.controller.configure(declared);
        }
        for (const auto &[id, target] : declared->targets) {
            m_targets[id] = "v1";
        }
    }

    void step(bool injectFaults)
    {
        m_now += 250ms;
        m_leases.advance(m_now, 1h);
        m_steps.advance(m_now, 1h);
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            auto &host = m_hosts[i];
            if (injectFaults && m_leases.randomBelow(200) == 0) {
                host.pausedUntil = m_now + m_leases.randomDelay(30s);
            }
            if (m_now >= host.pausedUntil) {
                run(host, injectFaults ? m_leases.randomBelow(2) == 0 : i == 0);
            }
        }
        serve();
        applyDueOrders();
    }

    /** Returns whether both hosts agree on the end of the change and all targets run the version in force. */
    bool hasEnded(state::ChangeState expected) const
    {
        const auto version = expected == state::ChangeState::Done ? "v2" : "v1";
        return std::all_of(m_hosts.begin(),
                           m_hosts.end(),
                           [&](const Host &host) {
                               return host.controller.status()[0].state == expected;
                           })
            && std::all_of(m_targets.begin(), m_targets.end(), [&](const auto &target) {
                   return target.second == version;
               });
    }

    state::ChangeState state() const
    {
        return m_hosts[0].controller.status()[0].state;
    }

    int regressions = 0; /**< steps at which a host moved a change back */

private:
    void run(Host &host, bool isSelected)
    {
        const auto before = host.controller.status()[0];
        read(host);
        const auto after = host.controller.status()[0];
        regressions += after.state < before.state ? 1 : 0;
        regressions += after.state == before.state && after.sharePerMille < before.sharePerMille && !m_isBad ? 1 : 0;
        const auto name = VersionController::leaseName(Pool);
        if (host.leases.needsRenewal(name, m_now) || host.leases.shouldAcquire(name, isSelected, m_now)) {
            m_leases.send(host.leases.take(name, m_now), m_now, 5s);
        }
        for (const auto &[id, version] : m_targets) {
            host.controller.loadReported({ id, m_now, 0, 0, version, false }, m_now);
        }
        const auto fencing = host.leases.fencing(name, m_now);
        const auto held = fencing ? std::map<state::PoolId, state::Offset>{ { Pool, *fencing } }
                                  : std::map<state::PoolId, state::Offset>{};
        const auto decisions = host.controller.decide(held, m_now);
        for (const auto &record : decisions.steps) {
            m_steps.send(record, m_now, 5s);
        }
        for (const auto &order : decisions.orders) {
            send(host, order);
        }
    }

    void read(Host &host)
    {
        const auto leases = m_leases.read(host.leases.readPosition(), 100);
        for (const auto &record : leases.records) {
            host.leases.apply(record, m_now);
        }
        host.leases.readTo(leases.next, leases.atEnd);
        const auto steps = m_steps.read(host.controller.readPosition(), 100);
        for (const auto &record : steps.records) {
            host.controller.apply(record, m_now);
        }
        host.controller.readTo(steps.next, steps.atEnd);
        for (const auto &other : m_hosts) {
            for (const auto &halt : other.controller.halts()) {
                host.controller.applyHalt(halt);
            }
        }
    }

    /** Delivers an order immediately, late or never; the response can be lost too. */
    void send(Host &host, const SendOrder &order)
    {
        const auto delivery = m_leases.randomBelow(4);
        if (delivery != 0) {
            m_orders.push_back({ m_now + (delivery == 1 ? m_leases.randomDelay(30s) : 0s), order });
        }
        if (delivery > 1) {
            host.controller.orderAnswered({ order.order, order.target, true, true, "" }, m_now);
        }
    }

    void applyDueOrders()
    {
        std::erase_if(m_orders, [&](const auto &item) {
            if (item.first <= m_now) {
                m_targets[item.second.target] = item.second.version;
            }
            return item.first <= m_now;
        });
    }

    void serve()
    {
        for (int i = 0; i < 5; ++i) {
            auto &host = m_hosts[m_steps.randomBelow(m_hosts.size())];
            const auto shares = host.controller.shares(Pool);
            SlotRelease release;
            release.group = Pool + "@yeongnam#0";
            release.version =
                static_cast<int>(m_steps.randomBelow(1000)) < shares.sharePerMille ? shares.to : shares.from;
            release.target = "index-1";
            release.outcome = m_isBad && release.version == "v2" ? GrantOutcome::Failed : GrantOutcome::Complete;
            release.total = 50ms;
            for (auto &observer : m_hosts) {
                observer.controller.observe(release, "", m_now);
            }
        }
    }

    std::array<Host, 2> m_hosts{ Host{ "d1" }, Host{ "d2" } };
    tests::SimulatedLog m_leases;
    tests::SimulatedLog m_steps;
    bool m_isBad = false;
    state::Time m_now = Start;
    std::map<state::TargetId, state::VersionName> m_targets;
    std::vector<std::pair<state::Time, SendOrder>> m_orders;
};

} // namespace

// Guards against a change that returns to an earlier step, ends differently on two hosts, or leaves targets on the
// wrong version, with paused lease holders, lost and late steps, and late orders to targets that ignore fencing
// numbers.
TEST_CASE("hosts and targets agree on the end of a change when its lease moves in random schedules",
          "[versioncontroller]")
{
    int done = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        const bool isBad = seed % 2 == 0;
        FailoverSimulation simulation(seed, isBad);
        for (auto time = 0s; time < Deadline; time += 1s) {
            for (int i = 0; i < 4; ++i) {
                simulation.step(true);
            }
        }
        for (int i = 0; i < 600; ++i) {
            simulation.step(false);
        }
        INFO("seed " << seed);
        REQUIRE(simulation.regressions == 0);
        REQUIRE((simulation.state() == state::ChangeState::RolledBack
                 || (!isBad && simulation.state() == state::ChangeState::Done)));
        REQUIRE(simulation.hasEnded(simulation.state()));
        done += simulation.state() == state::ChangeState::Done ? 1 : 0;
    }
    CHECK(done >= 40);
}
