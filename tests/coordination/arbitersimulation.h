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
 * One random run of an arbiter with three entry hosts over links that delay, lose and repeat messages in order.
 * The same seed gives the same run.
 */
class ArbiterSimulation
{
public:
    explicit ArbiterSimulation(std::uint64_t seed);

    /** Runs the schedule; returns the first violation, or an empty text. */
    std::string run();

    const GrantObserver &observer() const;

private:
    enum class State {
        Waiting,
        Granted, /**< the dispatch starts at m_next */
        Running,
    };

    struct Request
    {
        State state = State::Waiting;
        SlotRequest ask;
        SlotGrant grant;
        state::Time next{}; /**< repetition of the ask, start or end of the dispatch */
        state::Duration service{};
    };

    struct Host
    {
        state::HostId id;
        std::map<state::RequestId, Request> requests;
    };

    struct Flying
    {
        state::Time arrival{};
        std::size_t host = 0;
        Message message;
    };

    int pick(int low, int high);
    bool chance(double probability);
    void makeTargets();
    void makeGate();
    void changeTargets();
    void beat();
    void step(bool withNewAsks);
    void newAsk(Host &host);
    void act(std::size_t index);
    void actOn(std::size_t index, Request &request, std::vector<state::RequestId> &ended);
    void toArbiter(std::size_t host, const Message &message);
    void toHosts(const Replies &replies);
    void deliverToArbiter(const Flying &flying);
    void deliverToHost(const Flying &flying);
    void receiveGrant(std::size_t host, const SlotGrant &grant);
    void sendReport(std::size_t host);
    void checkRunning();
    SlotRelease releaseOf(const Request &request, GrantOutcome outcome) const;
    void send(std::deque<Flying> &link, std::size_t host, const Message &message);

    std::mt19937_64 m_random;
    state::Time m_now;
    std::vector<ArbiterTarget> m_targets;
    std::unique_ptr<TierGate> m_gate;
    bool m_hasPeer = false;
    std::uint64_t m_heartbeat = 0;
    std::unique_ptr<Arbiter> m_arbiter;
    std::unique_ptr<GrantObserver> m_observer;
    std::vector<Host> m_hosts;
    std::vector<std::deque<Flying>> m_up; // one link to the arbiter for each host
    std::vector<std::deque<Flying>> m_down;
    int m_nextRequest = 0;
    std::string m_violation;
};

} // namespace sapphirecove::coordination::testing
