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
#include <string_view>
#include <vector>

namespace sapphirecove::coordination::entry {

/** Usage of a customer's quota by all hosts in each slice of the window, oldest first. */
struct QuotaUse
{
    static constexpr std::size_t SliceCount = 16;

    std::string customer;
    std::array<double, SliceCount> slices{};

    friend bool operator==(const QuotaUse &, const QuotaUse &) = default;
};

/**
 * Enforces the customers' quotas over all hosts: in any window, rate times window plus burst, plus a fraction of the
 * permitted overage.
 *
 * Each host keeps the window of the whole fleet for each customer and learns from its peers' reports what they have
 * admitted. Reports are late by a report interval; the part of the overage that hosts leave unused covers what is
 * admitted meanwhile. If some peers do not report, a host uses only the share of the hosts that it can reach, so that
 * the parts of a partitioned fleet together stay within the quota.
 *
 * Designed for a customer that sends many times its usual load through all hosts at once.
 */
class QuotaTable
{
public:
    explicit QuotaTable(const state::entry::Bounds &bounds);

    /**
     * Applies the quotas of a new configuration. If @p usageKnown is false, as after a restart, customers that are new
     * to this host start with the restored usage until a peer reports a better value.
     */
    void configure(const state::entry::RoutingTable &table, bool usageKnown, state::Time now);

    /** Sets the share of the fleet's hosts whose reports this host gets, itself included, 0 to 1. */
    void setReachableShare(double share);

    /** Processes what a peer has admitted since it started, and its view of the usage by all hosts. */
    void peerReported(const PeerReport &report, state::Time now);

    /** Raises the usage by all hosts to what a decider knows, where that is higher. */
    void raiseUseTo(const std::vector<QuotaShare> &use, state::Time now);

    /** Admits @p cost of @p customer and returns nothing, or returns the time until the quota permits it. */
    std::optional<state::Duration> admit(const std::string &customer, double cost, state::Time now);

    /** Returns whether admit() charges requests of @p customer. */
    bool isLimited(std::string_view customer) const;

    /**
     * Gives @p cost back that admit() has charged to @p customer at @p charged, for a request that was not run and
     * never will be. Does nothing if the charge is about to leave the window.
     */
    void giveBack(std::string_view customer, double cost, state::Time charged, state::Time now);

    /** Returns the cost that was given back since the host started, of all customers. */
    double givenBack() const
    {
        return m_givenBack;
    }

    /** Sets the usage that the metadata store held when this host started. Call it before the first configure(). */
    void restore(std::vector<QuotaUse> restored);

    /**
     * Returns the usage to write to the metadata store if a write is due: at once after significant growth since the
     * usage that was returned last, otherwise at an interval. Returns nothing while nothing has changed.
     */
    std::optional<std::vector<QuotaUse>> useToStore(state::Time now);

    /** Makes useToStore() return the use again, as the store has lost it. */
    void storeAgain()
    {
        m_stored.clear();
    }

    /** Returns what this host has admitted, for the report to the peers. */
    std::vector<QuotaShare> shares(state::Time now);

    /** Returns what this host has given back, for the report to the peers. */
    std::vector<QuotaReturn> returns() const;

private:
    struct Account
    {
        explicit Account(state::Duration window)
            : used(window)
        {
        }

        double rate = 0; /**< cost per second; 0 for no limit */
        double burst = 0;
        SlidingWindow used; /**< by all hosts */
        double admittedHere = 0; /**< since the host started */
        double givenBackHere = 0; /**< since the host started */
        double sinceStored = 0; /**< by all hosts, since useToStore() last returned their usage */
        bool useEstimated = false; /**< the window started with usage from before this host's start */
    };

    struct PeerUse
    {
        std::uint64_t incarnation = 0;
        state::Time knownSince{};
        std::map<std::uint32_t, double> admitted;
        std::map<std::uint32_t, double> givenBack;
    };

    void peerGaveBack(const PeerReport &report, PeerUse &use, state::Time now);
    std::vector<QuotaUse> significantUse(state::Time now);
    double allowed(const Account &account) const;
    bool hasSignificantGrowth() const;
    void initializeUse(const std::string &customer, Account &account, state::Time now) const;

    state::Duration m_window;
    double m_overage;
    double m_slack;
    double m_share = 1;
    double m_givenBack = 0;
    std::map<std::string, Account, std::less<>> m_accounts;
    std::map<std::uint32_t, Account *> m_byHash;
    std::map<std::string, PeerUse, std::less<>> m_peers;
    std::vector<QuotaUse> m_restored;
    std::vector<QuotaUse> m_stored; /**< returned by useToStore() last */
    state::Time m_storedAt{};
};

} // namespace sapphirecove::coordination::entry
