#pragma once

#include "coordination/entry/fleetscheduler.h"
#include "tests/coordination/entry/requests.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace sapphirecove::tests::entry {

/**
 * Simulates hosts that decide for each other over a network with delays and losses, and targets that only count the
 * requests that run there. Time advances in steps; all randomness comes from the seed.
 */
class SimulatedFleet
{
public:
    struct Options
    {
        int hosts = 7;
        int targets = 4;
        std::uint32_t slots = 6;
        double loss = 0; /**< share of messages that are lost */
        std::uint32_t seed = 1;
        double quotaRate = 0; /**< of the customer "c", in cost per second; 0 for no quota */
        bool twoRegions = false; /**< every second target lies in "adum" in the region "kumasi" */
        double coldRate = 0; /**< requests per second that a cold target bears; 0 if targets are never cold */
        bool twoServices = false; /**< every second target runs the service "plain" in place of "llm" */
    };

    explicit SimulatedFleet(const Options &options);
    ~SimulatedFleet();

    /** Advances the time to @p end in steps of a few milliseconds. */
    void runUntil(state::Time end);

    /** Submits a request at host @p host; when placed it runs for @p work. */
    std::uint64_t submit(int host, ScheduledRequest request, state::Duration work);

    /**
     * Stops host @p host from running and receiving until resume(). If @p queuesMessages, messages sent meanwhile are
     * delivered then; otherwise they are lost.
     */
    void pause(int host, bool queuesMessages);
    void resume(int host);

    /** Ends the process of host @p host for good. */
    void kill(int host);

    /** Starts a new process of host @p host, which knows its peers and the targets but nothing else. */
    void restart(int host);

    /** Makes the responses of @p target state @p statement from now on. */
    void setStatement(const std::string &target, const RateStatement &statement);

    /**
     * Makes @p target tell the hosts in @p hearers that it leaves, or that it wants no requests for @p backOff; such
     * requests do not run. Holds until the next call and for this incarnation of the target only.
     */
    void setClosing(const std::string &target, bool leaving, state::Duration backOff, std::set<int> hearers);

    /** Makes the store hold an order to evacuate @p domain from now on, or none any more. */
    void setEvacuated(const std::string &domain, bool evacuated);

    /** Makes @p target cold for ColdTime, which discovery lists after ColdListed. */
    void makeCold(const std::string &target);

    /** Time for which targets are cold after their start, and from the beginning of coldness to the entry about it. */
    static constexpr state::Duration ColdTime = std::chrono::seconds(3);
    static constexpr state::Duration ColdListed = std::chrono::milliseconds(1600);

    /** Number of placements outside of the allowed regions of their requests, which the hosts did not use. */
    int withheldOutsideRegions() const
    {
        return m_withheldOutsideRegions;
    }

    /** Makes targets crash when they begin to answer a request with one of @p parts of a prompt. */
    void setDeadlyParts(std::set<std::uint64_t> parts);

    /** Ends all requests at @p target; it refuses requests for some seconds and is then another incarnation. */
    void crash(const std::string &target);

    /** Times at which targets crashed by a request with a deadly part. */
    const std::vector<state::Time> &deadlyCrashes() const
    {
        return m_deadlyCrashes;
    }

    /** Times at which requests with a deadly part reached targets. */
    const std::vector<state::Time> &deadlyArrivals() const
    {
        return m_deadlyArrivals;
    }

    /** Makes discovery refuse host @p host: its list of targets is no longer updated or confirmed; or serve it again.
     */
    void denyDiscovery(int host, bool denied = true);

    /** Makes discovery list @p target as draining from now on. */
    void drain(const std::string &target);

    /** Makes discovery no longer list @p target. */
    void remove(const std::string &target);

    /** Drops messages from @p from to @p to, or delivers them again if @p isPartitioned is false. */
    void setPartition(int from, int to, bool isPartitioned);

    /** Returns the hosts that count themselves as the decider, since they get decision requests. */
    std::vector<int> deciders() const;

    state::Time now() const
    {
        return m_now;
    }

    /** A request that reached a target. */
    struct Arrival
    {
        state::Time at;
        int host = 0;
    };

    /** A placement that its host gave back, as the target had told it to send nothing. */
    struct Withheld
    {
        state::Time at;
        int host = 0;
        state::Time heardAt; /**< when the target told it */
    };

    const std::vector<Withheld> &withheld() const
    {
        return m_withheld;
    }

    /** Number of requests that reached an incarnation whose statement to their host forbade it. */
    int forbiddenArrivals() const
    {
        return m_forbiddenArrivals;
    }

