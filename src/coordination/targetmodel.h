#pragma once

#include "coordination/message.h"
#include "coordination/prefixcache.h"
#include "state/configuration.h"
#include "state/failure.h"
#include "state/time.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <span>

namespace sapphirecove::coordination {

/** Expected course of one request on one target, from its dispatch. */
struct ServiceEstimate
{
    state::Duration prefill{}; /**< prefill of the request's own tokens that are not cached */
    state::Duration firstToken{}; /**< including prefill that is already waiting on the target */
    state::Duration end{};
};

/** Work of one request on a target; kept by the caller between granted() and released(). */
struct PlannedWork
{
    std::uint32_t prefillTokens = 0; /**< prompt tokens not expected in the prefix cache */
    state::Duration firstToken{}; /**< expected; zero if it was not estimated */
    state::Time prefillDone{}; /**< expected */
    state::Time end{}; /**< expected */
    bool probe = false; /**< granted while the target was probing */
};

/** Model of one target: learned speed, outstanding work, cached prefixes and health. */
class TargetModel
{
public:
    /** Share of a new sample in the learned speeds. */
    static constexpr double SpeedWeight = 0.2;
    /** Time from an ejection to the first probe. */
    static constexpr state::Duration ProbeDelay = std::chrono::seconds(5);
    /** Failures in succession that make a target an outlier. */
    static constexpr int FailureLimit = 5;
    /** Error rate (exponentially weighted) above which a target is an outlier. */
    static constexpr double ErrorRateLimit = 0.5;
    /** Samples that a speed or an error rate needs before it can make a target an outlier. */
    static constexpr int MinimumSamples = 8;
    /** Time for which a load report corrects the number of streams. */
    static constexpr state::Duration ReportLifetime = std::chrono::seconds(5);

    /** Health of a target. */
    enum class Health {
        Normal,
        Ejected, /**< gets no work */
        Probing, /**< gets one request at a time until one of them succeeds */
    };

    /** Creates a model from the configured capacity; fails if a limit or speed is not positive. */
    static state::Result<std::unique_ptr<TargetModel>> create(state::PoolKind kind,
                                                              const state::TargetCapacity &capacity);

    /** Replaces limits; learned speeds are kept unless the configured speeds changed. */
    void setCapacity(const state::TargetCapacity &capacity);

    /** Returns how many prompt tokens of the request the target's prefix cache is expected to hold. */
    std::uint32_t cachedTokens(const SlotRequest &ask) const;

    /** Estimates the course of a request that is dispatched now; @p outputTokens is the expected output. */
    ServiceEstimate estimate(std::uint32_t prefillTokens, double outputTokens, state::Time now) const;

    /** Returns whether the batch has room for one more request with this prefill. */
    bool hasRoom(std::uint32_t prefillTokens, state::Time now) const;

    /** Returns the prompt tokens that are granted and expected not to be prefilled yet. */
    std::int64_t outstandingPrefillTokens(state::Time now) const;

    /** Returns the streams in progress: own grants, and others that the last load report showed. */
    int streams(state::Time now) const;

    /** Returns the streams granted by this arbiter. */
    int grantedStreams() const;

    /** Returns the configured number of streams, or 0 while ejected. */
    int streamLimit() const;

    /** Accounts for a granted request and predicts the prefixes that its prompt leaves in the cache. */
    PlannedWork granted(const SlotRequest &ask, std::uint32_t cachedTokens, double outputTokens, state::Time now);

    /** Accounts for a request that another arbiter granted and that is still in progress. */
    PlannedWork adopted(const OutstandingDispatch &dispatch, state::Time now);

    /** Learns from the end of a request and frees its slot. */
    void released(const PlannedWork &work, const SlotRelease &release, state::Time now);

    /** Frees the slot of a request whose end was not reported; nothing is learned. */
    void expired(const PlannedWork &work, state::Time now);

    /** Forgets all outstanding work; what was learned stays. */
    void forgetWork();

    /** Corrects the number of streams; reports older than the history or than the last one are ignored. */
    void loadReported(state::Time measuredAt, std::uint32_t running, std::uint32_t waiting, state::Time now);

    /** Corrects the predicted prefixes. After a gap, the predictions stay until events contradict them. */
    void cacheChanged(std::span<const std::uint64_t> added, std::span<const std::uint64_t> removed, bool gap);

    /** Forgets all predicted prefixes, for example because the target loaded another version. */
    void clearCache();

    /** Returns whether failures make the target an outlier. */
    bool isFailing() const;

    /** Returns learned speed divided by configured speed once enough samples exist. */
    std::optional<double> relativeSpeed() const;

    /** Stops new work until a probe; the caller enforces the limit on ejected targets. */
    void eject(state::Time now);

    /** Takes the target back into service without a probe. */
    void readmit();

    /** Starts probing once ProbeDelay has passed since the ejection. */
    void tick(state::Time now);

    Health health() const;

    /** Returns the time of the last ejection; meaningful unless the health is normal. */
    state::Time ejectedAt() const;

    /** Returns learned prompt tokens per second. */
    double prefillTokensPerSecond() const;

    /** Returns learned output tokens per second and stream. */
    double decodeTokensPerSecond() const;

    /** Returns the learned time of one call in seconds; plain services only. */
    double serviceSeconds() const;

private:
    struct HistoryEntry
    {
        state::Time time{};
        int streams = 0;
    };

    TargetModel(state::PoolKind kind, const state::TargetCapacity &capacity);

    void learnSpeed(const PlannedWork &work, const SlotRelease &release);
    void learnPrefill(const PlannedWork &work, const SlotRelease &release, double weight);
    void learnHealth(const PlannedWork &work, const SlotRelease &release, state::Time now);
    void end(const PlannedWork &work, state::Time now);
    void changeStreams(int change, state::Time now);
    PlannedWork begin(std::uint32_t prefillTokens, double outputTokens, state::Time now);
    void removePrefill(const PlannedWork &work, state::Time now);
    std::optional<int> streamsAt(state::Time time) const;

    // Every selection reads these members of all targets, so they stand together.
    Health m_health = Health::Normal;
    bool m_probeOutstanding = false;
    state::PoolKind m_kind;
    int m_streams = 0;
    int m_otherStreams = 0;
    state::Time m_reportReceivedAt{};
    state::Time m_prefillBusyUntil{};
    state::TargetCapacity m_capacity;
    double m_prefillRate;
    double m_decodeRate;
    double m_serviceSeconds;

    int m_speedSamples = 0;
    std::deque<HistoryEntry> m_history;
    bool m_historyTruncated = false;
    state::Time m_reportMeasuredAt{};
    PrefixCache m_prefixes;
    state::Time m_ejectedAt{};
    int m_consecutiveFailures = 0;
    double m_errorRate = 0;
    int m_outcomeSamples = 0;
};

} // namespace sapphirecove::coordination
