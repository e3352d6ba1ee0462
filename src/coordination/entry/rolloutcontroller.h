#pragma once

#include "coordination/entry/peerreport.h"
#include "state/entry/bounds.h"
#include "state/entry/targetentry.h"
#include "state/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sapphirecove::coordination::entry {

/** Counts of one software version on one route, over some hosts. */
struct VersionCounts
{
    double dispatched = 0;
    double good = 0;
    double bad = 0;
    double latencyRatioSum = 0; /**< over the good responses: time divided by the route's usual time */
};

/** What is known of a running order, for the log. */
struct RolloutProgress
{
    std::string service;
    std::string targetVersion;
    double share = 0; /**< of the requests that may go to the new version */
    double ageSeconds = 0; /**< since the order was read */
    double sentToTarget = 0; /**< requests that the fleet has sent to the new version since then */
    double sentToAll = 0;
    VersionCounts target; /**< responses on all routes */
    VersionCounts others;
    std::string_view reason; /**< why the order has ended; empty while it runs */
};

/**
 * Rolls services out to new software versions, or back.
 *
 * A new version first gets a small share of the requests. Once its responses on every route on which it was tried are
 * as good and as fast as those of the other versions, its share grows in steps, each of which requires new responses.
 * The order is done when no request runs at the other versions any more. It is rolled back as soon as one route shows
 * failures or slowness, or when its time is nearly over. The host that decides for the fleet evaluates the order, from
 * its own counts and the hosts' reports, and publishes the outcome.
 */
class RolloutController
{
public:
    explicit RolloutController(const state::entry::Bounds &bounds);

    /**
     * Starts a rollout; the same order again changes nothing. If @p mayBeOld, as the store came back from an older
     * copy, neither does an order that a later one has replaced.
     */
    void ordered(const state::entry::RolloutOrder &order, state::Time now, bool mayBeOld = false);

    /** Applies a published outcome, which is final. */
    void published(const state::entry::RolloutStatus &status);

    /** Returns whether a request of @p service may go to @p version now. */
    bool mayUse(std::string_view service, std::string_view version, std::size_t hosts) const;

    /** Counts a request that was sent to @p version. */
    void dispatched(std::string_view service, std::string_view version, std::string_view route);

    /** Counts a response; @p latencyRatio is its time divided by the route's usual time. */
    void answered(
        std::string_view service, std::string_view version, std::string_view route, bool good, double latencyRatio);

    /**
     * Evaluates the running orders with the counts of @p peers; @p othersRunning returns how many requests of a service
     * run at other versions than the one given. Returns the states that have changed.
     */
    template <typename OthersRunning>
    std::vector<state::entry::RolloutStatus>
    evaluate(std::span<const PeerReport *const> peers, OthersRunning othersRunning, state::Time now)
    {
        std::vector<state::entry::RolloutStatus> changes;
        for (auto &[service, rollout] : m_rollouts) {
            if (rollout.state == state::entry::RolloutState::Running) {
                evaluateRollout(rollout, peers, othersRunning(service, rollout.order.targetVersion), now, changes);
            }
        }
        return changes;
    }

    /** Returns the orders whose share has changed, or that have ended, since the last call. */
    std::vector<RolloutProgress> takeProgress()
    {
        return std::exchange(m_progress, {});
    }

    /** Returns the states of all known orders. */
    std::vector<state::entry::RolloutStatus> states() const;

    /** Returns this host's counts of running orders, for the report to the peers. */
    std::vector<VersionShare> shares() const;

private:
    struct RouteCounts
    {
        VersionCounts target;
        VersionCounts others;
    };

    struct Rollout
    {
        state::entry::RolloutOrder order;
        state::entry::RolloutState state = state::entry::RolloutState::Running;
        state::Time began{};
        std::set<std::string> superseded; /**< target versions of earlier orders */
        double share = 0; /**< of the requests that may go to the new version */
        double goodAtStep = 0; /**< good responses when the share last grew */
        std::optional<state::Time> othersIdleSince;
        std::map<std::string, RouteCounts, std::less<>> routes; /**< of this host */
    };

    void evaluateRollout(Rollout &rollout,
                         std::span<const PeerReport *const> peers,
                         std::uint32_t othersRunning,
                         state::Time now,
                         std::vector<state::entry::RolloutStatus> &changes);
    static std::vector<RouteCounts> countsOfFleet(const Rollout &rollout, std::span<const PeerReport *const> peers);
    static bool regressed(const RouteCounts &counts);
    static void growShare(Rollout &rollout, const std::vector<RouteCounts> &counts, double elapsed);
    Rollout *running(std::string_view service);

    state::entry::Bounds m_bounds;
    std::map<std::string, Rollout, std::less<>> m_rollouts;
    std::vector<RolloutProgress> m_progress; /**< not taken yet */
};

} // namespace sapphirecove::coordination::entry
