#include "coordination/entry/crashsuspects.h"

#include "coordination/entry/shorthash.h"

#include <algorithm>
#include <iterator>
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

/**
 * Most suspects that a host remembers, and most parts that all of them have; one crash adds some dozens. The bounds
 * leave room for several of the longest prompts at once.
 */
constexpr std::size_t MaxSuspects = 4096;
constexpr std::size_t MaxParts = 65536;

/** Most numbers in all sets of parts, of 8 bytes each. */
constexpr std::size_t MaxPartsInSets = 524'288;

/** Fraction of the suspects that are dropped at once when there is no room, as choosing them takes a look at all. */
constexpr std::size_t DroppedFraction = 8;

/** Most crashes that are kept for one suspect; more change nothing. */
constexpr std::size_t MaxCrashesPerSuspect = 16;

} // namespace

std::uint32_t buildHash(std::string_view service, std::string_view softwareVersion)
{
    return shortHash(std::string(service) + '/' + std::string(softwareVersion));
}

CrashSuspects::CrashSuspects(std::uint32_t self)
    : m_self(self)
{
}

/** Returns which suspects have @p parts. */
CrashSuspects::Known CrashSuspects::known(std::span<const std::uint64_t> parts) const
{
    Known result;
    for (const std::uint64_t part : sortedParts(parts)) {
        const auto found = m_suspectOf.find(part);
        (found == m_suspectOf.end() ? result.unknown : result.bySuspect[found->second]).push_back(part);
    }
    return result;
}

/** Returns a suspect that has just @p parts of the suspect @p id, with the same evidence; the rest stays with @p id. */
CrashSuspects::SuspectId CrashSuspects::separate(SuspectId id, std::vector<std::uint64_t> parts)
{
    Suspect &rest = m_suspects.at(id);
    if (parts.size() == rest.parts->parts.size()) {
        return id;
    }
    const SuspectId separated = ++m_lastId;
    for (const std::uint64_t part : parts) {
        m_suspectOf[part] = separated;
    }
    Suspect copy = rest;
    copy.parts = m_sets.intern(std::move(parts));
    rest.parts = m_sets.intern(partsWithout(rest.parts->parts, copy.parts->parts));
    if (const auto accused = m_accused.find(id); accused != m_accused.end()) {
        accused->second.parts = rest.parts;
        Accused separatedAccused = accused->second;
        separatedAccused.parts = copy.parts;
        m_accused[separated] = std::move(separatedAccused);
    }
    if (m_repeated.contains(id)) {
        m_repeated.insert(separated);
    }
    if (const auto blocked = m_blocked.find(id); blocked != m_blocked.end()) {
        blocked->second.parts = rest.parts;
        Blocked separatedBlocked = blocked->second;
        separatedBlocked.parts = copy.parts;
        m_blocked[separated] = std::move(separatedBlocked);
    }
    if (m_changed.contains(id)) {
        m_changed.insert(separated);
    }
    m_suspects[separated] = std::move(copy);
    return separated;
}

CrashSuspects::SuspectId CrashSuspects::addSuspect(std::vector<std::uint64_t> parts)
{
    const SuspectId id = ++m_lastId;
    for (const std::uint64_t part : parts) {
        m_suspectOf[part] = id;
    }
    m_suspects[id].parts = m_sets.intern(std::move(parts));
    return id;
}

void CrashSuspects::erase(SuspectId id)
{
    const auto found = m_suspects.find(id);
    for (const std::uint64_t part : found->second.parts->parts) {
        m_suspectOf.erase(part);
    }
    m_suspects.erase(found);
}

void CrashSuspects::crashed(const BrokenRequest &request, state::Time now)
{
    const PartSetPtr all = m_sets.intern(sortedParts(request.parts));
    const state::Duration held = std::max(state::Duration::zero(), now - request.dispatched);
    Known parts = known(all->parts);
    std::vector<SuspectId> accused;
    for (auto &[id, ofSuspect] : parts.bySuspect) {
        accused.push_back(separate(id, std::move(ofSuspect)));
    }
    if (!parts.unknown.empty()) {
        accused.push_back(addSuspect(std::move(parts.unknown)));
    }
    for (const SuspectId id : accused) {
        Suspect &suspect = m_suspects.at(id);
        if (const auto answer = lastAnswer(suspect, request.build); answer && now <= *answer) {
            continue;
        }
        auto &crashes = suspect.crashes;
        const auto knownCrash = crashes.find({ request.target, m_self });
        if (knownCrash != crashes.end()) {
            Observation &crash = knownCrash->second;
            ++crash.requests;
            crash.held = std::min(crash.held, held);
            crash.common = m_sets.common(crash.common, all);
        } else if (crashes.size() < MaxCrashesPerSuspect) {
            crashes[{ request.target, m_self }] = { request.build, 1, now, held, all };
        }
        m_changed.insert(id);
    }
    makeRoom();
    applyChanges();
}

