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

/** Takes what a FleetScheduler decides and sends. Messages may be lost. */
class DecisionLink
{
public:
    virtual ~DecisionLink() = default;

    /** A request of this host was decided about. */
    virtual void decided(Decision decision) = 0;

    virtual void send(const DecisionRequest &ask, const KnownHost &to) = 0;
    virtual void send(const AddressedReply &reply) = 0;
    virtual void send(const AttemptUpdate &news, const KnownHost &to) = 0;
};

/**
 * Gets decisions for the requests of this host, from the decider of the fleet or, where none answers, from the host's
 * own Scheduler; and decides for others while this host is the decider.
 *
 * Load pattern: hundreds of hosts with a few requests a second each, before targets whose slots are nearly all taken.
 * A host that knows only its own requests and late reports sends to full targets while others are idle; one queue for
 * all places each request when a slot frees up, in the order of ranks over all hosts.
 */
class FleetScheduler
{
public:
    /** @p scheduler and @p link must outlive this object. */
    FleetScheduler(Scheduler &scheduler, HostProcess self, std::string region, DecisionLink &link);

    /** Gets a decision about @p request of this host; DecisionLink::decided() is called with it. */
    void submit(ScheduledRequest request, state::Time now);

    /** The caller of a waiting request has left. */
    void withdraw(std::uint64_t id, state::Time now);

    /** The first event of a stream arrived. */
    void firstEvent(std::uint64_t id, state::Time now);

    /** An attempt ended; @p events of its stream were received. */
    void finished(std::uint64_t id, AttemptOutcome outcome, std::uint32_t events, state::Time now);

    void received(const DecisionRequest &ask, state::Time now);
    void received(const DecisionReply &reply, state::Time now);
    void received(const AttemptUpdate &news, state::Time now);
    void received(const ReportReply &beacon, state::Time now);

    /** Takes a report that the peer table has accepted. */
    void received(const PeerReport &report, state::Time now);

    /** Returns the answer to @p report; the configuration is left to the caller. */
    ReportReply reportReplyFor(const PeerReport &report, state::Time now);

    /** Takes the decisions that are due, for this host and others. */
    void decide(state::Time now);

    /** Repeats and expires messages; call it some tens of times a second. */
    void tick(state::Time now);

    /** Completes the report of this host to the deciders. */
    void fillReport(PeerReport &report, state::Time now);

    /** Sets whether discovery has told this host the targets, and whether the host is stopping. */
    void setCanDecide(bool targetsKnown, bool stopping);

    /** Sets up to when this host's targets are those that discovery had, and how old they may be. */
    void setTargetsConfirmed(state::Time confirmed, state::Duration maxAge);

    /** Returns whether this host may decide for others now. */
    bool able(state::Time now) const;

    /** Returns whether other hosts ask this one. */
    bool decides(state::Time now) const
    {
        return m_desk.askedLately(now);
    }

    /** Returns whether this host needs to know the targets: it decides, might soon, or has nobody to ask. */
    bool needsTargets(state::Time now) const;

    /** Returns how many hosts there are, as far as this host knows. */
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
    std::size_t asked() const
    {
        return m_asks.size();
    }

private:
    /** Attempt of this host that runs. */
    struct Active
    {
        std::string decider; /**< name; empty if this host decided itself */
        std::uint32_t deciderHash = 0;
        std::uint32_t targetHash = 0;
        double promptTokens = 0; /**< not read yet */
    };

    void noticePause(state::Time now);
    bool qualified(state::Time now) const;
    void submitHere(const ScheduledRequest &request, state::Time now);
    void begin(const Decision &decision, std::string_view decider, std::uint32_t deciderHash);
    void sendNews(const std::string &decider,
                  std::uint64_t request,
                  AttemptUpdate::Kind kind,
                  AttemptOutcome outcome = AttemptOutcome::Abandoned,
                  std::uint32_t events = 0);
    void sendAsks(state::Time now);

    Scheduler &m_scheduler;
    HostProcess m_self;
    std::uint32_t m_selfHash;
    DecisionLink &m_link;
    DeciderDirectory m_directory;
    PendingDecisionTable m_asks;
    RemoteRequestTable m_desk;
    std::unordered_map<std::uint64_t, double> m_promptTokens; /**< of waiting requests */
    std::unordered_map<std::uint64_t, Active> m_active;
    std::uint64_t m_lastRemote = 0;
    bool m_targetsKnown = false;
    bool m_stopping = false;
    state::Time m_targetsConfirmed{};
    state::Duration m_maxTargetsAge{};
    state::Time m_ticked{};
    state::Time m_pausedUntil{};
    state::Time m_sharesAt{};
    std::vector<QuotaShare> m_shares; /**< as of m_sharesAt, for beacons */
};

} // namespace sapphirecove::coordination::entry
