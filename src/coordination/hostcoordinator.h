#pragma once

#include "coordination/arbiterset.h"
#include "coordination/coordinator.h"
#include "coordination/groupdirectory.h"
#include "coordination/logtasks.h"
#include "coordination/membership.h"
#include "coordination/requesteffects.h"
#include "coordination/requesttable.h"
#include "coordination/tiergate.h"

#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace sapphirecove::coordination {

/** The decisions of one host: joins the modules and passes messages to itself without the network. */
class HostCoordinator
    : public Coordinator
    , private RequestEffects
{
public:
    HostCoordinator(const CoordinatorOptions &options, const DocumentChecker &checker, std::unique_ptr<TierGate> gate);

    std::span<const Action> handle(const Event &event, state::Time now) override;
    StatusReport status(state::Time now) const override;

private:
    struct LocalMessage
    {
        state::HostId from;
        Message message;
    };

    /** Everything on which the set of watched targets depends. */
    struct WatchScope
    {
        state::Generation generation = 0;
        std::vector<state::GroupId> groups;
        std::set<state::PoolId> pools;
        bool operator==(const WatchScope &other) const = default;
    };

    void on(const Tick &event, state::Time now);
    void on(const RequestArrived &event, state::Time now);
    void on(const CallerDisconnected &event, state::Time now);
    void on(const DispatchRefused &event, state::Time now);
    void on(const DispatchStarted &event, state::Time now);
    void on(const FirstTokenReceived &event, state::Time now);
    void on(const DispatchFinished &event, state::Time now);
    void on(const MessagesReceived &event, state::Time now);
    void on(const HostListRead &event, state::Time now);
    void on(const RecordsRead &event, state::Time now);
    void on(const LogUnavailable &event, state::Time now);
    void on(const LoadReported &event, state::Time now);
    void on(const CacheChanged &event, state::Time now);
    void on(const OrderAnswered &event, state::Time now);
    void on(const DrainRequested &event, state::Time now);

    void receive(const state::HostId &from, const Heartbeat &message, state::Time now);
    void receive(const state::HostId &from, const SlotRequest &message, state::Time now);
    void receive(const state::HostId &from, const SlotWithdrawal &message, state::Time now);
    void receive(const state::HostId &from, const SlotGrant &message, state::Time now);
    void receive(const state::HostId &from, const SlotDenial &message, state::Time now);
    void receive(const state::HostId &from, const SlotRelease &message, state::Time now);
    void receive(const state::HostId &from, const OutstandingReport &message, state::Time now);
    void receive(const state::HostId &from, const ConfigurationRequest &message, state::Time now);
    void receive(const state::HostId &from, const ConfigurationOffer &message, state::Time now);

    // RequestEffects
    void act(Action action) override;
    void send(const state::HostId &to, Message message, state::Time now) override;
    std::optional<Route>
    route(const RequestInfo &request, std::span<const state::GroupId> excluded, state::Time now) override;
    std::optional<state::HostId> arbiterOf(const state::GroupId &group, state::Time now) override;
    KeyVerdict claimKey(const RequestInfo &request, state::Time now) override;
    void releaseKey(const RequestInfo &request, state::Time now) override;
    void finishKey(const RequestInfo &request, std::optional<int> status, state::Time now) override;

    void deliverLocal(state::Time now);
    void sendReplies(Replies &replies, state::Time now);
    void applyConfiguration(state::Time now);
    void resolveClaims(state::Time now);
    void detectPause(state::Time now);
    void followMembership(state::Time now);
    void followArbiter(const state::GroupId &group, state::Time now);
    void reportOutstanding(state::Time now);
    void sendHeartbeats(state::Time now);
    void requestConfiguration(state::Time now);
    void watchTargets(state::Time now);
    void updateReadiness(state::Time now);
    void continueDrain(state::Time now);
    void observe(const SlotRelease &release, state::Time now);
    /** Sends the outcome to the host that decides on the pool's version change, if it would not hear of it. */
    void copyToLeaseHolder(const state::HostId &arbiter, const SlotRelease &release, state::Time now);
    bool isUsable(const SlotGrant &grant, state::Time now) const;
    std::string unreadyReason() const;

    CoordinatorOptions m_options;
    Membership m_membership;
    std::unique_ptr<TierGate> m_gate;
    LogTasks m_log;
    GroupDirectory m_directory;
    ArbiterSet m_arbiters;
    RequestTable m_requests;

    Actions m_actions;
    std::deque<LocalMessage> m_local;
    std::set<state::RequestId> m_claiming;
    std::set<state::GroupId> m_reported; /**< groups in which this host had dispatches at the last report */
    std::vector<state::HostId> m_alive;
    WatchScope m_watchScope;
    bool m_targetsChanged = true;
    state::Time m_lastTick{};
    state::Time m_nextMembershipCheck{};
    state::Time m_nextHeartbeat{};
    state::Time m_nextReport{};
    std::size_t m_floorsSent = 0;
    std::optional<bool> m_ready;
    std::optional<state::Time> m_drainingSince;
    std::optional<state::Time> m_emptySince;
    bool m_drainComplete = false;
};

} // namespace sapphirecove::coordination