void CrashSuspects::answered(std::uint32_t build, std::span<const std::uint64_t> parts, state::Time now)
{
    const bool isAnySuspect = std::any_of(parts.begin(), parts.end(), [this](std::uint64_t part) {
        return m_suspectOf.contains(part);
    });
    if (!isAnySuspect) {
        return;
    }
    for (auto &[id, ofSuspect] : known(parts).bySuspect) {
        const Suspect &suspect = m_suspects.at(id);
        const auto last = lastAnswer(suspect, build);
        const bool isRecent = last && now - *last < AnswerResolution;
        if (isRecent && suspect.crashes.empty()) {
            continue;
        }
        const SuspectId separated = separate(id, std::move(ofSuspect));
        Suspect &acquitted = m_suspects.at(separated);
        Answer &answer = acquitted.answered[{ build, m_self }];
        answer = { ++m_answers, std::max(answer.at, now) };
        dropAnswered(acquitted, build);
        m_changed.insert(separated);
    }
    applyChanges();
}

/** Returns when a target of @p build last answered a request with the suspect; nothing if none is known to have. */
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
    for (const PartEvidence &item : evidence) {
        add(item, now);
    }
    if (!m_changed.empty()) {
        makeRoom();
        applyChanges();
    }
}

/** Adds evidence of another host. */
void CrashSuspects::add(const PartEvidence &evidence, state::Time now)
{
    const state::Time at = now - std::chrono::milliseconds(evidence.ageMs);
    if (evidence.target == 0) {
        addAnswer(evidence, at, now);
        return;
    }
    if (now - at > KeepBlocked || evidence.requests == 0) {
        return;
    }
    std::vector<std::uint64_t> all = evidence.parts->parts;
    for (const PartSetPtr &set : evidence.companions) {
        all.insert(all.end(), set->parts.begin(), set->parts.end());
    }
    const Observation crash{
        evidence.build, evidence.requests, at, std::chrono::milliseconds(evidence.heldMs), m_sets.intern(std::move(all))
    };
    Known parts = known(evidence.parts->parts);
    for (auto &[id, ofSuspect] : parts.bySuspect) {
        const auto answer = lastAnswer(m_suspects.at(id), evidence.build);
        if (answer && at <= *answer) {
            m_suspects.at(separate(id, std::move(ofSuspect))).contestedAt = now;
            continue;
        }
        addCrash(id, std::move(ofSuspect), evidence, crash);
    }
    if (!parts.unknown.empty()) {
        const SuspectId id = addSuspect(std::move(parts.unknown));
        m_suspects.at(id).crashes[{ evidence.target, evidence.observer }] = crash;
        m_changed.insert(id);
    }
}

/** Adds @p crash to what is known of @p parts, some or all of the suspect @p id. */
void CrashSuspects::addCrash(SuspectId id,
                             std::vector<std::uint64_t> parts,
                             const PartEvidence &evidence,
                             const Observation &crash)
{
    const TargetAndObserver key{ evidence.target, evidence.observer };
    const Suspect &before = m_suspects.at(id);
    const auto known = before.crashes.find(key);
    if (known == before.crashes.end()) {
        if (before.crashes.size() < MaxCrashesPerSuspect) {
            id = separate(id, std::move(parts));
            m_suspects.at(id).crashes[key] = crash;
            m_changed.insert(id);
        }
        return;
    }
    const PartSetPtr common = m_sets.common(known->second.common, crash.common);
    const bool isNews = crash.requests > known->second.requests || common != known->second.common;
    if (!isNews && parts.size() < before.parts->parts.size()) {
        return; // A better time alone is no reason to tell parts apart.
    }
    id = separate(id, std::move(parts));
    Observation &observation = m_suspects.at(id).crashes.at(key);
    // The earliest time is the right one, as messages take time.
    observation.at = std::min(observation.at, crash.at);
    observation.held = std::min(observation.held, crash.held);
    observation.common = common;
    observation.requests = std::max(observation.requests, crash.requests);
    if (isNews) {
        m_changed.insert(id);
    }
}

