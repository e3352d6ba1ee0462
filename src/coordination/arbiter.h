#pragma once

#include "coordination/arbiteroptions.h"
#include "coordination/event.h"
#include "coordination/fairqueue.h"
#include "coordination/message.h"
#include "coordination/placement/placement.h"
#include "coordination/statusreport.h"
#include "state/failure.h"
#include "state/identifiers.h"
#include "state/time.h"

#include <memory>
#include <span>

namespace sapphirecove::coordination {

/**
 * Grants the slots of one group (section 3.1 of docs/design.md).
 *
 * It owns the waiting slot requests, the outstanding grants and a model of each target. Every slot request ends in a
 * grant, a denial or a withdrawal, unless the arbiter resets itself after a pause. A reset loses no request, because
 * entry hosts resend their slot requests. Messages may be lost, duplicated or delayed. Not thread-safe.
 */
class Arbiter
{
public:
    /** Gap between ticks after which the arbiter must assume that another arbiter has taken over the group. */
    static constexpr state::Duration PauseLimit = std::chrono::seconds(1);
    /** Longest wait for the reports of other hosts before the first grant. */
    static constexpr state::Duration RebuildTimeout = std::chrono::milliseconds(500);

    virtual ~Arbiter() = default;

    /** Creates the arbiter of a group; fails if the options name no gate, pool or host, or there is no placement. */
    static state::Result<std::unique_ptr<Arbiter>>
    create(const state::GroupId &group, const ArbiterOptions &options, std::unique_ptr<placement::Placement> placement);

    /** Replaces the targets of the group; targets that remain keep their learned speeds and outstanding work. */
    virtual void setTargets(std::span<const ArbiterTarget> targets, state::Time now) = 0;

    /** Replaces the lowest tier of the configuration, which is shed without a floor, and the queue length limit. */
    virtual void setLimits(state::Tier lowestTier, std::size_t queueLength) = 0;

    /** Replaces the weights by which customers share the group. */
    virtual void setCustomers(std::span<const CustomerWeight> weights) = 0;

    /** Replaces the traffic limits of the versions of the pool. */
    virtual void setVersionWeights(std::span<const VersionWeight> weights) = 0;

    /**
     * Queues a slot request and grants all waiting requests that fit. A duplicate changes nothing; if the request has
     * been granted and the grant is still valid, the same grant is sent again with its remaining validity.
     */
    virtual void
    requestSlot(const state::HostId &from, const SlotRequest &slotRequest, state::Time now, Replies &replies) = 0;

    /** Removes a waiting slot request. A grant already sent stays outstanding until it is returned or expires. */
    virtual void withdraw(const state::HostId &from, const SlotWithdrawal &withdrawal, state::Time now) = 0;

    /** Ends a grant, updates the learned averages and grants all waiting requests that fit now. */
    virtual void release(const state::HostId &from, const SlotRelease &release, state::Time now, Replies &replies) = 0;

    /**
     * Records the requests that a host has dispatched. A complete report also ends the grants that an earlier report
     * named and this one does not, which compensates for a lost release.
     */
    virtual void report(const state::HostId &from, const OutstandingReport &report, state::Time now) = 0;

    /** Corrects the model of a target; reports about targets of other groups are ignored. */
    virtual void loadReported(const LoadReported &report, state::Time now) = 0;

    /** Corrects the predicted prefix cache of a target. */
    virtual void cacheChanged(const CacheChanged &change, state::Time now) = 0;

    /** Removes the slot requests of a host; its dispatched work counts until its expected end. */
    virtual void hostLost(const state::HostId &host, state::Time now) = 0;

    /** Holds all grants until every expected host has reported or RebuildTimeout has passed. */
    virtual void beginRebuild(std::span<const state::HostId> expected, state::Time now) = 0;

    /** Expires grants, updates target health, sheds requests and grants slots. */
    virtual void tick(state::Time now, Replies &replies) = 0;

    /** Returns the state of the group that heartbeats announce. */
    virtual GroupSummary summary(state::Time now) const = 0;

    /** Returns the state of the group that is shown to operators. */
    virtual GroupStatus status(state::Time now) const = 0;
};

} // namespace sapphirecove::coordination
