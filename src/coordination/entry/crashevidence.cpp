// The part of CrashSuspects that puts its evidence together for messages to other hosts and for the metadata store.
#include "coordination/entry/crashsuspects.h"

#include "coordination/entry/messageage.h"
#include "coordination/entry/shorthash.h"

#include <algorithm>
#include <limits>
#include <string>
#include <tuple>

namespace sapphirecove::coordination::entry {

namespace {

/**
 * Most crashes in one message and most numbers in their sets of parts: a datagram has room for the longest prompt, of
 * 5,461 parts in a header of 16 KiB.
 */
constexpr std::size_t MaxSharedCrashes = 48;
constexpr std::size_t MaxSharedParts = 6000;

/**
 * Most answers in one message, and what is kept free for their parts, unless the crashes name them as well. Those that
 * are left out go with later messages.
 */
constexpr std::size_t MaxSharedAnswers = 16;
constexpr std::size_t MaxSharedAnsweredParts = 800;

/** Suspects that are considered for a message; some of them may be parts of what is one suspect at another host. */
constexpr std::size_t ConsideredForMessage = 128;

/** Most crashes and numbers in the record of the blocked suspects; the metadata store takes records of 256 KiB. */
constexpr std::size_t MaxStoredCrashes = 1024;
constexpr std::size_t MaxStoredParts = 24'576;

} // namespace

/** Returns @p suspects, of which those with the same crashes are neighbours, as classes. */
std::vector<CrashSuspects::SuspectClass> CrashSuspects::classesOf(std::span<const SuspectId> suspects) const
{
    std::vector<SuspectClass> classes;
    while (!suspects.empty()) {
        const std::uint64_t signature = m_accused.at(suspects.front()).signature;
        const auto next = std::find_if(suspects.begin(), suspects.end(), [&](SuspectId id) {
            return m_accused.at(id).signature != signature;
        });
        SuspectClass &item = classes.emplace_back();
        item.suspects.assign(suspects.begin(), next);
        suspects = suspects.subspan(item.suspects.size());
        if (item.suspects.size() == 1) {
            item.parts = m_suspects.at(item.suspects.front()).parts;
            continue;
        }
        std::vector<std::uint64_t> parts;
        for (const SuspectId id : item.suspects) {
            const auto &ofSuspect = m_suspects.at(id).parts->parts;
            parts.insert(parts.end(), ofSuspect.begin(), ofSuspect.end());
        }
        item.parts = makePartSet(std::move(parts));
    }
    return classes;
}

/**
 * Returns the parts in @p common but those of @p own. The same classes and suspects are the same sets in all results,
 * as crashes at long prompts differ in few parts.
 */
std::vector<PartSetPtr> CrashSuspects::companionsOf(const PartSetPtr &common,
                                                    const SuspectClass &own,
                                                    const std::map<SuspectId, const SuspectClass *> &classOf) const
{
    std::map<const PartSet *, std::pair<PartSetPtr, std::vector<std::uint64_t>>> sets;
    std::vector<std::uint64_t> rest;
    for (const std::uint64_t part : partsWithout(common->parts, own.parts->parts)) {
        const auto suspect = m_suspectOf.find(part);
        if (suspect == m_suspectOf.end()) {
            rest.push_back(part);
            continue;
        }
        const auto ofClass = classOf.find(suspect->second);
        const PartSetPtr &set =
            ofClass == classOf.end() ? m_suspects.at(suspect->second).parts : ofClass->second->parts;
        auto &[whole, found] = sets[set.get()];
        whole = set;
        found.push_back(part);
    }
    std::vector<PartSetPtr> companions;
    for (auto &[address, item] : sets) {
        auto &[whole, found] = item;
        if (found.size() == whole->parts.size()) {
            companions.push_back(whole);
        } else {
            rest.insert(rest.end(), found.begin(), found.end());
        }
    }
    if (!rest.empty()) {
        companions.push_back(makePartSet(std::move(rest)));
    }
    return companions;
}

/** Returns the crashes at @p suspects, in this order, as far as @p limits allow. */
CrashSuspects::Evidence
CrashSuspects::evidenceOf(std::span<const SuspectId> suspects, EvidenceLimits limits, state::Time now) const
{
    const std::vector<SuspectClass> classes = classesOf(suspects);
    std::map<SuspectId, const SuspectClass *> classOf;
    for (const SuspectClass &item : classes) {
        for (const SuspectId id : item.suspects) {
            classOf[id] = &item;
        }
    }
    Evidence result;
    for (const SuspectClass &item : classes) {
        if (result.items.size() == limits.crashes) {
            break;
        }
        const auto &crashes = m_suspects.at(item.suspects.front()).crashes;
        if (result.items.size() + crashes.size() > limits.crashes) {
            continue;
        }
        std::map<const PartSet *, std::vector<PartSetPtr>> companions; // By the parts of all broken requests.
        std::set<std::uint64_t> added;
        std::size_t addedParts = 0;
        const auto add = [&](const PartSetPtr &set) {
            if (!result.sets.contains(set->hash) && added.insert(set->hash).second) {
                addedParts += set->parts.size();
            }
        };
        add(item.parts);
        for (const auto &[key, crash] : crashes) {
            const auto [others, isNew] = companions.try_emplace(crash.common.get());
            if (isNew) {
                others->second = companionsOf(crash.common, item, classOf);
                std::for_each(others->second.begin(), others->second.end(), add);
            }
        }
        if (result.parts + addedParts > limits.parts) {
            continue;
        }
        result.parts += addedParts;
        result.sets.merge(added);
        result.suspects += item.suspects.size();
        for (const auto &[key, crash] : crashes) {
            const auto requests = std::min<std::uint32_t>(crash.requests, std::numeric_limits<std::uint16_t>::max());
            result.items.push_back({ item.parts,
                                     crash.build,
                                     key.first,
                                     key.second,
                                     static_cast<std::uint16_t>(requests),
                                     ageMs(crash.at, now),
                                     ageMs({}, state::Time(crash.held)),
                                     companions.at(crash.common.get()) });
            result.digest ^= shortHash(std::to_string(item.parts->hash) + '/' + std::to_string(crash.build) + '/'
                                       + std::to_string(key.first) + '/' + std::to_string(key.second) + '/'
                                       + std::to_string(crash.requests) + '/' + std::to_string(crash.common->hash));
        }
    }
    return result;
}

CrashSuspects::Evidence CrashSuspects::blockedEvidence(state::Time now) const
{
    std::vector<SuspectId> blocked;
    for (const auto &[id, entry] : m_blocked) {
        blocked.push_back(id);
    }
    return evidenceOf(byRank(blocked), { MaxStoredCrashes, MaxStoredParts }, now);
}

std::vector<PartEvidence> CrashSuspects::shares(state::Time now) const
{
    Evidence result = sharedCrashes(now);
    addAnswers(result, now);
    return std::move(result.items);
}

/** Adds the answers that messages have room for, first those of which another host has outdated crashes. */
void CrashSuspects::addAnswers(Evidence &evidence, state::Time now) const
{
    std::vector<const Suspect *> suspects;
    for (const auto &[id, suspect] : m_suspects) {
        if (!suspect.answered.empty()) {
            suspects.push_back(&suspect);
        }
    }
    const auto considered = suspects.begin() + static_cast<std::ptrdiff_t>(std::min(suspects.size(), MaxSharedAnswers));
    std::partial_sort(suspects.begin(), considered, suspects.end(), [](const Suspect *a, const Suspect *b) {
        const auto rank = [](const Suspect *suspect) {
            return std::pair(suspect->contestedAt.value_or(state::Time::min()), suspect->parts->hash);
        };
        return rank(a) > rank(b);
    });
    std::size_t answers = 0;
    std::size_t room = MaxSharedParts + MaxSharedAnsweredParts - evidence.parts;
    for (auto suspect = suspects.begin(); suspect != considered; ++suspect) {
        // An answer holds for each part alone. Those that are left out stay contested and go first next time.
        const auto &all = (*suspect)->parts->parts;
        const bool isNamed = evidence.sets.contains((*suspect)->parts->hash);
        const std::size_t count = isNamed ? all.size() : std::min(all.size(), room);
        const PartSetPtr parts = count == all.size()
            ? (*suspect)->parts
            : makePartSet({ all.begin(), all.begin() + static_cast<std::ptrdiff_t>(count) });
        for (const auto &[key, answer] : (*suspect)->answered) {
            if (count > 0 && answers < MaxSharedAnswers) {
                ++answers;
                evidence.items.push_back(
                    { parts, key.first, 0, key.second, 0, ageMs(answer.at, now), answer.number, {} });
            }
        }
        room -= isNamed ? 0 : count;
    }
}

/** Returns those of the accused @p suspects that come first in messages, in an order that is the same on all hosts. */
std::vector<CrashSuspects::SuspectId> CrashSuspects::byRank(std::span<const SuspectId> suspects) const
{
    // Blocked suspects first, then those that are next to be blocked.
    using Rank = std::tuple<bool, std::ptrdiff_t, double, std::uint64_t, std::uint64_t, SuspectId>;
    std::vector<Rank> ranks;
    ranks.reserve(suspects.size());
    for (const SuspectId id : suspects) {
        const Accused &accused = m_accused.at(id);
        const auto separate = static_cast<std::ptrdiff_t>(accused.separate);
        ranks.push_back({ !m_blocked.contains(id),
                          -separate,
                          accused.requestsPerCrash,
                          accused.signature,
                          accused.parts->parts.front(),
                          id });
    }
    const auto considered = ranks.begin() + static_cast<std::ptrdiff_t>(std::min(ranks.size(), ConsideredForMessage));
    std::partial_sort(ranks.begin(), considered, ranks.end());
    std::vector<SuspectId> result;
    for (auto rank = ranks.begin(); rank != considered; ++rank) {
        result.push_back(std::get<5>(*rank));
    }
    return result;
}

/** Returns the crashes that messages have room for. */
CrashSuspects::Evidence CrashSuspects::sharedCrashes(state::Time now) const
{
    std::vector<SuspectId> accused;
    accused.reserve(m_accused.size());
    for (const auto &[id, entry] : m_accused) {
        accused.push_back(id);
    }
    Evidence result = evidenceOf(byRank(accused), { MaxSharedCrashes, MaxSharedParts }, now);
    m_unshared = m_accused.size() - result.suspects;
    return result;
}

std::uint32_t CrashSuspects::digest() const
{
    if (!m_digest) {
        m_digest = sharedCrashes({}).digest;
    }
    return *m_digest;
}

std::optional<std::vector<PartEvidence>> CrashSuspects::evidenceToStore(state::Time now) const
{
    if (m_blockedDigest == m_storedDigest) {
        return std::nullopt;
    }
    return blockedEvidence(now).items;
}

} // namespace sapphirecove::coordination::entry
