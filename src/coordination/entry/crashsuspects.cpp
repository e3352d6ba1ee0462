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

/** Interval at which evidence that is too old is looked for. */
constexpr state::Duration ExpireInterval = std::chrono::seconds(1);

/** Accuracy of the time of the last answer, as parts that many requests share are answered all the time. */
constexpr state::Duration AnswerResolution = std::chrono::seconds(1);

/** Most suspects that a host remembers; one crash adds some dozens. */
constexpr std::size_t MaxSuspects = 4096;

/** Suspects that are dropped at once when there are too many, as choosing them takes a look at all. */
constexpr std::size_t DroppedAtOnce = MaxSuspects / 8;

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
        Suspect &suspect = m_suspects[part];
        if (const auto answer = lastAnswer(suspect, request.build); answer && now <= *answer) {
            continue;
        }
        auto &crashes = suspect.crashes;
        const auto known = crashes.find({ request.target, m_self });
        if (known != crashes.end()) {
            ++known->second.requests;
            known->second.held = std::min(known->second.held, held);
            keepCommon(known->second.companions, companions);
        } else if (crashes.size() < MaxCrashesPerPart) {
            // The largest numbers are kept, so that the request itself is among them.
            companions.erase(companions.begin(),
                             companions.end()
                                 - static_cast<std::ptrdiff_t>(std::min(companions.size(), MaxCompanions)));
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
        const auto last = lastAnswer(found->second, build);
        const bool isRecent = last && now - *last < AnswerResolution;
        if (!isRecent || !found->second.crashes.empty()) {
            Answer &answer = found->second.answered[{ build, m_self }];
            answer = { ++m_answers, std::max(answer.at, now) };
            dropAnswered(found->second, build);
            any = true;
        }
    }
    if (any) {
        changed(parts);
    }
}

/** Returns when a target of @p build last answered a request with the part; nothing if none is known to have. */
std::optional<state::Time> CrashSuspects::lastAnswer(const Suspect &suspect, std::uint32_t build)
{
    std::optional<state::Time> last;
    for (auto entry = suspect.answered.lower_bound({ build, 0 });
         entry != suspect.answered.end() && entry->first.first == build;
         ++entry) {
        last = std::max(last.value_or(entry->second.at), entry->second.at);
    }
    return last;
}

