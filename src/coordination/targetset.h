#pragma once

#include "coordination/arbiteroptions.h"
#include "coordination/event.h"
#include "coordination/placement/candidate.h"
#include "coordination/statusreport.h"
#include "coordination/targetmodel.h"
#include "coordination/versioncredits.h"

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace sapphirecove::coordination {

/** Targets of one group with their models; enforces version shares and the limit on ejected targets. */
class TargetSet
{
public:
    /** Ejected targets of a group are at most one of this many. */
    static constexpr std::size_t EjectionDivisor = 3;
    /** A target slower than this share of the group's median relative speed is an outlier. */
    static constexpr double SlowShare = 0.25;
    /** Interval between checks for slow targets. */
    static constexpr state::Duration SlowCheckInterval = std::chrono::seconds(1);

    /** How an ask fits the targets. */
    struct Fit
    {
        bool late = false; /**< there is room, but no target with room would finish in time */
        bool fitsReserved = false; /**< the reserved target has room for it */
        std::optional<std::size_t> awaited; /**< target with a free stream that lacks room for the prefill only */
    };

    /** Creates an empty set; @p failureDomains maps failure domains to regions. */
    TargetSet(state::PoolKind kind, const std::map<std::string, std::string> &failureDomains);

    /** Replaces the targets; one that is no longer named is kept as unlisted until its grants have ended. */
    void set(std::span<const ArbiterTarget> targets, state::Time now);

    void setVersionWeights(std::span<const VersionWeight> weights);

    /** Returns the model of a target, or a null pointer. */
    TargetModel *model(const state::TargetId &target);

    /** Returns the id of the target at a candidate's position. */
    const state::TargetId &id(std::size_t target) const;

    /** Returns the version that the target at a candidate's position is assumed to serve. */
    const state::VersionName &version(std::size_t target) const;

    /** Returns whether any target is live. */
    bool hasLive() const;

    /** Returns whether any target could ever be granted to this ask. */
    bool canServe(const SlotRequest &ask) const;

    /** Returns whether any target could take a request without prefill now. */
    bool hasRoom(state::Time now) const;

    /**
     * Fills @p candidates with the targets that can take the ask now and are expected to finish it in time.
     * The target @p reserved is left out. Versions that are due and probes come before all others; asks of tier 0
     * probe only when no other target can take them.
     */
    Fit select(const SlotRequest &ask,
               double outputTokens,
               state::Time now,
               std::optional<std::size_t> reserved,
               std::vector<placement::Candidate> &candidates) const;

    /** Accounts for a grant to the target at a candidate's position. */
    PlannedWork
    grant(std::size_t target, const SlotRequest &ask, std::uint32_t cachedTokens, double outputTokens, state::Time now);

    /** Returns the shortest time from dispatch to the end on any idle live target. */
    state::Duration fastest(const SlotRequest &ask, std::uint32_t cachedTokens, double outputTokens) const;

    /** Returns the time from dispatch to the end in seconds on a live target of average speed. */
    double typicalSeconds(const SlotRequest &ask, double outputTokens) const;

    /** Returns the largest number of cached prompt tokens on any live target. */
    std::uint32_t mostCachedTokens(const SlotRequest &ask) const;

    /** Returns the streams of all targets that get work now. */
    int totalStreams() const;

    /** Returns the streams that can be granted now. */
    int freeStreams(state::Time now) const;

    void loadReported(const LoadReported &report, state::Time now);
    void cacheChanged(const CacheChanged &change);

    /** Ejects a target if it is failing and the limit allows it. */
    void ejectIfFailing(const state::TargetId &target, state::Time now);

    /** Starts probes, ejects outliers and refreshes averages. */
    void tick(state::Time now);

    /** Forgets all outstanding work. */
    void forgetWork();

    std::vector<TargetStatus> status(state::Time now) const;

private:
    struct Place
    {
        int domain = -1; /**< -1 if the failure domain is unknown */
        int region = -1;
    };

    struct Entry
    {
        std::unique_ptr<TargetModel> model;
        TargetListing listing = TargetListing::Live;
        Place place;
        state::VersionName version; /**< of the last load report, otherwise as declared */
        ArbiterTarget target;
    };

    /** Precedence of a target over others that have room. */
    enum class Rank {
        LastResort,
        Normal,
        Preferred,
    };

    static bool isLive(const Entry &entry);
    bool isExcluded(const Entry &entry, const SlotRequest &ask) const;
    Rank rankOf(const Entry &entry, const SlotRequest &ask) const;
    bool anyUnlimitedLive() const;
    Place placeOf(const std::string &domain) const;
    placement::Candidate candidate(std::size_t index,
                                   const SlotRequest &ask,
                                   const Place &source,
                                   std::uint32_t cachedTokens,
                                   double outputTokens,
                                   state::Time now) const;
    void update(Entry &entry, const ArbiterTarget &target);
    void ejectIfFailing(Entry &entry, state::Time now);
    void ejectSlow(state::Time now);
    bool mayEject() const;
    void limitEjected();
    void refresh();

    state::PoolKind m_kind;
    std::unordered_map<std::string, Place> m_places;
    std::vector<Entry> m_entries;
    std::unordered_map<state::TargetId, std::size_t> m_index;
    VersionCredits m_shares;
    state::Time m_lastSlowCheck{};
    // Refreshed on every tick and change of the targets.
    int m_totalStreams = 0;
    std::size_t m_live = 0;
    std::size_t m_ejected = 0;
    double m_fastestPrefill = 0;
    double m_fastestDecode = 0;
    double m_fastestService = 0;
    double m_averagePrefill = 0;
    double m_averageDecode = 0;
    double m_averageService = 0;
};

} // namespace sapphirecove::coordination
