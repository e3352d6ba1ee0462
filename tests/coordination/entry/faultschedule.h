#pragma once

#include "tests/coordination/entry/simulatedfleet.h"

#include <map>
#include <random>
#include <set>
#include <vector>

namespace sapphirecove::tests::entry {

/** Brings random faults about at the hosts of a simulated fleet, one at a time, each repaired after a while. */
class FaultSchedule
{
public:
    FaultSchedule(SimulatedFleet &fleet, int hosts, std::uint32_t seed)
        : m_fleet(fleet)
        , m_hosts(hosts)
        , m_random(seed)
    {
    }

    /** Runs until @p end; submits a request of @p makeRequest at a random host every @p interval. */
    template <typename MakeRequest>
    void run(state::Time end, state::Duration interval, MakeRequest makeRequest)
    {
        while (m_fleet.now() < end) {
            step();
            const int host = number(m_hosts);
            if (!m_paused.contains(host)) {
                m_ids.push_back(
                    m_fleet.submit(host, makeRequest(m_random), std::chrono::milliseconds(20 + number(200))));
            }
            m_fleet.runUntil(m_fleet.now() + interval);
        }
        for (const int host : m_paused) {
            m_fleet.resume(host);
        }
        m_paused.clear();
    }

    /** Returns whether host @p host was without a fault from @p since to @p until. */
    bool isCalm(int host, state::Time since, state::Time until) const
    {
        const auto found = m_faults.find(host);
        if (found == m_faults.end()) {
            return true;
        }
        for (const auto &[begin, end] : found->second) {
            if (begin <= until && end >= since) {
                return false;
            }
        }
        return true;
    }

    const std::vector<std::uint64_t> &ids() const
    {
        return m_ids;
    }

    int number(int bound)
    {
        return std::uniform_int_distribution<int>(0, bound - 1)(m_random);
    }

private:
    /** Begins or repairs a fault when it is due. */
    void step()
    {
        const state::Time now = m_fleet.now();
        if (now < m_next) {
            return;
        }
        m_next = now + std::chrono::milliseconds(200 + number(900));
        repair();
        // Mostly the decider, whose faults matter most.
        const auto deciders = m_fleet.deciders();
        const int host = deciders.empty() || number(3) == 0 ? number(m_hosts) : deciders.front();
        const state::Time end = now + std::chrono::milliseconds(1500);
        m_faults[host].push_back({ now, end });
        switch (number(4)) {
        case 0:
            m_fleet.kill(host);
            m_fleet.restart(host);
            break;
        case 1:
            m_fleet.pause(host, number(2) == 0);
            m_paused.insert(host);
            break;
        case 2:
            m_fleet.denyDiscovery(host);
            m_denied.insert(host);
            break;
        default:
            for (int other = 0; other < m_hosts; ++other) {
                m_fleet.setPartition(host, other, true);
                m_fleet.setPartition(other, host, true);
            }
            m_cut.insert(host);
            break;
        }
    }

    void repair()
    {
        for (const int host : m_paused) {
            m_fleet.resume(host);
        }
        for (const int host : m_denied) {
            m_fleet.denyDiscovery(host, false);
        }
        for (const int host : m_cut) {
            for (int other = 0; other < m_hosts; ++other) {
                m_fleet.setPartition(host, other, false);
                m_fleet.setPartition(other, host, false);
            }
        }
        m_paused.clear();
        m_denied.clear();
        m_cut.clear();
    }

    SimulatedFleet &m_fleet;
    int m_hosts;
    std::mt19937 m_random;
    state::Time m_next = Start + std::chrono::seconds(2);
    std::set<int> m_paused;
    std::set<int> m_denied;
    std::set<int> m_cut;
    std::map<int, std::vector<std::pair<state::Time, state::Time>>> m_faults;
    std::vector<std::uint64_t> m_ids;
};

} // namespace sapphirecove::tests::entry