    /** Requests that reached @p target, oldest first. */
    const std::vector<Arrival> &arrivalsAt(const std::string &target) const;

    /**
     * Returns when the responses of @p target first told host @p host its limit; nothing if they never did, or not
     * since the limit ended. Restarts of the host do not change it.
     */
    std::optional<state::Time> limitToldAt(const std::string &target, int host) const;

    /** Decisions by id; more than one for an id is counted in duplicateDecisions(). */
    const std::map<std::uint64_t, Decision> &decisions() const
    {
        return m_decisions;
    }

    int duplicateDecisions() const
    {
        return m_duplicateDecisions;
    }

    /** Number of requests that were placed at a target of another service. */
    int strayPlacements() const
    {
        return m_strayPlacements;
    }

    /** Most requests that ran at one target at the same time. */
    std::uint32_t highestLoad() const
    {
        return m_highestLoad;
    }

    /** Requests that run at all targets now. */
    std::size_t running() const;

    /** Slots that host @p host considers in use. */
    std::uint32_t slotsInUseAt(int host) const;

    /** Most messages that one host has sent. */
    std::size_t maxMessagesSent() const;

    FleetScheduler &fleet(int host);
    Scheduler &scheduler(int host);

private:
    struct SimulatedHost;
    friend struct SimulatedHost;

    struct Closing
    {
        bool leaving = false;
        state::Duration backOff{};
        std::set<int> hearers;
    };

    /** What a host has been told by a target. */
    struct Heard
    {
        state::Time at;
        state::Time until; /**< the host must send nothing before */
    };

    void post(int from, const std::string &to, std::function<void(SimulatedHost &)> deliver);
    void prepare(SimulatedHost &simulatedHost);
    void submitAt(SimulatedHost &simulatedHost, ScheduledRequest request);
    void placed(int host, const Decision &decision);
    void respond(int host, const Decision &decision);
    bool withhold(int host, const Decision &decision);
    void tellClosing(int host, const Decision &decision);
    void ended(int host, std::uint64_t id, AttemptOutcome outcome);
    void relist(const std::string &target);
    state::entry::TargetEntry entryOf(const std::string &target) const;
    state::entry::RoutingTable configuration() const;
    void report(int host);
    void readTargets(SimulatedHost &simulatedHost);

    Options m_options;
    state::Time m_now = Start;
    std::mt19937 m_random;
    std::multimap<state::Time, std::function<void()>> m_events;
    std::vector<std::unique_ptr<SimulatedHost>> m_hosts;
    std::vector<std::unique_ptr<SimulatedHost>> m_ended; /**< processes of hosts that were started again */
    std::map<std::string, int> m_numberOf;
    std::set<std::pair<int, int>> m_partitions;
    std::map<std::uint64_t, Decision> m_decisions;
    std::map<std::uint64_t, state::Duration> m_work;
    std::map<std::string, std::map<std::uint64_t, int>> m_atTarget; /**< running requests and their hosts */
    std::map<std::uint64_t, std::vector<std::uint64_t>> m_parts; /**< of requests' prompts */
    std::set<std::uint64_t> m_deadlyParts;
    std::set<std::string> m_crashed; /**< targets that refuse requests now */
    std::map<std::string, std::int64_t> m_starts; /**< of targets, to tell incarnations apart */
    std::vector<state::Time> m_deadlyCrashes;
    std::vector<state::Time> m_deadlyArrivals;
    std::map<std::string, RateStatement> m_statements;
    std::map<std::string, bool> m_evacuations; /**< orders that the store held, and whether it still does */
    std::uint64_t m_operatorRecords = 0; /**< in the store */
    int m_withheldOutsideRegions = 0;
    std::map<std::string, Closing> m_closing;
    std::set<std::string> m_removed; /**< which discovery no longer lists */
    std::map<std::string, state::Time> m_draining; /**< when discovery has listed them so */
    std::map<std::pair<int, std::uint32_t>, Heard> m_heard; /**< by host and incarnation of the target */
    std::vector<Withheld> m_withheld;
    int m_forbiddenArrivals = 0;
    std::map<std::uint64_t, ScheduledRequest> m_requests;
    std::map<std::uint64_t, std::uint64_t> m_firstIds; /**< of requests that were placed again under another id */
    std::map<std::string, std::vector<Arrival>> m_arrivals;
    std::map<std::pair<std::string, int>, state::Time> m_limitToldAt;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_lastIncarnation = 1000;
    int m_duplicateDecisions = 0;
    int m_strayPlacements = 0;
    std::uint32_t m_highestLoad = 0;
};

} // namespace sapphirecove::tests::entry