/** Adds an answer that another host knows of, at @p at by this host's clock. */
void CrashSuspects::addAnswer(const PartEvidence &evidence, state::Time at, state::Time now)
{
    const BuildAndObserver key{ evidence.build, evidence.observer };
    const std::uint32_t number = evidence.heldMs;
    Known parts = known(evidence.parts->parts);
    for (auto &[id, ofSuspect] : parts.bySuspect) {
        // An old answer still unblocks a part at a host that hears of it late.
        if (now - at > (m_blocked.contains(id) ? KeepBlocked : KeepAnswers)) {
            continue;
        }
        Suspect &suspect = m_suspects.at(id);
        const auto known = suspect.answered.find(key);
        if (known != suspect.answered.end() && number <= known->second.number) {
            // The ages in messages leave out the time on the way. Taking the latest of them would move an answer that
            // hosts tell each other again and again past later crashes.
            if (number == known->second.number && ofSuspect.size() == suspect.parts->parts.size()) {
                known->second.at = std::min(known->second.at, at);
            }
            continue;
        }
        const SuspectId separated = separate(id, std::move(ofSuspect));
        Suspect &acquitted = m_suspects.at(separated);
        acquitted.answered[key] = { number, at };
        dropAnswered(acquitted, evidence.build);
        m_changed.insert(separated);
    }
    if (!parts.unknown.empty() && now - at <= KeepAnswers) {
        const SuspectId id = addSuspect(std::move(parts.unknown));
        m_suspects.at(id).answered[key] = { number, at };
        m_changed.insert(id);
    }
}

bool CrashSuspects::isBlocked(std::span<const std::uint64_t> parts, std::uint32_t build) const
{
    return std::any_of(m_blocked.begin(), m_blocked.end(), [&](const auto &entry) {
        return !entry.second.exempt.contains(build) && holds(entry.second, parts);
    });
}

/** Returns whether a request with @p parts has all that it must have to be blocked. */
bool CrashSuspects::holds(const Blocked &blocked, std::span<const std::uint64_t> parts)
{
    const auto &required = blocked.required->parts;
    // Most requests lack the suspect, which a look at all parts shows sooner than sorting them.
    if (required.size() > parts.size()
        || std::find(parts.begin(), parts.end(), blocked.parts->parts.front()) == parts.end()) {
        return false;
    }
    const std::vector<std::uint64_t> sorted = sortedParts(parts);
    return std::includes(sorted.begin(), sorted.end(), required.begin(), required.end());
}

bool CrashSuspects::trialIsDue(std::span<const std::uint64_t> parts, state::Time now) const
{
    return timeToTrial(parts, now) <= state::Duration::zero();
}

void CrashSuspects::trialStarted(std::span<const std::uint64_t> parts, state::Time now)
{
    for (auto &[id, blocked] : m_blocked) {
        const bool hasAny = std::any_of(parts.begin(), parts.end(), [&blocked = blocked](std::uint64_t part) {
            return blocked.parts->contains(part);
        });
        if (hasAny) {
            blocked.lastTrial = now;
        }
    }
}

state::Duration CrashSuspects::timeToTrial(std::span<const std::uint64_t> parts, state::Time now) const
{
    state::Duration longest{};
    for (const auto &[id, blocked] : m_blocked) {
        if (holds(blocked, parts)) {
            longest = std::max(longest, trialAt(blocked) - now);
        }
    }
    return longest;
}

/** Returns when the next trial of a blocked suspect is due. */
state::Time CrashSuspects::trialAt(const Blocked &blocked)
{
    // Requests have the highest numbers. A suspect that is a request and parts of it is to blame for that request only.
    const bool isRequest = isRequestSuspect(blocked.parts->parts.back());
    if (blocked.crashes >= (isRequest ? NoRequestTrialsFrom : NoTrialsFrom)) {
        return blocked.lastCrash + KeepBlocked;
    }
    const std::size_t doublings = std::min(blocked.crashes - std::min(blocked.crashes, BlockAfter), MaxDoublings);
    const state::Time quarantined = blocked.lastCrash + FirstQuarantine * (1 << doublings);
    return blocked.lastTrial ? std::max(quarantined, *blocked.lastTrial + TrialTimeout) : quarantined;
}

