#pragma once

#include "coordination/entry/partset.h"
#include "coordination/entry/peerreport.h"
#include "state/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace sapphirecove::coordination::entry {

/** Returns a number that identifies the targets of @p service with @p softwareVersion in messages between hosts. */
std::uint32_t buildHash(std::string_view service, std::string_view softwareVersion);

/** Bit of the numbers that stand for whole requests; it is clear in those that stand for parts of prompts. */
constexpr std::uint64_t RequestSuspectBit = std::uint64_t{ 1 } << 63U;

/** Returns the number that stands for all requests with the content of @p hash; no part of a prompt has it. */
constexpr std::uint64_t requestSuspect(std::uint64_t hash)
{
    return hash | RequestSuspectBit;
}

/** Returns the number that stands for @p part of a prompt; no whole request has it. */
constexpr std::uint64_t promptPartSuspect(std::uint64_t part)
{
    return part & ~RequestSuspectBit;
}

/** Returns whether @p suspect stands for a whole request. */
constexpr bool isRequestSuspect(std::uint64_t suspect)
{
    return (suspect & RequestSuspectBit) != 0;
}

/** Request that a crash of its target broke before its answer had begun. */
struct BrokenRequest
{
    std::uint32_t target = 0; /**< hash of the incarnation */
    std::uint32_t build = 0; /**< see buildHash() */
    std::span<const std::uint64_t> parts; /**< see ScheduledRequest::parts */
    state::Time dispatched{};
};

/**
 * Parts of prompts, and whole requests that come again, that are suspected of crashing the targets that run them.
 *
 * A whole request is one more part of itself: "part" stands for both here, and the numbers tell them apart; see
 * isRequestSuspect(). A part that comes only with one request is thus blocked together with that request only.
 *
 * Parts that only ever came together are one suspect, however many they are, so that a prompt may have as many parts as
 * its header has room for. A crash or an answer at a request with some of them splits the suspect.
 *
 * A target that crashes takes all its requests along, so that one crash accuses the parts of all of them. A part is
 * blocked once several targets, one after the other, have crashed at requests with it and none has answered one since.
 * A part that was only present when another one crashed targets is not blocked; see unexplainedCount(). While all
 * requests that accuse a part have other parts in common, too, only requests with all of these are blocked, as any of
 * them may be the one; see Blocked::required.
 *
 * The host that decides records crashes and answers. Evidence passes between hosts in reports and in the replies to
 * them, so that every host that may decide or send has it. Merging does not depend on the order of messages.
 *
 * After a quarantine, which doubles with each crash, one request with a blocked part is sent as a trial. An answer
 * unblocks the part.
 *
 * Memory and messages are bounded. What is dropped or does not fit is counted: droppedSuspects(), unsharedSuspects().
 */
class CrashSuspects
{
public:
    /** Crashes without an answer in between at which a part is blocked. */
    static constexpr std::size_t BlockAfter = 3;

    /** Crashes from which on a blocked part gets no more trials. */
    static constexpr std::size_t NoTrialsFrom = 8;

    /**
     * Same for a whole request. Three may reach targets after the third crash; one of them is left for a crash of which
     * the fleet was not told.
     */
    static constexpr std::size_t NoRequestTrialsFrom = 5;

    /** Quarantine of a part that was blocked after BlockAfter crashes. */
    static constexpr state::Duration FirstQuarantine = std::chrono::seconds(30);

    /** Time for which a blocked part is remembered after its last crash. */
    static constexpr state::Duration KeepBlocked = std::chrono::hours(6);

    /** @p self is the processHash() of this process. */
    explicit CrashSuspects(std::uint32_t self = 0);

    /** Records that a target crashed at @p request at @p now, which may be a moment ago. */
    void crashed(const BrokenRequest &request, state::Time now);

    /** Records that a target of @p build answered a request with @p parts without a crash. */
    void answered(std::uint32_t build, std::span<const std::uint64_t> parts, state::Time now);

    /** Adds the evidence of another host. */
    void merge(std::span<const PartEvidence> evidence, state::Time now);

    /** Returns whether a target has crashed at a request with @p part and none has answered one since. */
    bool isAccused(std::uint64_t part) const
    {
        const auto found = m_suspectOf.find(part);
        return found != m_suspectOf.end() && m_accused.contains(found->second);
    }

    /** Returns whether a request with @p parts may not be sent to targets of @p build. */
    bool isBlocked(std::span<const std::uint64_t> parts, std::uint32_t build) const;

    /** Returns whether a request with @p parts may be sent as a trial: a trial of all its blocked parts is due. */
    bool trialIsDue(std::span<const std::uint64_t> parts, state::Time now) const;

