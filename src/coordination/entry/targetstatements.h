#pragma once

#include "coordination/entry/peerreport.h"
#include "coordination/entry/ratepacer.h"
#include "coordination/entry/ratestatement.h"
#include "state/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace sapphirecove::coordination::entry {

/** Limit on the rate of requests that a target accepts from all hosts together. */
struct TargetLimit
{
    double requestsPerSecond = 0; /**< as the target stated it last */
    bool ended = false; /**< the target no longer states it */
    std::uint32_t revision = 0; /**< grows with each change; the higher one of two hosts is in force */
    state::Time statedAt{}; /**< last response that stated it, or the first one that did not after its end */
};

/**
 * Limits that targets state in their responses, and the requests that they leave to this host. Targets are identified
 * by TargetLoad::hash(), so that a new incarnation starts without a limit.
 *
 * A limit belongs to the target and all hosts together. Each host passes on what it knows in its reports and in its
 * replies to them, so that every host that may decide knows a limit that any of them has read. The host that decides
 * spreads all requests at the stated rate and counts what others decided from the hosts' reports. See setShare() for
 * hosts that do not hear the whole fleet.
 */
class TargetStatements
{
public:
    /** @p self is the processHash() of this process. */
    explicit TargetStatements(std::uint32_t self = 0);

    /**
     * Processes the statement of a response of @p target. A malformed one changes nothing. Returns whether the known
     * limit has changed.
     */
    bool responded(std::uint32_t target, const RateStatement &statement, state::Time now);

    /** Processes the limits that another host knows. */
    void merge(std::span<const StatementShare> shares, state::Time now);

    /** Processes the limits in @p report, and the requests in it that other hosts decided. */
    void peerReported(const PeerReport &report, state::Time now);

    /** Sets the part of all limits that this host may use, from 0, while another host decides, to 1. */
    void setShare(double share, state::Time now);

    /** Returns whether a request may be sent to @p target now. */
    bool mayDispatch(std::uint32_t target, state::Time now);

    /** Counts a request to @p target that this host has decided, for itself or for another host. */
    void dispatched(std::uint32_t target, state::Time now);

    /** Counts a request that this host sends to @p target, for its reports; @p decider is who decided it. */
    void sent(std::uint32_t target, std::uint32_t decider, state::Time now);

    /** Returns the requests per second that @p target accepts from all hosts; nothing if it states no limit. */
    std::optional<double> rate(std::uint32_t target, state::Time now) const;

    /** Returns a number that two hosts share if they know the same limits. */
    std::uint32_t digest() const;

    /** Returns the limits for reports and for replies to them; if there are many, the next part of them. */
    std::vector<StatementShare> shares(state::Time now);

    /** Returns the requests that this host has recently sent to targets with a limit. */
    std::vector<SentShare> sentShares(state::Time now) const;

    /** Drops limits that have ended or have not been stated for long. */
    void expire(state::Time now);

    /** Returns the targets whose limit has changed by what other hosts know since the last call. */
    std::vector<std::uint32_t> takeLearned();

    /** Returns whether a limit was stated or lowered since the last call, which other hosts should know at once. */
    bool takeUrgent();

    /** Returns the limit of @p target; nullptr if none is known. */
    const TargetLimit *find(std::uint32_t target) const;

    /** Returns the number of targets that state a limit at present. */
    std::size_t inForce() const;

private:
    struct Item
    {
        TargetLimit limit;
        RatePacer pacer;
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
    };

    Item &itemOf(std::uint32_t target, state::Time now);
    void merge(const StatementShare &share, state::Time now);
    static double rateOf(const TargetLimit &limit, state::Time now);
    static bool isEffective(const TargetLimit &limit, state::Time now);

    std::uint32_t m_self;
    double m_share = 1;
    std::map<std::uint32_t, Item> m_items;
    std::map<TargetAndDecider, Sends> m_sent; /**< by this host since a limit of the target is known */
    std::uint32_t m_nextShared = 0; /**< where shares() goes on */
    std::map<std::string, PeerState, std::less<>> m_peers;
    std::vector<std::uint32_t> m_learned;
    bool m_urgent = false;
};

} // namespace sapphirecove::coordination::entry
