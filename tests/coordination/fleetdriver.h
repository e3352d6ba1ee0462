#pragma once

#include "coordination/coordinator.h"
#include "state/configuration.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace sapphirecove::coordination::test {

/** Faults that the driver injects, as probabilities. */
struct FaultPlan
{
    double messageLoss = 0; /**< per message between hosts */
    double messageDuplication = 0;
    state::Duration maxMessageDelay = std::chrono::milliseconds(30);
    double appendLoss = 0; /**< per append; a lost append never takes effect */
    double appendDuplication = 0;
    double connectRefusal = 0; /**< per dispatch */
    double answerInterruption = 0;
};

/** Observations of one request by the driver, independent of the hosts' own state. */
struct ObservedRequest
{
    RequestInfo info;
    std::size_t host = 0;
    int starts = 0;
    int answers = 0; /**< finished dispatches and refusals passed to the caller */
    std::optional<Refusal> refusal;
    state::Time startedAt{};
    state::TargetId target;
    bool hostDied = false;
};

/**
 * Simulates a fleet of Coordinators through their public interface, in one thread. Message delay, loss and duplication
 * come from a seeded random generator; the log is kept in memory, and targets answer after a fixed service time.
 */
class FleetDriver
{
public:
    FleetDriver(std::size_t hosts, std::uint32_t seed, const FaultPlan &faults);
    ~FleetDriver();

    /** Publishes the driver's configuration as the next generation. */
    void publish();

    /** Advances time in steps of 20 ms. */
    void run(state::Duration duration);

    /** Submits a request to a host and returns the request's id. */
    state::RequestId submit(std::size_t host, state::Tier tier, state::Duration deadline, const std::string &key = {});

    void kill(std::size_t host);
    void restart(std::size_t host);
    void pause(std::size_t host, state::Duration duration);
    void drain(std::size_t host);
    void setLogAvailable(bool available);
    void setLeaving(const state::TargetId &target);
    void setPartition(const std::set<std::size_t> &side, bool active);

    state::Time now() const;
    StatusReport status(std::size_t host) const;
    bool drained(std::size_t host) const;
    bool isAlive(std::size_t host) const;
    const std::map<state::RequestId, ObservedRequest> &requests() const;
    std::mt19937 &random();

    state::Configuration configuration;

private:
    class Checker;
    struct Host;
    struct Delivery
    {
        state::Time time{};
        std::uint64_t order = 0;
        std::size_t host = 0;
        Event event;
    };
    struct DeliveredLater
    {
        bool operator()(const Delivery &left, const Delivery &right) const
        {
            return std::tie(left.time, left.order) > std::tie(right.time, right.order);
        }
    };

    void start(std::size_t host);
    void step();
    void deliver(std::size_t host, const Event &event);
    void perform(std::size_t host, const Action &action);
    void performDispatch(std::size_t host, const Dispatch &dispatch);
    void append(const AppendRecords &append);
    void schedule(std::size_t host, state::Duration delay, Event event);
    void readLog(std::size_t host);
    state::HostList makeHostList() const;
    bool chance(double probability);
    bool isPartitioned(std::size_t left, std::size_t right) const;

    std::mt19937 m_random;
    FaultPlan m_faults;
    std::unique_ptr<Checker> m_checker;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::priority_queue<Delivery, std::vector<Delivery>, DeliveredLater> m_deliveries;
    std::map<state::Stream, std::vector<state::StoredRecord>> m_log;
    std::map<state::RequestId, ObservedRequest> m_requests;
    std::set<state::TargetId> m_leaving;
    std::set<std::size_t> m_partition;
    state::Time m_now{};
    std::uint64_t m_order = 0;
    std::uint64_t m_requestNumber = 0;
    state::Generation m_published = 0;
    bool m_logAvailable = true;
};

} // namespace sapphirecove::coordination::test