void CrashSuspects::expire(state::Time now)
{
    if (m_suspects.empty() || now - m_expired < ExpireInterval) {
        return;
    }
    m_expired = now;
    for (auto &[id, suspect] : m_suspects) {
        const state::Duration keep = m_blocked.contains(id) ? KeepBlocked : KeepCrashes;
        std::size_t dropped = std::erase_if(suspect.crashes, [&](const auto &entry) {
            return now - entry.second.at > keep;
        });
        const state::Duration keepAnswers = suspect.wasBlocked ? KeepBlocked : KeepAnswers;
        dropped += std::erase_if(suspect.answered, [&](const auto &entry) {
            return now - entry.second.at > keepAnswers;
        });
        if (dropped > 0) {
            m_changed.insert(id);
        }
    }
    applyChanges();
}

std::vector<CrashSuspects::Change> CrashSuspects::takeChanges()
{
    return std::exchange(m_changes, {});
}

bool CrashSuspects::takeUrgent()
{
    return std::exchange(m_urgent, false);
}

/** Updates all that follows from the evidence that has changed. */
void CrashSuspects::applyChanges()
{
    if (m_changed.empty()) {
        return;
    }
    bool affectsBlocked = false;
    for (const SuspectId id : std::exchange(m_changed, {})) {
        affectsBlocked = updateAccused(id) || affectsBlocked;
    }
    m_digest.reset();
    // Most broken requests never crash a second target; they leave what is blocked as it is.
    if (affectsBlocked) {
        updateBlocked();
    }
    m_sets.forgetResults();
}

/** Updates what the evidence accuses a suspect of; returns whether blocked suspects may depend on it. */
bool CrashSuspects::updateAccused(SuspectId id)
{
    const auto found = m_suspects.find(id);
    const bool wasRepeated = m_repeated.erase(id) > 0;
    if (found == m_suspects.end() || found->second.crashes.empty()) {
        if (found != m_suspects.end() && found->second.answered.empty()) {
            erase(id);
        }
        // It may have been a companion of a blocked suspect.
        return m_accused.erase(id) > 0 && (wasRepeated || !m_blocked.empty());
    }
    Accused &accused = m_accused[id];
    accused = accusedOf(found->second);
    if (accused.separate >= BlockAfter) {
        m_repeated.insert(id);
        return true;
    }
    return wasRepeated;
}

CrashSuspects::Accused CrashSuspects::accusedOf(const Suspect &suspect)
{
    Accused accused;
    accused.parts = suspect.parts;
    std::vector<std::uint64_t> signature;
    for (const auto &[key, observation] : suspect.crashes) {
        const state::Time dispatched = observation.at - observation.held;
        const auto [known, added] = accused.crashes.try_emplace(key.first, Crash{ observation.at, dispatched });
        known->second.at = std::min(known->second.at, observation.at);
        known->second.latestDispatch = std::max(known->second.latestDispatch, dispatched);
        accused.requests += observation.requests;
        accused.common = accused.common ? m_sets.common(accused.common, observation.common) : observation.common;
        signature.insert(signature.end(),
                         { key.first, key.second, observation.build, observation.requests, observation.common->hash });
    }
    accused.separate = separateCount(accused.crashes);
    accused.requestsPerCrash = static_cast<double>(accused.requests) / static_cast<double>(accused.crashes.size());
    accused.signature = hashOf(signature);
    return accused;
}

