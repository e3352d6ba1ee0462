#pragma once

#include "coordination/entry/coldrules.h"
#include "coordination/entry/peerreport.h"
#include "coordination/entry/ratepacer.h"
#include "coordination/entry/selfstatement.h"
#include "state/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sapphirecove::coordination::entry {

/** Limit on the rate of requests that a target accepts from all hosts together. */
struct TargetLimit
{
    double requestsPerSecond = 0; /**< as the target stated it last */
    bool ended = true; /**< the target no longer states it, or never did */
    std::uint32_t revision = 0; /**< grows with each change; the higher one of two hosts is in force */
    state::Time statedAt{}; /**< last response that stated it, or the first one that did not after its end */
};

/** Which statements of a target a response has changed. */
struct StatementChanges
{
    bool limit = false;
    bool leaving = false;
    bool backOff = false;
};

/**
 * What targets state about themselves in their responses: a limit on the rate of requests, that they are leaving, and a
 * time for which they want no requests (back-off). Targets are identified by TargetLoad::hash(), so that a new
 * incarnation starts without statements.
 *
 * A host is bound by what it has read itself at once. A limit and leaving concern all hosts: each host passes on what
 * it knows in its reports and in its replies to them. A back-off concerns the host that got it; reports tell the
 * deciders, which place requests of that host elsewhere.
 *
 * The host that decides spreads all requests at the stated rate and counts what others decided from the hosts' reports.
 * See setShare() for hosts that do not hear the whole fleet.
 */
class TargetStatements
{
public:
    /** @p self is the processHash() of this process. */
    explicit TargetStatements(std::uint32_t self = 0);

    /**
     * Processes what a response of @p target to a request sent at @p sent states. A response to a request that was sent
     * before the known limit was stated may be older than it and does not raise or end it.
     */
    StatementChanges heard(std::uint32_t target, const SelfStatement &statement, state::Time sent, state::Time now);

    /** Processes what another host knows. */
    void merge(std::span<const StatementShare> shares, state::Time now);

    /** Processes the statements in @p report, and the requests in it that other hosts decided. */
    void peerReported(const PeerReport &report, state::Time now);

    /** Sets the rates at @p target that hold beside its statements, and until when it is cold; nothing for none. */
    void setColdPace(std::uint32_t target, const std::optional<ColdPace> &pace, state::Time coldUntil, state::Time now);

    /** Drops the rates of the targets for which @p isGone returns true. */
    void dropColdPaces(const std::function<bool(std::uint32_t)> &isGone);

    /** Sets the part of all limits that this host may use, from 0, while another host decides, to 1. */
    void setShare(double share, state::Time now);

    /** Returns whether the target is leaving. */
    bool isLeaving(std::uint32_t target) const;

    /**
     * Returns until when @p target takes no requests from @p host, which is empty for this host; state::Time::max() if
     * it is leaving, nothing if it takes them now.
     */
    std::optional<state::Time> closedUntil(std::uint32_t target, std::string_view host, state::Time now) const;

    /** Returns whether @p target has asked any host for a time without requests that has not passed. */
    bool isBackingOff(std::uint32_t target, state::Time now) const;

    /** Returns whether any target is backing off. */
    bool anyBackOff(state::Time now) const
    {
        return now < m_lastBackOffEnd;
    }

    /** Returns a number that grows whenever a target asks any host for a longer time without requests. */
    std::uint64_t backOffsHeard() const
    {
        return m_backOffsHeard;
    }

    /** Returns whether the rate at @p target permits a request now; see rate(). */
    bool mayDispatch(std::uint32_t target, state::Time now);

    /** Counts a request to @p target that this host has decided, for itself or for another host. */
    void dispatched(std::uint32_t target, state::Time now);

    /**
     * Counts a request that this host sends to @p target, for its reports; @p decider is who decided it. Without a
     * statement of the target that this host knows, it counts only if @p paced: the decider sets a rate.
     */
    void sent(std::uint32_t target, std::uint32_t decider, bool paced, state::Time now);

    /**
     * Returns the requests per second that @p target may get from all hosts: the least of its limit, the rise after a
     * back-off, and its rates while it is cold or may turn cold. Nothing if there is none.
     */
    std::optional<double> rate(std::uint32_t target, state::Time now) const;

