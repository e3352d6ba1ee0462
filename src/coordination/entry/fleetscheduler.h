#pragma once

#include "coordination/entry/deciderdirectory.h"
#include "coordination/entry/decidermessages.h"
#include "coordination/entry/pendingdecisiontable.h"
#include "coordination/entry/remoterequesttable.h"
#include "coordination/entry/scheduler.h"
#include "state/time.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace sapphirecove::coordination::entry {

/** Receives the decisions of a FleetScheduler and sends its messages, which may be lost. */
class DecisionLink
{
public:
    virtual ~DecisionLink() = default;

    /** Called when a request of this host was decided. */
    virtual void decided(Decision decision) = 0;

    virtual void send(const DecisionRequest &message, const KnownHost &to) = 0;
    virtual void send(const AddressedReply &reply) = 0;
    virtual void send(const AttemptUpdate &update, const KnownHost &to) = 0;
};

/** Target of a placement, as far as it matters for whether the request may still be sent. */
struct PlacedTarget
{
    std::uint32_t hash = 0; /**< see TargetLoad::hash() */
    std::string_view failureDomain;
    state::Time listConfirmed{}; /**< see Decision::targetsConfirmed */
};

/**
 * Obtains decisions for the requests of this host, from the decider of the fleet or, if none answers, from the host's
 * own Scheduler. Decides for other hosts while this host is the decider. The classes in src/coordination/entry serve
 * `sapphirecove entry`.
 *
 * Designed for hundreds of hosts with a few requests a second each, and targets whose slots are nearly all in use. A
 * host that knows only its own requests and outdated reports would send to full targets while others are idle. One
 * queue for all hosts places each request when a slot becomes free, in the order of rank over all hosts. The rank
 * (WaitingQueue::rankOf()) is a request's value by slot time; a higher rank goes first.
 */
class FleetScheduler
{
public:
    /** @p scheduler and @p link must outlive this object. */
    FleetScheduler(Scheduler &scheduler, HostProcess self, std::string region, DecisionLink &link);

    /** Requests a decision about @p request of this host, which is passed to DecisionLink::decided(). */
    void submit(ScheduledRequest request, state::Time now);

    /** Withdraws a waiting request whose caller has disconnected. */
    void withdraw(std::uint64_t id, state::Time now);

    /** Records that the first event of a stream arrived. */
    void firstEvent(std::uint64_t id, state::Time now);

    /** Records that an attempt ended; @p events of its stream were received. */
    void finished(std::uint64_t id, AttemptOutcome outcome, std::uint32_t events, state::Time now);

    /**
     * Process a message of another host. They return false, and change nothing, if it is not meant for this process or
     * a later process of its sender has been heard: request ids, sequence numbers and clocks begin anew with a process.
     */
    bool received(const DecisionRequest &message, state::Time now);
    bool received(const DecisionReply &reply, state::Time now);
    bool received(const AttemptUpdate &update, state::Time now);
    bool received(const ReportReply &reply, state::Time now);

    /** Processes a report that the peer table has accepted. */
    void received(const PeerReport &report, state::Time now);

    /** Returns the reply to @p report; the caller fills in the configuration. */
    ReportReply reportReplyFor(const PeerReport &report, state::Time now);

    /** Makes the decisions that are due, for this host and others. */
    void decide(state::Time now);

    /** Sends messages again and expires entries; call it some tens of times a second. */
    void tick(state::Time now);

    /**
     * Returns whether this host has learned something since the last call that the deciders should know before its next
     * regular report.
     */
    bool takeUrgentReport()
    {
        const bool statements = m_scheduler.statements().takeUrgent();
        const bool suspects = m_scheduler.suspects().takeUrgent();
        const bool evacuations = m_scheduler.evacuations().takeUrgent();
        return statements || suspects || evacuations;
    }

    /** Adds the load and counts of this host to its report to the deciders. */
    void fillReport(PeerReport &report, state::Time now);

    /** Sets whether discovery has provided the targets, and whether the host is stopping; see canDecide(). */
    void setCanDecide(bool targetsKnown, bool stopping);