    /** Records that a request with @p parts is sent as a trial. */
    void trialStarted(std::span<const std::uint64_t> parts, state::Time now);

    /** Returns the time until a request with @p parts may be sent as a trial. */
    state::Duration timeToTrial(std::span<const std::uint64_t> parts, state::Time now) const;

    /** Returns a number that two hosts share if they would send the same crashes. */
    std::uint32_t digest() const;

    /** Returns the most important evidence, for messages to other hosts. */
    std::vector<PartEvidence> shares(state::Time now) const;

    /** Returns the evidence against blocked parts if it has changed since it was stored; see evidenceStored(). */
    std::optional<std::vector<PartEvidence>> evidenceToStore(state::Time now) const;

    /** Records that the store has the evidence with the given digest; see blockedDigest(). */
    void evidenceStored(std::uint32_t blockedDigest)
    {
        m_storedDigest = blockedDigest;
    }

    /** Records that it is unknown what the store has. */
    void storeAgain()
    {
        m_storedDigest.reset();
    }

    /** Returns a number that identifies the evidence against blocked parts; 0 if there is none. */
    std::uint32_t blockedDigest() const
    {
        return m_blockedDigest;
    }

    /** Drops evidence that is too old. */
    void expire(state::Time now);

    /** Suspect whose state has changed. */
    struct Change
    {
        std::vector<std::uint64_t> parts; /**< that only ever came together */
        bool blocked = false;
        std::size_t crashes = 0; /**< that are held against them */
        std::vector<std::uint64_t> companions; /**< that a request must have as well to be blocked */
    };

    /** Returns the changes since the last call, for the log. */
    std::vector<Change> takeChanges();

    /** Returns whether a part was blocked since the last call, which other hosts should know at once. */
    bool takeUrgent();

    /** Returns a number that grows whenever another suspect is blocked. */
    std::uint64_t blockings() const
    {
        return m_blockings;
    }

    /** Returns how many suspects are blocked; parts that only ever came together count as one. */
    std::size_t blockedCount() const
    {
        return m_blocked.size();
    }

    /** Returns how many suspects there are; parts that only ever came together count as one. */
    std::size_t suspectCount() const
    {
        return m_suspects.size();
    }

    /** Returns how many suspects were dropped since the process started, as there was no room for them. */
    std::uint64_t droppedSuspects() const
    {
        return m_dropped;
    }

    /** Returns how many numbers of parts the evidence holds in memory, of 8 bytes each. */
    std::size_t heldParts() const
    {
        return m_sets.heldParts();
    }

    /** Returns how many suspects with crashes messages leave out now, as there is no room for them. */
    std::size_t unsharedSuspects() const
    {
        return m_unshared;
    }

private:
    using SuspectId = std::uint64_t; /**< number of a suspect in this process */

    /** What one deciding process knows of one crash at requests with one suspect. */
    struct Observation
    {
        std::uint32_t build = 0;
        std::uint32_t requests = 0; /**< with the suspect, which the crash broke */
        state::Time at{};
        state::Duration held{}; /**< shortest time for which the target had such a request */
        PartSetPtr common; /**< parts that all these requests had, the suspect's own included */
    };

    using TargetAndObserver = std::pair<std::uint32_t, std::uint32_t>;

    using BuildAndObserver = std::pair<std::uint32_t, std::uint32_t>;

    /** Last answer that one process has seen at targets of one build. */
    struct Answer
    {
        std::uint32_t number = 0; /**< of all answers that the process recorded; tells old news from new */
        state::Time at{};
    };

    /** Parts that only ever came together, and what is known of each of them. */
    struct Suspect
    {
        PartSetPtr parts;
        std::map<TargetAndObserver, Observation> crashes; /**< since the last answer */
        std::map<BuildAndObserver, Answer> answered;
        bool wasBlocked = false; /**< a host that hears late of its answers would block it again */
        std::optional<state::Time> contestedAt; /**< last time that another host sent crashes from before an answer */
    };

    /** Crash as all observers together know it. */
    struct Crash
    {
        state::Time at{};
        state::Time latestDispatch{}; /**< of the requests with the suspect */
    };

    using Crashes = std::map<std::uint32_t, Crash>; /**< by target */

    /** Suspect that crashes accuse, before other explanations of them are considered. */
    struct Accused
    {
        PartSetPtr parts;
        Crashes crashes;
        std::size_t separate = 0; /**< crashes one after the other */
        std::uint32_t requests = 0; /**< that crashes broke */
        double requestsPerCrash = 0;
        PartSetPtr common; /**< parts of all requests that crashes broke, the suspect's own included */
        std::uint64_t signature = 0; /**< of its crashes; suspects that came together have the same on all hosts */
    };

