#include "coordination/entry/crashsuspects.h"

#include "coordination/entry/messageage.h"
#include "coordination/entry/shorthash.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <string>
#include <tuple>

namespace sapphirecove::coordination::entry {

namespace {

/**
 * Least time between two crashes that count separately. What ends many targets at once, such as a failure of their
 * domain, says nothing about the requests that they held.
 */
constexpr state::Duration SeparateCrashes = std::chrono::milliseconds(150);

/** Factor of broken requests per crash from which on a part was only present at the crashes of a rarer one. */
constexpr double PresentFactor = 2;

/** Most doublings of the quarantine. */
constexpr std::size_t MaxDoublings = 5;

/** Time after which another trial may be sent if the outcome of one remains unknown: the longest wait of callers. */
constexpr state::Duration TrialTimeout = std::chrono::seconds(30);

/** Time for which crashes count that have not led to a block. */
constexpr state::Duration KeepCrashes = std::chrono::minutes(30);

/** Time for which answers are remembered; crashes before them that arrive later do not count. */
constexpr state::Duration KeepAnswers = std::chrono::minutes(2);

/** Accuracy of the time of the last answer, as parts that many requests share are answered all the time. */
constexpr state::Duration AnswerResolution = std::chrono::seconds(1);

/** Most suspects that a host remembers; one crash adds some dozens. */
constexpr std::size_t MaxSuspects = 4096;

/** Most parts of one request that a crash accuses, so that long lists of made-up parts cost little. */
constexpr std::size_t MaxPartsPerRequest = 64;

/** Most crashes that are kept for one part; more change nothing. */
constexpr std::size_t MaxCrashesPerPart = 16;

/** Most companions that are kept for a part; more only make the block narrower. */
constexpr std::size_t MaxCompanions = 8;

/** Most crashes and most answers in one message, whose size matters while targets crash. */
constexpr std::size_t MaxSharedCrashes = 48;
constexpr std::size_t MaxSharedAnswers = 16;

/** Removes what @p other lacks from the sorted @p parts. */
void keepCommon(std::vector<std::uint64_t> &parts, std::span<const std::uint64_t> other)
{
    std::erase_if(parts, [other](std::uint64_t part) {
        return !std::binary_search(other.begin(), other.end(), part);
    });
}

std::uint32_t digestOf(std::span<const PartEvidence> evidence)
{
    std::uint32_t digest = 0;
    for (const PartEvidence &item : evidence) {
        digest ^= shortHash(std::to_string(item.part) + '/' + std::to_string(item.build) + '/'
                            + std::to_string(item.target) + '/' + std::to_string(item.observer) + '/'
                            + std::to_string(item.requests) + '/' + std::to_string(item.companions.size()));
    }
    return digest;
}

} // namespace

std::uint32_t buildHash(std::string_view service, std::string_view softwareVersion)
{
    return shortHash(std::string(service) + '/' + std::string(softwareVersion));
}

CrashSuspects::CrashSuspects(std::uint32_t self)
    : m_self(self)
{
}

void CrashSuspects::crashed(const BrokenRequest &request, state::Time now)
{
    const auto considered = request.parts.first(std::min(request.parts.size(), MaxPartsPerRequest));
    const std::set<std::uint64_t> parts(considered.begin(), considered.end());
    const state::Duration held = std::max(state::Duration::zero(), now - request.dispatched);
    for (const std::uint64_t part : parts) {
        std::vector<std::uint64_t> companions;
        std::copy_if(parts.begin(), parts.end(), std::back_inserter(companions), [part](std::uint64_t other) {
            return other != part;
        });
        auto &crashes = m_suspects[part].crashes;
        const auto known = crashes.find({ request.target, m_self });
        if (known != crashes.end()) {
            ++known->second.requests;
            known->second.held = std::min(known->second.held, held);
            keepCommon(known->second.companions, companions);
        } else if (crashes.size() < MaxCrashesPerPart) {
            companions.resize(std::min(companions.size(), MaxCompanions));
            crashes[{ request.target, m_self }] = { request.build, 1, now, held, std::move(companions) };
        }
    }
    makeRoom();
    changed(considered);
}

void CrashSuspects::answered(std::uint32_t build, std::span<const std::uint64_t> parts, state::Time now)
{
    bool any = false;
    for (const std::uint64_t part : parts) {
        const auto found = m_suspects.find(part);
        if (found == m_suspects.end()) {
            continue;
        }
        const auto last = found->second.answered.find(build);
        const bool isRecent = last != found->second.answered.end() && now - last->second < AnswerResolution;
        if (!isRecent || !found->second.crashes.empty()) {
            answeredAt(found->second, build, now);
            any = true;
        }
    }
    if (any) {
        changed(parts);
    }
}

/** Records an answer, which drops the crashes of the build up to then. */
void CrashSuspects::answeredAt(Suspect &suspect, std::uint32_t build, state::Time at)
{
    state::Time &last = suspect.answered[build];
    last = std::max(last, at);
    std::erase_if(suspect.crashes, [&](const auto &entry) {
        return entry.second.build == build && entry.second.at <= last;
    });
}

void CrashSuspects::merge(std::span<const PartEvidence> evidence, state::Time now)
{
    std::vector<std::uint64_t> parts;
    for (const PartEvidence &item : evidence) {
        if (add(item, now)) {
            parts.push_back(item.part);
        }
    }
    if (!parts.empty()) {
        makeRoom();
        changed(parts);
    }
}

/** Adds evidence of another host; returns whether it was news. */
bool CrashSuspects::add(const PartEvidence &evidence, state::Time now)
{
    const state::Time at = now - std::chrono::milliseconds(evidence.ageMs);
    if (evidence.target == 0) {
        if (now - at > KeepAnswers) {
            return false;
        }
        Suspect &suspect = m_suspects[evidence.part];
        const auto known = suspect.answered.find(evidence.build);
        const bool isNews = known == suspect.answered.end() || known->second < at;
        answeredAt(suspect, evidence.build, at);
        return isNews;
    }
    const auto found = m_suspects.find(evidence.part);
    if (now - at > KeepBlocked || evidence.requests == 0) {
        return false;
    }
    if (found != m_suspects.end()) {
        const auto answer = found->second.answered.find(evidence.build);
        if (answer != found->second.answered.end() && at <= answer->second) {
            return false;
        }
    }
    std::vector<std::uint64_t> companions = evidence.companions;
    std::sort(companions.begin(), companions.end());
    auto &crashes = m_suspects[evidence.part].crashes;
    const auto known = crashes.find({ evidence.target, evidence.observer });
    if (known == crashes.end()) {
        if (crashes.size() >= MaxCrashesPerPart) {
            return false;
        }
        crashes[{ evidence.target, evidence.observer }] = {
            evidence.build, evidence.requests, at, std::chrono::milliseconds(evidence.heldMs), companions
        };
        return true;
    }
    Observation &observation = known->second;
    const std::size_t companionsBefore = observation.companions.size();
    // The earliest time is the right one, as messages take time.
    observation.at = std::min(observation.at, at);
    observation.held = std::min<state::Duration>(observation.held, std::chrono::milliseconds(evidence.heldMs));
    keepCommon(observation.companions, companions);
    const bool isNews = evidence.requests > observation.requests || observation.companions.size() < companionsBefore;
    observation.requests = std::max<std::uint32_t>(observation.requests, evidence.requests);
    return isNews;
}

bool CrashSuspects::isBlocked(std::span<const std::uint64_t> parts, std::uint32_t build) const
{
    return !m_blocked.empty() && std::any_of(parts.begin(), parts.end(), [&](std::uint64_t part) {
        const auto found = m_blocked.find(part);
        return found != m_blocked.end() && !found->second.exempt.contains(build) && holds(found->second, parts);
    });
}

/** Returns whether a request with @p parts has all companions of a blocked part. */
bool CrashSuspects::holds(const Blocked &blocked, std::span<const std::uint64_t> parts)
{
    return std::all_of(blocked.companions.begin(), blocked.companions.end(), [parts](std::uint64_t companion) {
        return std::find(parts.begin(), parts.end(), companion) != parts.end();
    });
}

bool CrashSuspects::trialIsDue(std::span<const std::uint64_t> parts, state::Time now) const
{
    return timeToTrial(parts, now) <= state::Duration::zero();
}

void CrashSuspects::trialStarted(std::span<const std::uint64_t> parts, state::Time now)
{
    for (const std::uint64_t part : parts) {
        if (m_blocked.contains(part)) {
            m_trials[part] = now;
        }
    }
}

state::Duration CrashSuspects::timeToTrial(std::span<const std::uint64_t> parts, state::Time now) const
{
    state::Duration longest{};
    for (const std::uint64_t part : parts) {
        const auto found = m_blocked.find(part);
        if (found != m_blocked.end() && holds(found->second, parts)) {
            longest = std::max(longest, trialAt(part, found->second) - now);
        }
    }
    return longest;
}

/** Returns when the next trial of a blocked part is due. */
state::Time CrashSuspects::trialAt(std::uint64_t part, const Blocked &blocked) const
{
    if (blocked.crashes >= NoTrialsFrom) {
        return blocked.lastCrash + KeepBlocked;
    }
    const std::size_t doublings = std::min(blocked.crashes - std::min(blocked.crashes, BlockAfter), MaxDoublings);
    const state::Time quarantined = blocked.lastCrash + FirstQuarantine * (1 << doublings);
    const auto trial = m_trials.find(part);
    return trial == m_trials.end() ? quarantined : std::max(quarantined, trial->second + TrialTimeout);
}

std::vector<PartEvidence> CrashSuspects::evidenceOf(std::uint64_t part, state::Time now) const
{
    std::vector<PartEvidence> evidence;
    for (const auto &[key, crash] : m_suspects.at(part).crashes) {
        const auto requests = std::min<std::uint32_t>(crash.requests, std::numeric_limits<std::uint16_t>::max());
        evidence.push_back({ part,
                             crash.build,
                             key.first,
                             key.second,
                             static_cast<std::uint16_t>(requests),
                             ageMs(crash.at, now),
                             ageMs({}, state::Time(crash.held)),
                             crash.companions });
    }
    return evidence;
}

std::vector<PartEvidence> CrashSuspects::blockedEvidence(state::Time now) const
{
    std::vector<PartEvidence> result;
    for (const auto &[part, blocked] : m_blocked) {
        const auto evidence = evidenceOf(part, now);
        result.insert(result.end(), evidence.begin(), evidence.end());
    }
    return result;
}

std::vector<PartEvidence> CrashSuspects::shares(state::Time now) const
{
    std::vector<std::uint64_t> parts;
    for (const auto &[part, accused] : m_accused) {
        parts.push_back(part);
    }
    // Blocked parts first, then those that are next to be blocked; the order is the same on all hosts.
    std::sort(parts.begin(), parts.end(), [this](std::uint64_t a, std::uint64_t b) {
        if (m_blocked.contains(a) != m_blocked.contains(b)) {
            return m_blocked.contains(a);
        }
        const Accused &first = m_accused.at(a);
        const Accused &second = m_accused.at(b);
        if (first.separate != second.separate) {
            return first.separate > second.separate;
        }
        return first.requestsPerCrash != second.requestsPerCrash ? first.requestsPerCrash < second.requestsPerCrash
                                                                 : a < b;
    });
    std::vector<PartEvidence> result;
    for (const std::uint64_t part : parts) {
        const auto evidence = evidenceOf(part, now);
        if (result.size() + evidence.size() > MaxSharedCrashes) {
            break;
        }
        result.insert(result.end(), evidence.begin(), evidence.end());
    }
    std::size_t answers = 0;
    for (const auto &[part, suspect] : m_suspects) {
        for (const auto &[build, at] : suspect.answered) {
            if (answers < MaxSharedAnswers) {
                result.push_back({ part, build, 0, 0, 0, ageMs(at, now), 0, {} });
                ++answers;
            }
        }
    }
    return result;
}

std::optional<std::vector<PartEvidence>> CrashSuspects::evidenceToStore(state::Time now) const
{
    if (m_blockedDigest == m_storedDigest) {
        return std::nullopt;
    }
    return blockedEvidence(now);
}

void CrashSuspects::expire(state::Time now)
{
    if (m_suspects.empty()) {
        return;
    }
    std::vector<std::uint64_t> parts;
    for (auto &[part, suspect] : m_suspects) {
        const state::Duration keep = m_blocked.contains(part) ? KeepBlocked : KeepCrashes;
        std::size_t dropped = std::erase_if(suspect.crashes, [&](const auto &entry) {
            return now - entry.second.at > keep;
        });
        dropped += std::erase_if(suspect.answered, [&](const auto &entry) {
            return now - entry.second > KeepAnswers;
        });
        if (dropped > 0) {
            parts.push_back(part);
        }
    }
    if (!parts.empty()) {
        changed(parts);
    }
}

std::vector<CrashSuspects::Change> CrashSuspects::takeChanges()
{
    return std::exchange(m_changes, {});
}

bool CrashSuspects::takeUrgent()
{
    return std::exchange(m_urgent, false);
}

/** Updates all that follows from the evidence about @p parts. */
void CrashSuspects::changed(std::span<const std::uint64_t> parts)
{
    for (const std::uint64_t part : parts) {
        const auto found = m_suspects.find(part);
        if (found == m_suspects.end() || found->second.crashes.empty()) {
            m_accused.erase(part);
        } else {
            m_accused.try_emplace(part);
        }
        if (found != m_suspects.end() && found->second.crashes.empty() && found->second.answered.empty()) {
            m_suspects.erase(found);
        }
    }
    // The companions of other parts depend on whether these were answered.
    for (auto &[part, accused] : m_accused) {
        accused = accusedOf(m_suspects.at(part));
    }
    updateBlocked();
    updateDigests();
}

CrashSuspects::Accused CrashSuspects::accusedOf(const Suspect &suspect) const
{
    Accused accused;
    bool first = true;
    for (const auto &[key, observation] : suspect.crashes) {
        const state::Time dispatched = observation.at - observation.held;
        const auto [known, added] = accused.crashes.try_emplace(key.first, Crash{ observation.at, dispatched });
        known->second.at = std::min(known->second.at, observation.at);
        known->second.latestDispatch = std::max(known->second.latestDispatch, dispatched);
        accused.requests += observation.requests;
        if (first) {
            accused.companions = observation.companions;
        } else {
            keepCommon(accused.companions, observation.companions);
        }
        first = false;
    }
    std::erase_if(accused.companions, [this](std::uint64_t part) {
        return wasAnswered(part);
    });
    accused.separate = separateCount(accused.crashes);
    accused.requestsPerCrash = static_cast<double>(accused.requests) / static_cast<double>(accused.crashes.size());
    return accused;
}

/** Returns whether no crash accuses @p part any more, since it was answered. */
bool CrashSuspects::wasAnswered(std::uint64_t part) const
{
    const auto found = m_suspects.find(part);
    return found == m_suspects.end() || found->second.crashes.empty();
}

std::size_t CrashSuspects::separateCount(const Crashes &crashes)
{
    std::vector<Crash> inOrder;
    for (const auto &[target, crash] : crashes) {
        inOrder.push_back(crash);
    }
    std::sort(inOrder.begin(), inOrder.end(), [](const Crash &a, const Crash &b) {
        return a.at < b.at;
    });
    std::size_t count = 0;
    state::Time last{};
    for (const Crash &crash : inOrder) {
        if (count == 0 || crash.latestDispatch >= last || crash.at - last >= SeparateCrashes) {
            ++count;
            last = crash.at;
        }
    }
    return count;
}

/**
 * Returns whether the crashes that @p other and @p accused have in common are put down to @p other: its requests are
 * much rarer, so that @p accused is a part that many requests share, or it was there at more crashes.
 */
bool CrashSuspects::explains(std::uint64_t otherPart, const Accused &other, const Accused &accused)
{
    if (accused.requestsPerCrash >= PresentFactor * other.requestsPerCrash) {
        return true;
    }
    // A part of all accusing requests is there at least as often, whichever of the two is to blame.
    const bool isCompanion = std::binary_search(accused.companions.begin(), accused.companions.end(), otherPart);
    return !isCompanion && other.requestsPerCrash < PresentFactor * accused.requestsPerCrash
        && other.separate > accused.separate;
}

/** Returns the separate crashes of @p part that no other part explains. */
std::size_t CrashSuspects::unexplainedCount(std::uint64_t part, const Accused &accused) const
{
    Crashes crashes = accused.crashes;
    Crashes withoutSubsets = accused.crashes;
    for (const auto &[otherPart, other] : m_accused) {
        if (otherPart == part || other.separate < BlockAfter) {
            continue;
        }
        const auto isCommon = [&other = other](const auto &entry) {
            return other.crashes.contains(entry.first);
        };
        const bool isSubset = other.requests < accused.requests
            && std::binary_search(other.companions.begin(), other.companions.end(), part);
        const bool explained = explains(otherPart, other, accused);
        if (explained) {
            std::erase_if(crashes, isCommon);
        }
        if (explained || isSubset) {
            std::erase_if(withoutSubsets, isCommon);
        }
    }
    // If some of the requests with the part explain all its crashes, the others are not to blame.
    return withoutSubsets.empty() ? 0 : separateCount(crashes);
}

void CrashSuspects::updateBlocked()
{
    std::unordered_map<std::uint64_t, Blocked> blocked;
    for (const auto &[part, accused] : m_accused) {
        if (accused.separate < BlockAfter || unexplainedCount(part, accused) < BlockAfter) {
            continue;
        }
        Blocked &entry = blocked[part];
        entry.crashes = accused.crashes.size();
        entry.companions = accused.companions;
        for (const auto &[target, crash] : accused.crashes) {
            entry.lastCrash = std::max(entry.lastCrash, crash.at);
        }
        const Suspect &suspect = m_suspects.at(part);
        for (const auto &[key, crash] : suspect.crashes) {
            entry.builds.insert(crash.build);
        }
        for (const auto &[build, at] : suspect.answered) {
            if (!entry.builds.contains(build)) {
                entry.exempt.insert(build);
            }
        }
        if (!m_blocked.contains(part)) {
            m_changes.push_back({ part, true, entry.crashes, entry.companions });
            m_urgent = true;
            ++m_blockings;
        }
    }
    for (const auto &[part, entry] : m_blocked) {
        if (!blocked.contains(part)) {
            m_changes.push_back({ part, false, 0, {} });
            m_trials.erase(part);
        }
    }
    m_blocked = std::move(blocked);
}

void CrashSuspects::updateDigests()
{
    m_digest = digestOf(shares({}));
    m_blockedDigest = digestOf(blockedEvidence({}));
}

/** Drops the suspects with the fewest and oldest crashes if there are too many. */
void CrashSuspects::makeRoom()
{
    while (m_suspects.size() > MaxSuspects) {
        const auto latestCrash = [](const Suspect &suspect) {
            state::Time latest{};
            for (const auto &[key, crash] : suspect.crashes) {
                latest = std::max(latest, crash.at);
            }
            return latest;
        };
        const auto least = std::min_element(m_suspects.begin(), m_suspects.end(), [&](const auto &a, const auto &b) {
            const auto key = [&](const auto &entry) {
                return std::tuple(
                    m_blocked.contains(entry.first), entry.second.crashes.size(), latestCrash(entry.second));
            };
            return key(a) < key(b);
        });
        m_accused.erase(least->first);
        m_suspects.erase(least);
    }
}

} // namespace sapphirecove::coordination::entry