    /** Sets the time up to which discovery has confirmed this host's list of targets, and the ages allowed. */
    void setTargetsConfirmed(state::Time confirmed, TargetsAgeLimits limits);

    /** Sets whether the metadata store refuses this host or does not answer it; lists of any age are then used. */
    void setStoreAway(bool away);

    /**
     * Returns whether a list of targets that was confirmed up to @p targetsConfirmed is too old for a request to be
     * sent on its word. Its target may have left since then, which the metadata store would have told this host.
     */
    bool isOutdated(state::Time targetsConfirmed, state::Time now) const
    {
        return targetsConfirmed < oldestTargets(now);
    }

    /**
     * Returns whether nothing may be sent to @p target now: it wants no requests from this host, the operator evacuates
     * its failure domain, or isOutdated().
     */
    bool isWithheld(const PlacedTarget &target, state::Time now) const;

    /** Returns the placements of this host's requests that were too old to be used since the last call. */
    std::vector<PendingDecisionTable::Outdated> takeOutdatedPlacements()
    {
        return m_pendingDecisions.takeOutdated();
    }

    /** Returns whether this host may decide for others now. */
    bool canDecide(state::Time now) const;

    /** Returns whether other hosts send decision requests to this one. */
    bool isActiveDecider(state::Time now) const
    {
        return m_remoteRequests.hasRecentRequests(now);
    }

    /**
     * Returns whether this host needs the list of targets: it decides, may soon decide, or knows no other host that
     * decides from a current list.
     */
    bool needsTargets(state::Time now) const;

    /** Returns the number of hosts, as far as this host knows. */
    std::size_t hosts(state::Time now) const;

    DeciderDirectory &directory()
    {
        return m_directory;
    }

    const DeciderDirectory &directory() const
    {
        return m_directory;
    }

    const HostProcess &self() const
    {
        return m_self;
    }

    /** Returns how many requests of this host wait for a decision of another host. */
    std::size_t awaitingDecision() const
    {
        return m_pendingDecisions.size();
    }

private:
    /** Running attempt of this host. */
    struct Active
    {
        std::string decider; /**< name; empty if this host decided itself */
        std::uint32_t deciderHash = 0;
        std::uint32_t targetHash = 0;
        double promptTokens = 0; /**< not prefilled yet */
    };

    void detectPause(state::Time now);
    bool qualified(state::Time now) const;
    state::Time oldestTargets(state::Time now) const;
    bool mayPlace(state::Time now) const;
    void updateDirectory(state::Time now);
    void updateShares(state::Time now);
    void submitLocally(const ScheduledRequest &request, state::Time now);
    void begin(const Decision &decision, std::string_view decider, std::uint32_t deciderHash, state::Time now);
    bool differsAtRecipients(std::uint32_t ReportReply::*recipientDigest, std::uint32_t digest, state::Time now) const;
    void sendUpdate(const std::string &decider,
                    std::uint32_t deciderHash,
                    std::uint64_t request,
                    AttemptUpdate::Kind kind,
                    AttemptOutcome outcome = AttemptOutcome::Abandoned,
                    std::uint32_t events = 0);
    void sendDecisionRequests(state::Time now);

    Scheduler &m_scheduler;
    HostProcess m_self;
    std::uint32_t m_selfHash;
    DecisionLink &m_link;
    DeciderDirectory m_directory;
    PendingDecisionTable m_pendingDecisions;
    RemoteRequestTable m_remoteRequests;
    std::unordered_map<std::uint64_t, double> m_promptTokens; /**< of waiting requests */
    std::unordered_map<std::uint64_t, Active> m_active;
    std::uint64_t m_lastRemoteId = 0;
    bool m_targetsKnown = false;
    bool m_stopping = false;
    state::Time m_targetsConfirmed{};
    TargetsAgeLimits m_targetsAgeLimits;
    bool m_storeAway = false;
    state::Time m_lastTick{};
    state::Time m_pausedUntil{};
    state::Time m_sharesAt{};
    std::vector<QuotaShare> m_shares; /**< as of m_sharesAt, for replies to reports */
};

} // namespace sapphirecove::coordination::entry