/** Returns whether no crash accuses @p part any more, since it was answered. */
bool CrashSuspects::wasAnswered(std::uint64_t part) const
{
    const auto found = m_suspectOf.find(part);
    return found == m_suspectOf.end() || m_suspects.at(found->second).crashes.empty();
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
 * much rarer, so that @p accused is something that many requests share, or it was there at more crashes.
 */
bool CrashSuspects::explains(const Accused &other, const Accused &accused)
{
    if (accused.requestsPerCrash >= PresentFactor * other.requestsPerCrash) {
        return true;
    }
    // A part of all accusing requests is there at least as often, whichever of the two is to blame.
    return other.requestsPerCrash < PresentFactor * accused.requestsPerCrash && other.separate > accused.separate
        && !accused.common->includes(*other.parts);
}

/** Returns the separate crashes of a suspect that no other one explains. */
std::size_t CrashSuspects::unexplainedCount(SuspectId id, const Accused &accused) const
{
    Crashes crashes = accused.crashes;
    Crashes withoutSubsets = accused.crashes;
    for (const SuspectId otherId : m_repeated) {
        const Accused &other = m_accused.at(otherId);
        // What came together has no more to explain than the suspect itself.
        if (otherId == id || other.signature == accused.signature) {
            continue;
        }
        const auto isCommon = [&other](const auto &entry) {
            return other.crashes.contains(entry.first);
        };
        const bool isSubset = other.requests < accused.requests && other.common->includes(*accused.parts);
        const bool explained = explains(other, accused);
        if (explained) {
            std::erase_if(crashes, isCommon);
        }
        if (explained || isSubset) {
            std::erase_if(withoutSubsets, isCommon);
        }
    }
    // If some of the requests with the suspect explain all its crashes, the others are not to blame.
    return withoutSubsets.empty() ? 0 : separateCount(crashes);
}

void CrashSuspects::updateBlocked()
{
    std::map<SuspectId, Blocked> blocked;
    for (const SuspectId id : m_repeated) {
        const Accused &accused = m_accused.at(id);
        if (unexplainedCount(id, accused) < BlockAfter) {
            continue;
        }
        Blocked &entry = blocked[id] = blockedOf(id, accused);
        if (const auto before = m_blocked.find(id); before != m_blocked.end()) {
            entry.lastTrial = before->second.lastTrial;
            continue;
        }
        m_changes.push_back(
            { entry.parts->parts, true, entry.crashes, partsWithout(entry.required->parts, entry.parts->parts) });
        m_urgent = true;
        ++m_blockings;
    }
    for (const auto &[id, entry] : m_blocked) {
        if (!blocked.contains(id)) {
            m_changes.push_back({ entry.parts->parts, false, 0, {} });
        }
    }
    m_blocked = std::move(blocked);
    m_blockedDigest = blockedEvidence({}).digest;
}

/** Returns what blocks a suspect whose crashes nothing else explains. */
CrashSuspects::Blocked CrashSuspects::blockedOf(SuspectId id, const Accused &accused)
{
    Blocked entry;
    entry.crashes = accused.crashes.size();
    entry.parts = accused.parts;
    std::vector<std::uint64_t> required;
    std::copy_if(accused.common->parts.begin(),
                 accused.common->parts.end(),
                 std::back_inserter(required),
                 [&](std::uint64_t part) {
                     return accused.parts->contains(part) || !wasAnswered(part);
                 });
    entry.required = m_sets.intern(std::move(required));
    for (const auto &[target, crash] : accused.crashes) {
        entry.lastCrash = std::max(entry.lastCrash, crash.at);
    }
    Suspect &suspect = m_suspects.at(id);
    suspect.wasBlocked = true;
    for (const auto &[key, crash] : suspect.crashes) {
        entry.builds.insert(crash.build);
    }
    for (const auto &[key, answer] : suspect.answered) {
        if (!entry.builds.contains(key.first)) {
            entry.exempt.insert(key.first);
        }
    }
    return entry;
}

bool CrashSuspects::isFull() const
{
    return m_suspects.size() > MaxSuspects || m_suspectOf.size() > MaxParts || m_sets.heldParts() > MaxPartsInSets;
}

/** Drops the suspects with the fewest and oldest crashes while there are too many. */
void CrashSuspects::makeRoom()
{
    if (!isFull()) {
        return;
    }
    m_sets.forgetResults();
    using Rank = std::pair<std::tuple<bool, std::size_t, state::Time>, SuspectId>;
    std::vector<Rank> ranks;
    ranks.reserve(m_suspects.size());
    for (const auto &[id, suspect] : m_suspects) {
        state::Time latest{};
        for (const auto &[key, crash] : suspect.crashes) {
            latest = std::max(latest, crash.at);
        }
        ranks.push_back({ { m_blocked.contains(id), suspect.crashes.size(), latest }, id });
    }
    std::sort(ranks.begin(), ranks.end());
    const std::size_t atOnce = std::max<std::size_t>(1, ranks.size() / DroppedFraction);
    std::size_t dropped = 0;
    while (dropped < ranks.size() && (dropped < atOnce || isFull())) {
        const SuspectId id = ranks[dropped++].second;
        m_accused.erase(id);
        m_repeated.erase(id);
        m_changed.erase(id);
        erase(id);
    }
    m_dropped += dropped;
    m_digest.reset();
    updateBlocked();
}

} // namespace sapphirecove::coordination::entry
