#pragma once

#include "coordination/arbiter.h"
#include "coordination/grantidgenerator.h"
#include "coordination/granttable.h"
#include "coordination/random.h"
#include "coordination/serviceaverages.h"
#include "coordination/shedlist.h"
#include "coordination/targetset.h"

#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace sapphirecove::coordination {

/** Implementation of Arbiter that Arbiter::create() returns. */
class GroupArbiter : public Arbiter
{
public:
    GroupArbiter(const state::GroupId &group,
                 const ArbiterOptions &options,
                 std::unique_ptr<placement::Placement> placement);

    void setTargets(std::span<const ArbiterTarget> targets, state::Time now) override;
    void setLimits(state::Tier lowestTier, std::size_t queueLength) override;
    void setCustomers(std::span<const CustomerWeight> weights) override;
    void setVersionWeights(std::span<const VersionWeight> weights) override;
    void
    requestSlot(const state::HostId &from, const SlotRequest &slotRequest, state::Time now, Replies &replies) override;
    void withdraw(const state::HostId &from, const SlotWithdrawal &withdrawal, state::Time now) override;
    void release(const state::HostId &from, const SlotRelease &release, state::Time now, Replies &replies) override;
    void report(const state::HostId &from, const OutstandingReport &report, state::Time now) override;
    void loadReported(const LoadReported &report, state::Time now) override;
    void cacheChanged(const CacheChanged &change, state::Time now) override;
    void hostLost(const state::HostId &host, state::Time now) override;
    void beginRebuild(std::span<const state::HostId> expected, state::Time now) override;
    void tick(state::Time now, Replies &replies) override;
    GroupSummary summary(state::Time now) const override;
    GroupStatus status(state::Time now) const override;

private:
    /** Result of one pass over the queue. */
    struct Selection
    {
        std::optional<state::RequestId> granted; /**< request to grant, with the target and cached tokens below */
        std::size_t target = 0;
        std::uint32_t cachedTokens = 0;
        /** Request to shed, because it would miss its deadline and blocks others. */
        std::optional<state::RequestId> infeasible;
    };

    /** State of one pass over the queue. */
    struct Pass
    {
        state::Tier tier = 0;
        state::Tier lowestGrantable = 0;
        std::size_t blocked = 0;
        bool tierHeldByReservation = false;
        std::optional<std::size_t> reserved; /**< target kept free for the first request whose prefill does not fit */
        std::optional<state::RequestId> infeasible;
    };

    void resetAfterPause(state::Time now);
    bool isRebuilding(state::Time now) const;
    bool answerIfGranted(const state::HostId &from, const SlotRequest &slotRequest, state::Time now, Replies &replies);
    std::optional<SlotDenial> immediateDenial(const SlotRequest &slotRequest, state::Time now) const;
    bool isDeadlineInfeasible(const SlotRequest &slotRequest, state::Time start) const;
    bool willMissDeadline(const WaitingRequest &waiting, state::Time now);
    WaitingRequest makeWaitingRequest(const state::HostId &from, const SlotRequest &slotRequest, state::Time now) const;
    void enqueue(WaitingRequest waiting, state::Time now);

    bool hasRoom(state::Time now);
    void schedule(state::Time now, Replies &replies);
    Selection select(state::Time now);
    FairQueue::Visit visit(const WaitingRequest &waiting, state::Time now, Pass &pass, Selection &selection);
    void grant(const Selection &selection, state::Time now, Replies &replies);
    SlotGrant makeGrantMessage(const GrantRecord &record, state::Time now) const;

    void moveToShedList(const state::RequestId &request);
    void moveOverdueToShedList(state::Time now);
    void denyAllWithoutTarget(Replies &replies);
    void shed(state::Time now, Replies &replies);
    void deny(const state::HostId &to,
              const state::RequestId &request,
              DenialReason reason,
              state::Duration retryAfter,
              Replies &replies) const;
    state::Duration retryDelay() const;

    void adopt(const state::HostId &from, const OutstandingDispatch &dispatch, state::Time now);
    void endUnreported(const state::HostId &from, const OutstandingReport &report, state::Time now);
    void endGrant(state::GrantId id, state::Time now);

    state::GroupId m_group;
    ArbiterOptions m_options;
    std::unique_ptr<placement::Placement> m_placement;
    Random m_random;
    TargetSet m_targets;
    FairQueue m_queue;
    ShedList m_shedList;
    GrantTable m_grants;
    GrantIdGenerator m_grantIdGenerator;
    std::set<state::HostId> m_hosts; // hosts that have sent a slot request or a report, or were expected to report
    std::set<state::HostId> m_pendingReports; // hosts whose reports the rebuild waits for
    state::Time m_rebuildDeadline{};
    std::optional<state::Time> m_lastTick;
    ServiceAverages m_averages;
    bool m_isFull = false; // no target has a free stream; reset by every event that may free one
    std::vector<placement::Candidate> m_candidates; // kept to reuse its memory in each selection
};

} // namespace sapphirecove::coordination
