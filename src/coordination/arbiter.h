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
 * Grants the slots of one group (section 3.1 of the design page).
 *
 * It owns the waiting asks, the outstanding grants and a model of each target. Every ask ends in a grant, a denial or
 * a withdrawal, unless the arbiter resets itself after a pause; entry hosts repeat their asks, so nothing is lost then.
 * Messages may be lost, repeated or late. Not thread-safe.
 */
class Arbiter
{
public:
    /** Gap between ticks after which the arbiter must assume that another one has taken over. */
    static constexpr state::Duration PauseLimit = std::chrono::seconds(1);
    /** Longest wait for the reports of other hosts before the first grant. */
    static constexpr state::Duration RebuildTimeout = std::chrono::milliseconds(500);

    virtual ~Arbiter() = default;

    /** Creates the arbiter of a group; fails if the options name no gate, pool or host, or there is no placement. */
    static state::Result<std::unique_ptr<Arbiter>>
    create(const state::GroupId &group, const ArbiterOptions &options, std::unique_ptr<placement::Placement> placement);

    /** Replaces the targets of the group; learned speeds and outstanding work of kept targets stay. */
    virtual void setTargets(std::span<const ArbiterTarget> targets, state::Time now) = 0;

    /** Replaces the lowest tier of the configuration, which is shed without a floor, and the length of the queue. */
    virtual void setLimits(state::Tier lowestTier, std::size_t queueLength) = 0;

    /** Replaces the fair shares of the customers. */
    virtual void setCustomers(std::span<const CustomerWeight> weights) = 0;

    /** Replaces the limits on versions of the pool. */
    virtual void setVersionWeights(std::span<const VersionWeight> weights) = 0;

    /**
     * Queues an ask and grants what has room. A repeated ask changes nothing; if it has been granted and the grant is
     * still valid, the same grant is sent again with the validity that is left.
     */
    virtual void ask(const state::HostId &from, const SlotRequest &ask, state::Time now, Replies &replies) = 0;

    /** Removes a waiting ask. A grant that is on its way stays outstanding until it is returned or expires. */
    virtual void withdraw(const state::HostId &from, const SlotWithdrawal &withdrawal, state::Time now) = 0;

    /** Ends a grant, learns from it and grants what has room now. */
    virtual void release(const state::HostId &from, const SlotRelease &release, state::Time now, Replies &replies) = 0;

    /**
     * Takes over what a host has dispatched. A complete report also ends the grants that an earlier report named and
     * this one does not, so a lost release is corrected.
     */
    virtual void report(const state::HostId &from, const OutstandingReport &report, state::Time now) = 0;

    /** Corrects the model of a target; reports of other groups' targets are ignored. */
    virtual void loadReported(const LoadReported &report, state::Time now) = 0;

    /** Corrects the predicted prefix cache of a target. */
    virtual void cacheChanged(const CacheChanged &change, state::Time now) = 0;

    /** Drops the asks of a host; its dispatched work counts until it is expected to have ended. */
    virtual void hostLost(const state::HostId &host, state::Time now) = 0;

    /** Holds all grants until every expected host has reported or RebuildTimeout has passed. */
    virtual void beginRebuild(std::span<const state::HostId> expected, state::Time now) = 0;

    /** Expires grants, updates health, sheds and grants. */
    virtual void tick(state::Time now, Replies &replies) = 0;

    /** Returns what heartbeats announce about the group. */
    virtual GroupSummary summary(state::Time now) const = 0;

    /** Returns what operators read about the group. */
    virtual GroupStatus status(state::Time now) const = 0;
};

} // namespace sapphirecove::coordination
