#pragma once

#include "coordination/entry/peerreport.h"
#include "coordination/entry/slidingwindow.h"
#include "state/entry/bounds.h"
#include "state/entry/routing.h"
#include "state/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sapphirecove::coordination::entry {

/** What all hosts have admitted for a customer in each slice of the window, oldest first. */
struct QuotaUse
{
    static constexpr std::size_t SliceCount = 16;

    std::string customer;
    std::array<double, SliceCount> slices{};

    friend bool operator==(const QuotaUse &, const QuotaUse &) = default;
};

/**
 * Customers' quotas over all hosts: in any window, rate times window plus burst, plus a part of what the deployment
 * allows beyond.
 *
 * Each host keeps the window of the whole fleet for each customer and learns from its peers' reports what they have
 * admitted. Reports are late by a report interval; the part of the overage that hosts leave unused covers what is
 * admitted meanwhile. While peers are silent, a host uses only the share of the hosts that it hears, so that the parts
 * of a partitioned fleet together stay within the quota.
 *
 * Load pattern: one customer sends many times its usual through all hosts at once.
 */
class QuotaTable
{
public:
    explicit QuotaTable(const state::entry::Bounds &bounds);

    /**
     * Takes the quotas of a new configuration. If @p useKnown is false, as after a restart, customers that are new to
     * this host begin with the restored use, until a peer knows better.
     */
    void configure(const state::entry::RoutingTable &table, bool useKnown, state::Time now);

    /** Sets the share of the fleet's hosts that this host hears, itself included, 0 to 1. */
    void setReachableShare(double share);

    /** Takes what a peer has admitted since it started, and its view of the fleet's windows. */
    void peerReported(const PeerReport &report, state::Time now);

    /** Takes the use by all hosts as a decider sees it, where it is more than this host knows of. */
    void raiseUseTo(const std::vector<QuotaShare> &use, state::Time now);

    /** Admits @p cost of @p customer and returns nothing, or returns when the quota permits it. */
    std::optional<state::Duration> admit(const std::string &customer, double cost, state::Time now);

    /** Takes the use that the metadata store held when this host started. Call it before the first configure(). */
    void restore(std::vector<QuotaUse> restored);

    /**
     * Returns the use to be kept in the metadata store now, if it is due: at once after a notable growth since the use
     * that was returned last, otherwise at an interval. Returns nothing while nothing has changed.
     */
    std::optional<std::vector<QuotaUse>> useToStore(state::Time now);

    /** Returns what this host has admitted, for the report to the peers. */
    std::vector<QuotaShare> shares(state::Time now);

private:
    struct Account
    {
        explicit Account(state::Duration window)
            : used(window)
        {
        }

        double rate = 0; /**< cost a second; 0 for no limit */
        double burst = 0;
        SlidingWindow used; /**< by all hosts */
        double admittedHere = 0; /**< since the host started */
        double sinceStored = 0; /**< by all hosts, since useToStore() returned their use */
        bool useEstimated = false; /**< the window began with use from before this host's start */
    };

    struct PeerUse
    {
        std::uint64_t incarnation = 0;
        std::map<std::uint32_t, double> admitted;
    };

    std::vector<QuotaUse> significantUse(state::Time now);
    double allowed(const Account &account) const;
    bool hasSignificantGrowth() const;
    void initializeUse(const std::string &customer, Account &account, state::Time now) const;

    state::Duration m_window;
    double m_overage;
    double m_slack;
    double m_share = 1;
    std::map<std::string, Account, std::less<>> m_accounts;
    std::map<std::uint32_t, Account *> m_byHash;
    std::map<std::string, PeerUse, std::less<>> m_peers;
    std::vector<QuotaUse> m_restored;
    std::vector<QuotaUse> m_stored; /**< returned by useToStore() last */
    state::Time m_storedAt{};
};

} // namespace sapphirecove::coordination::entry