    /** Returns a number that two hosts share if they know the same limits and leaving targets. */
    std::uint32_t digest() const;

    /** Returns the statements for reports and for replies to them; if there are many, the next part of them. */
    std::vector<StatementShare> shares(state::Time now);

    /** Returns the requests that this host has recently sent to targets with a limit. */
    std::vector<SentShare> sentShares(state::Time now) const;

    /** Returns the targets that want no requests from this host. */
    std::vector<BackOffShare> backOffShares(state::Time now) const;

    /** Drops statements that have ended or are old. */
    void expire(state::Time now);

    /** Returns the targets whose limit has changed by what other hosts know since the last call. */
    std::vector<std::uint32_t> takeLearned();

    /** Returns the targets that are leaving by what other hosts know since the last call, with the statement's time. */
    std::vector<std::pair<std::uint32_t, state::Time>> takeLearnedLeaving();

    /** Returns whether a target said something since the last call that other hosts should know at once. */
    bool takeUrgent();

    /** Returns the limit of @p target; nullptr if none is known. */
    const TargetLimit *find(std::uint32_t target) const;

    /** Returns the number of targets that state a limit at present. */
    std::size_t inForce() const;

    /** Returns the number of targets that are known to be cold. */
    std::size_t coldCount(state::Time now) const;

    /** Returns the number of targets that are leaving. */
    std::size_t leavingCount() const;

    /** Returns the number of targets that are backing off from any host. */
    std::size_t backingOffCount(state::Time now) const;

private:
    struct Item
    {
        TargetLimit limit;
        std::optional<state::Time> heardAt; /**< when the target itself last told this process of its limit */
        RatePacer pacer;
        std::optional<state::Time> leavingSince; /**< when it was first heard */
        state::Time backOffEnd{}; /**< for this host */
        state::Time lastBackOffEnd{}; /**< for any host, this one included */
        std::optional<ColdPace> coldPace;
        state::Time coldUntil{}; /**< valid with coldPace */
    };

    using TargetAndDecider = std::pair<std::uint32_t, std::uint32_t>;

    struct Sends
    {
        std::uint32_t requests = 0;
        state::Time last{};
    };

    struct PeerState
    {
        std::uint64_t incarnation = 0;
        state::Time reportedAt{};
        std::map<TargetAndDecider, std::uint32_t> sent;
        std::map<std::uint32_t, state::Time> backOffEnds; /**< by target */
    };

    Item &itemOf(std::uint32_t target, state::Time now);
    Item &itemOfHeard(std::uint32_t target, state::Time now);
    bool heardRate(std::uint32_t target, const RateStatement &statement, state::Time sent, state::Time now);
    bool heardLeaving(std::uint32_t target, state::Time now);
    bool heardBackOff(std::uint32_t target, state::Duration backOff, state::Time now);
    void extendBackOff(std::uint32_t target, Item &item, state::Time end, state::Time now);
    void mergeLeaving(const StatementShare &share, state::Time now);
    static bool isOutlived(const TargetLimit &other, const Item &item);
    static bool dropOld(Item &item, state::Time now);
    static std::optional<double> rateNow(const Item &item, state::Time now);
    void merge(const StatementShare &share, state::Time now);
    static double rateOf(const TargetLimit &limit, state::Time now);
    static double coldRate(const ColdPace &pace, state::Time coldUntil, state::Time now);
    static bool isEffective(const TargetLimit &limit, state::Time now);

    std::uint32_t m_self;
    double m_share = 1;
    state::Time m_inChargeSince{}; /**< when this host began to decide alone, as far as it has heard */
    std::map<std::uint32_t, Item> m_items;
    std::map<TargetAndDecider, Sends> m_sent; /**< by this host since a rate of the target is known */
    std::uint32_t m_nextShared = 0; /**< where shares() goes on */
    std::map<std::string, PeerState, std::less<>> m_peers;
    std::vector<std::uint32_t> m_learned;
    std::vector<std::pair<std::uint32_t, state::Time>> m_learnedLeaving;
    state::Time m_lastBackOffEnd{}; /**< of all targets and hosts */
    std::uint64_t m_backOffsHeard = 0;
    bool m_urgent = false;
};

} // namespace sapphirecove::coordination::entry