    struct Blocked
    {
        state::Time lastCrash{};
        std::size_t crashes = 0;
        PartSetPtr parts; /**< of the suspect */
        PartSetPtr required; /**< parts that a request must have to be blocked, the suspect's own included */
        std::set<std::uint32_t> builds; /**< that have crashed */
        std::set<std::uint32_t> exempt; /**< that have answered and not crashed since */
        std::optional<state::Time> lastTrial;
    };

    /** Most evidence that a message or a record has room for. */
    struct EvidenceLimits
    {
        std::size_t crashes = 0;
        std::size_t parts = 0; /**< numbers in all sets of parts, each set counted once */
    };

    /** Evidence for a message or a record. */
    struct Evidence
    {
        std::vector<PartEvidence> items;
        std::set<std::uint64_t> sets; /**< hashes of the sets of parts that they name */
        std::size_t parts = 0; /**< of these sets */
        std::size_t suspects = 0; /**< of which all crashes are there */
        std::uint32_t digest = 0; /**< the same on all hosts with the same evidence */
    };

    /** Suspects with the same crashes, which count as one in messages. */
    struct SuspectClass
    {
        PartSetPtr parts;
        std::vector<SuspectId> suspects;
    };

    /** Parts of a request that suspects have, by suspect, and those that none has; ascending. */
    struct Known
    {
        std::map<SuspectId, std::vector<std::uint64_t>> bySuspect;
        std::vector<std::uint64_t> unknown;
    };

    Known known(std::span<const std::uint64_t> parts) const;
    SuspectId separate(SuspectId id, std::vector<std::uint64_t> parts);
    SuspectId addSuspect(std::vector<std::uint64_t> parts);
    void erase(SuspectId id);
    void add(const PartEvidence &evidence, state::Time now);
    void addAnswer(const PartEvidence &evidence, state::Time at, state::Time now);
    void
    addCrash(SuspectId id, std::vector<std::uint64_t> parts, const PartEvidence &evidence, const Observation &crash);
    static std::optional<state::Time> lastAnswer(const Suspect &suspect, std::uint32_t build);
    static void dropAnswered(Suspect &suspect, std::uint32_t build);
    void applyChanges();
    bool updateAccused(SuspectId id);
    void updateBlocked();
    Blocked blockedOf(SuspectId id, const Accused &accused);
    void makeRoom();
    bool isFull() const;
    Accused accusedOf(const Suspect &suspect);
    bool wasAnswered(std::uint64_t part) const;
    static std::size_t separateCount(const Crashes &crashes);
    static bool explains(const Accused &other, const Accused &accused);
    static bool holds(const Blocked &blocked, std::span<const std::uint64_t> parts);
    std::size_t unexplainedCount(SuspectId id, const Accused &accused) const;
    std::vector<SuspectId> byRank(std::span<const SuspectId> suspects) const;
    std::vector<SuspectClass> classesOf(std::span<const SuspectId> suspects) const;
    std::vector<PartSetPtr> companionsOf(const PartSetPtr &common,
                                         const SuspectClass &own,
                                         const std::map<SuspectId, const SuspectClass *> &classOf) const;
    Evidence evidenceOf(std::span<const SuspectId> suspects, EvidenceLimits limits, state::Time now) const;
    Evidence sharedCrashes(state::Time now) const;
    void addAnswers(Evidence &evidence, state::Time now) const;
    Evidence blockedEvidence(state::Time now) const;
    static state::Time trialAt(const Blocked &blocked);

    std::uint32_t m_self;
    std::uint32_t m_answers = 0; /**< recorded by this process */
    SuspectId m_lastId = 0;
    PartSetPool m_sets;
    std::map<SuspectId, Suspect> m_suspects;
    std::unordered_map<std::uint64_t, SuspectId> m_suspectOf; /**< by part */
    std::map<SuspectId, Accused> m_accused; /**< suspects with crashes */
    std::set<SuspectId> m_repeated; /**< accused with BlockAfter separate crashes */
    std::map<SuspectId, Blocked> m_blocked;
    std::set<SuspectId> m_changed; /**< whose evidence has changed since applyChanges() */
    std::uint64_t m_dropped = 0;
    mutable std::size_t m_unshared = 0;
    mutable std::optional<std::uint32_t> m_digest; /**< nothing if the evidence has changed since */
    state::Time m_expired{}; /**< last time that all evidence was looked through */
    std::uint32_t m_blockedDigest = 0;
    std::optional<std::uint32_t> m_storedDigest = 0; /**< nothing if it is unknown what the store has */
    std::uint64_t m_blockings = 0;
    std::vector<Change> m_changes;
    bool m_urgent = false;
};

} // namespace sapphirecove::coordination::entry
