#pragma once

#include "coordination/arbiter.h"
#include "coordination/tiergate.h"
#include "tests/coordination/grantobserver.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace sapphirecove::coordination::testing {

/**
 * Random simulation of an arbiter and three entry hosts. The links between them delay, lose and duplicate messages but
 * keep their order. The same seed gives the same run.
 */
class ArbiterSimulation
{
public:
    explicit ArbiterSimulation(std::uint64_t seed);

    /** Runs the simulation and returns the first violation of the arbiter's rules; empty if there was none. */
    std::string run();

    const GrantObserver &observer() const;

private:
    enum class State {
        Waiting,
        Granted, /**< the dispatch starts at Request::next */
        Running,
    };

    struct Request
    {
        State state = State::Waiting;
        SlotRequest slotRequest;
        SlotGrant grant;
        state::Time next{}; /**< when the slot request is resent or the dispatch starts or ends */
        state::Duration serviceTime{};
    };

    struct Host
    {
        state::HostId id;
        std::map<state::RequestId, Request> requests;
    };

    struct InFlightMessage
    {
        state::Time arrival{};
        std::size_t host = 0;
        Message message;
    };

    int randomInt(int low, int high);
    bool chance(double probability);
    void makeTargets();
    void makeGate();
    void changeTargets();
    void exchangeHeartbeats();
    void step(bool withNewRequests);
    void addRequest(Host &host);
    void runHost(std::size_t index);
    void advanceRequest(std::size_t index, Request &request, std::vector<state::RequestId> &ended);
    void sendToArbiter(std::size_t host, const Message &message);
    void sendToHosts(const Replies &replies);
    void deliverToArbiter(const InFlightMessage &inFlight);
    void deliverToHost(const InFlightMessage &inFlight);
    void receiveGrant(std::size_t host, const SlotGrant &grant);
    void sendReport(std::size_t host);
    void checkRunning();
    SlotRelease releaseOf(const Request &request, GrantOutcome outcome) const;
    void send(std::deque<InFlightMessage> &link, std::size_t host, const Message &message);

    std::mt19937_64 m_random;
    state::Time m_now;
    std::vector<ArbiterTarget> m_targets;
    std::unique_ptr<TierGate> m_gate;
    bool m_hasPeer = false;
    std::uint64_t m_heartbeat = 0;
    std::unique_ptr<Arbiter> m_arbiter;
    std::unique_ptr<GrantObserver> m_observer;
    std::vector<Host> m_hosts;
    std::vector<std::deque<InFlightMessage>> m_arbiterLinks; // from each host to the arbiter
    std::vector<std::deque<InFlightMessage>> m_hostLinks; // from the arbiter to each host
    int m_nextRequest = 0;
    std::string m_violation;
};

} // namespace sapphirecove::coordination::testing
