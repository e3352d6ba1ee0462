#pragma once

#include "coordination/entry/average.h"
#include "state/entry/targetentry.h"
#include "state/time.h"

#include <cstdint>
#include <optional>

namespace sapphirecove::coordination::entry {

/** Work that a request causes at a target. */
struct Work
{
    bool model = false; /**< runs on a model engine */
    double promptTokens = 0;
    double events = 0; /**< expected events of its stream */
};

/** How an attempt at a target ended. */
enum class AttemptOutcome {
    Served, /**< complete response with a status below 500 */
    ServerError, /**< complete response with a status of 500 or above */
    NotExecuted, /**< the target states that it did not run the request */
    Misdirected, /**< another incarnation has the address: it did not run the request */
    Unreachable, /**< no connection */
    Broken, /**< the connection broke, or the response was malformed */
    Stalled, /**< no bytes for too long */
    Abandoned, /**< ended by the caller or by a time limit; says nothing about the target */
    Crashed, /**< the connection broke, and the target accepts no new one */
};

/** Load, estimated speed and health of one target, as seen by this host. */
class TargetLoad
{
public:
    explicit TargetLoad(state::entry::TargetEntry entry);

    const state::entry::TargetEntry &entry() const
    {
        return m_entry;
    }

    std::uint32_t hash() const
    {
        return m_hash;
    }

    /** Returns a number that identifies targets of the same service and software, see buildHash(). */
    std::uint32_t build() const
    {
        return m_build;
    }

    /** Replaces the entry by a newer one of the same incarnation. */
    void update(state::entry::TargetEntry entry);

    /**
     * Records that discovery listed the target at @p now; it is cold for @p coldTime after the first time if its entry
     * does not say for how long.
     */
    void listed(state::Duration coldTime, state::Time now);

    /** Returns until when the target is cold, as far as this host knows. */
    state::Time coldUntil() const
    {
        return m_coldUntil;
    }

    /** Adds a request of this host. */
    void dispatched(const Work &work);

    /**
     * Records that the engine has prefilled the prompt of a request of this host; @p aheadTokens were not prefilled yet
     * at its dispatch, its own included.
     */
    void firstEvent(const Work &work, double aheadTokens, state::Duration afterDispatch);

    /** Ends a request of this host; @p prefilled tells whether firstEvent() was called for it. */
    void finished(const Work &work, bool prefilled, AttemptOutcome outcome, state::Time now);

    /**
     * Updates the decoding speed from a stream that took @p duration from its first to its last of @p events events.
     */
    void streamed(std::uint32_t events, state::Duration duration);

    /** Updates the usual time of plain responses. */
    void answered(state::Duration duration);

    /** Adds to the load of other hosts at the target; negative values remove it. */
    void addRemote(int running, double promptTokens);

    /** Clears the load of other hosts at the target. */
    void clearRemote();

    std::uint32_t ownRunning() const
    {
        return m_ownRunning;
    }

    /** Returns the prompt tokens of this host that the engine has not prefilled yet. */
    double ownPromptTokens() const
    {
        return m_ownPromptTokens;
    }

    /** Returns the number of requests of all hosts at the target. */
    std::uint32_t running() const;

    /** Returns the prompt tokens of all hosts that the engine has not prefilled yet. */
    double pendingPromptTokens() const;

    /** Returns whether the target has a free slot. */
    bool hasRoom() const;

    /** Returns whether the target may be used at all: it is not ejected, or its trial request is due. */
    bool usable(state::Time now) const;

    /** Returns the expected time to the first event or to the plain response of @p work in milliseconds. */
    double expectedFirstMs(const Work &work) const;

    /** Returns the expected time from the first to the last event of @p work in milliseconds. */
    double expectedStreamMs(const Work &work) const;

    /**
     * Returns the expected longest pause in milliseconds between two events of the streams that already run at the
     * target, if @p work starts there now.
     */
    double expectedPauseMs(const Work &work) const;

    /** Returns the share of recent attempts that failed, 0 to 1. */
    double failureShare() const
    {
        return m_failures.value();
    }

private:
    void eject(state::Time now);

    state::entry::TargetEntry m_entry;
    std::uint32_t m_hash;
    std::uint32_t m_build;
    std::uint32_t m_ownRunning = 0;
    double m_ownPromptTokens = 0;
    int m_remoteRunning = 0;
    double m_remotePromptTokens = 0;
    Average m_msPerPromptToken;
    Average m_msPerEvent;
    Average m_plainMs;
    Average m_failures;
    int m_consecutiveFailures = 0;
    state::Time m_ejectedUntil{};
    std::optional<state::Time> m_firstListed;
    state::Time m_coldUntil{};
};

} // namespace sapphirecove::coordination::entry