/** Drops the crashes of @p build up to the last answer. */
void CrashSuspects::dropAnswered(Suspect &suspect, std::uint32_t build)
{
    const auto last = lastAnswer(suspect, build);
    std::erase_if(suspect.crashes, [&](const auto &entry) {
        return last && entry.second.build == build && entry.second.at <= *last;
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
        return addAnswer(evidence, at, now);
    }
    const auto found = m_suspects.find(evidence.part);
    if (now - at > KeepBlocked || evidence.requests == 0) {
        return false;
    }
    if (found != m_suspects.end()) {
        if (const auto answer = lastAnswer(found->second, evidence.build); answer && at <= *answer) {
            found->second.contested = true;
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

/** Adds an answer that another host knows of, at @p at by this host's clock; returns whether it was news. */
bool CrashSuspects::addAnswer(const PartEvidence &evidence, state::Time at, state::Time now)
{
    // An old answer still unblocks a part at a host that hears of it late.
    if (now - at > (m_blocked.contains(evidence.part) ? KeepBlocked : KeepAnswers)) {
        return false;
    }
    Suspect &suspect = m_suspects[evidence.part];
    const auto [known, added] =
        suspect.answered.try_emplace({ evidence.build, evidence.observer }, Answer{ evidence.heldMs, at });
    if (!added && evidence.heldMs <= known->second.number) {
        // The ages in messages leave out the time on the way. Taking the latest of them would move an answer that hosts
        // tell each other again and again past later crashes.
        if (evidence.heldMs == known->second.number) {
            known->second.at = std::min(known->second.at, at);
        }
        return false;
    }
    known->second = { evidence.heldMs, at };
    dropAnswered(suspect, evidence.build);
    return true;
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
    if (blocked.crashes >= (isRequestSuspect(part) ? NoRequestTrialsFrom : NoTrialsFrom)) {
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
    std::vector<PartEvidence> result = sharedCrashes(now);
    // First the answers to parts of which another host has outdated crashes.
    std::size_t answers = 0;
    for (const bool contested : { true, false }) {
        for (const auto &[part, suspect] : m_suspects) {
            if (suspect.contested != contested) {
                continue;
            }
            for (const auto &[key, answer] : suspect.answered) {
                if (answers < MaxSharedAnswers) {
                    result.push_back({ part, key.first, 0, key.second, 0, ageMs(answer.at, now), answer.number, {} });
                    ++answers;
                }
            }
        }
    }
    return result;
}

/** Returns the crashes that messages have room for. */
std::vector<PartEvidence> CrashSuspects::sharedCrashes(state::Time now) const
{
    // Blocked parts first, then those that are next to be blocked; the order is the same on all hosts.
    using Rank = std::pair<std::tuple<bool, std::ptrdiff_t, double>, std::uint64_t>;
    std::vector<Rank> ranks;
    ranks.reserve(m_accused.size());
    for (const auto &[part, accused] : m_accused) {
        const auto separate = static_cast<std::ptrdiff_t>(accused.separate);
        ranks.push_back({ { !m_blocked.contains(part), -separate, accused.requestsPerCrash }, part });
    }
    const auto considered = ranks.begin() + static_cast<std::ptrdiff_t>(std::min(ranks.size(), MaxSharedCrashes));
    std::partial_sort(ranks.begin(), considered, ranks.end());
    std::vector<PartEvidence> result;
    for (auto rank = ranks.begin(); rank != considered; ++rank) {
        const auto evidence = evidenceOf(rank->second, now);
        if (result.size() + evidence.size() > MaxSharedCrashes) {
            break;
        }
        result.insert(result.end(), evidence.begin(), evidence.end());
    }
    return result;
}

std::uint32_t CrashSuspects::digest() const
{
    if (!m_digest) {
        m_digest = digestOf(sharedCrashes({}));
    }
    return *m_digest;
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
    if (m_suspects.empty() || now - m_expired < ExpireInterval) {
        return;
    }
    m_expired = now;
    std::vector<std::uint64_t> parts;
    for (auto &[part, suspect] : m_suspects) {
        const state::Duration keep = m_blocked.contains(part) ? KeepBlocked : KeepCrashes;
        std::size_t dropped = std::erase_if(suspect.crashes, [&](const auto &entry) {
            return now - entry.second.at > keep;
        });
        const state::Duration keepAnswers = suspect.wasBlocked ? KeepBlocked : KeepAnswers;
        dropped += std::erase_if(suspect.answered, [&](const auto &entry) {
            return now - entry.second.at > keepAnswers;
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
    bool affectsBlocked = false;
    for (const std::uint64_t part : parts) {
        affectsBlocked = updateAccused(part) || affectsBlocked;
    }
    m_digest.reset();
    // Most broken requests never crash a second target; they leave what is blocked as it is.
    if (affectsBlocked) {
        updateBlocked();
    }
}

/** Updates what the evidence accuses @p part of; returns whether blocked parts may depend on it. */
bool CrashSuspects::updateAccused(std::uint64_t part)
{
    const auto found = m_suspects.find(part);
    const bool wasRepeated = m_repeated.erase(part) > 0;
    if (found == m_suspects.end() || found->second.crashes.empty()) {
        if (found != m_suspects.end() && found->second.answered.empty()) {
            m_suspects.erase(found);
        }
        // It may have been a companion of a blocked part.
        return m_accused.erase(part) > 0 && (wasRepeated || !m_blocked.empty());
    }
    Accused &accused = m_accused[part];
    accused = accusedOf(found->second);
    if (accused.separate >= BlockAfter) {
        m_repeated.insert(part);
        return true;
    }
    return wasRepeated;
}

CrashSuspects::Accused CrashSuspects::accusedOf(const Suspect &suspect)
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
    for (const std::uint64_t otherPart : m_repeated) {
        if (otherPart == part) {
            continue;
        }
        const Accused &other = m_accused.at(otherPart);
        const auto isCommon = [&other](const auto &entry) {
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
    for (const std::uint64_t part : m_repeated) {
        const Accused &accused = m_accused.at(part);
        if (unexplainedCount(part, accused) < BlockAfter) {
            continue;
        }
        Blocked &entry = blocked[part];
        entry.crashes = accused.crashes.size();
        entry.companions = accused.companions;
        std::erase_if(entry.companions, [this](std::uint64_t companion) {
            return wasAnswered(companion);
        });
        for (const auto &[target, crash] : accused.crashes) {
            entry.lastCrash = std::max(entry.lastCrash, crash.at);
        }
        Suspect &suspect = m_suspects.at(part);
        suspect.wasBlocked = true;
        for (const auto &[key, crash] : suspect.crashes) {
            entry.builds.insert(crash.build);
        }
        for (const auto &[key, answer] : suspect.answered) {
            if (!entry.builds.contains(key.first)) {
                entry.exempt.insert(key.first);
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
    m_blockedDigest = digestOf(blockedEvidence({}));
}

/** Drops the suspects with the fewest and oldest crashes if there are too many. */
void CrashSuspects::makeRoom()
{
    if (m_suspects.size() <= MaxSuspects) {
        return;
    }
    using Rank = std::pair<std::tuple<bool, std::size_t, state::Time>, std::uint64_t>;
    std::vector<Rank> ranks;
    ranks.reserve(m_suspects.size());
    for (const auto &[part, suspect] : m_suspects) {
        state::Time latest{};
        for (const auto &[key, crash] : suspect.crashes) {
            latest = std::max(latest, crash.at);
        }
        ranks.push_back({ { m_blocked.contains(part), suspect.crashes.size(), latest }, part });
    }
    const std::size_t dropped = m_suspects.size() - MaxSuspects + DroppedAtOnce;
    std::nth_element(ranks.begin(), ranks.begin() + static_cast<std::ptrdiff_t>(dropped), ranks.end());
    for (const Rank &rank : std::span(ranks).first(dropped)) {
        m_accused.erase(rank.second);
        m_repeated.erase(rank.second);
        m_suspects.erase(rank.second);
    }
    m_digest.reset();
    updateBlocked();
}

} // namespace sapphirecove::coordination::entry
