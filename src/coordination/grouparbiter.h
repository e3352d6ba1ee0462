#pragma once

#include "coordination/arbiter.h"
#include "coordination/grantids.h"
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

/** The arbiter behind Arbiter::create(). */
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
    void ask(const state::HostId &from, const SlotRequest &ask, state::Time now, Replies &replies) override;
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
    /** What one pass over the queue found. */
    struct Selection
    {
        std::optional<state::RequestId> granted; /**< ask with the target and cached tokens below */
        std::size_t target = 0;
        std::uint32_t cachedTokens = 0;
        std::optional<state::RequestId> late; /**< ask that should not hold up the others any longer */
    };

    /** State of a pass over the queue. */
    struct Pass
    {
        state::Tier tier = 0;
        state::Tier lowestGrantable = 0;
        std::size_t blocked = 0;
        bool tierHeldByReservation = false;
        std::optional<std::size_t> reserved; /**< target kept for the first ask that lacks room for its prefill */
        std::optional<state::RequestId> late;
    };

    void detectPause(state::Time now);
    bool isRebuilding(state::Time now) const;
    bool answerGranted(const state::HostId &from, const SlotRequest &ask, state::Time now, Replies &replies);
    std::optional<SlotDenial> refusal(const SlotRequest &ask, state::Time now) const;
    bool isTooLate(const SlotRequest &ask, state::Time start) const;
    bool willMissDeadline(const WaitingAsk &waiting, state::Time now);
    WaitingAsk prepare(const state::HostId &from, const SlotRequest &ask, state::Time now) const;
    void enqueue(WaitingAsk waiting, state::Time now);

    bool hasRoom(state::Time now);
    void schedule(state::Time now, Replies &replies);
    Selection select(state::Time now);
    FairQueue::Visit visit(const WaitingAsk &waiting, state::Time now, Pass &pass, Selection &selection);
    void grant(const Selection &selection, state::Time now, Replies &replies);
    SlotGrant messageOf(const GrantRecord &record, state::Time now) const;

    void giveUp(const state::RequestId &request);
    void giveUpOverdue(state::Time now);
    void denyAllWithoutTarget(Replies &replies);
    void shed(state::Time now, Replies &replies);
    void deny(const state::HostId &to,
              const state::RequestId &request,
              DenialReason reason,
              state::Duration retryAfter,
              Replies &replies) const;
    state::Duration retryTime() const;

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
    GrantIds m_grantIds;
    std::set<state::HostId> m_hosts; // that have sent an ask or were expected to report
    std::set<state::HostId> m_awaited; // hosts whose report a rebuild waits for
    state::Time m_rebuildEnds{};
    std::optional<state::Time> m_lastTick;
    ServiceAverages m_averages;
    bool m_isFull = false; // no target has a free stream, and none can get one before the next release or tick
    std::vector<placement::Candidate> m_candidates; // reused by each selection
};

} // namespace sapphirecove::coordination
