#pragma once

#include "coordination/entry/partset.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace sapphirecove::coordination::entry {

/** Load of one host at one target that was placed by one decider. */
struct TargetShare
{
    std::uint32_t target = 0; /**< hash of the incarnation */
    std::uint32_t decider = 0; /**< process that decided, see processHash() */
    std::uint16_t running = 0;
    std::uint32_t promptTokens = 0; /**< not prefilled yet */
};

/** Running request of a host that another host placed. */
struct ActiveRequest
{
    std::uint32_t decider = 0; /**< see processHash() */
    std::uint64_t request = 0; /**< id of the request at the host that runs it */
};

/** Cost that a host has admitted for one customer. */
struct QuotaShare
{
    std::uint32_t customer = 0; /**< hash of the name */
    double admitted = 0; /**< since the host started */
    float usedInWindow = 0; /**< by all hosts, as the sender sees it */
};

/** Cost that a host has admitted for one customer and given back, as the requests were never sent. */
struct QuotaReturn
{
    std::uint32_t customer = 0; /**< hash of the name */
    double givenBack = 0; /**< since the host started */
};

/** What a target has stated about itself, as the sender knows it; see TargetStatements. */
struct StatementShare
{
    std::uint32_t target = 0; /**< hash of the incarnation */
    float requestsPerSecond = 0;
    std::uint32_t revision = 0;
    bool ended = false;
    std::uint32_t ageMs = 0; /**< of the limit, since it was stated last, or since its end */
    bool leaving = false;
    std::uint32_t leavingAgeMs = 0; /**< since the target was first heard to leave */
};

/** Time for which a target wants no requests from the sender. */
struct BackOffShare
{
    std::uint32_t target = 0; /**< hash of the incarnation */
    std::uint32_t remainingMs = 0;
};

/** Requests that a host has sent to a target with a rate, on the decisions of one process. */
struct SentShare
{
    std::uint32_t target = 0; /**< hash of the incarnation */
    std::uint32_t decider = 0; /**< see processHash() */
    std::uint32_t requests = 0; /**< only grows while the host sends there */
};

/**
 * What a host knows of some parts of prompts, or requests, at targets of one build: the same of each of them; see
 * CrashSuspects.
 */
struct PartEvidence
{
    PartSetPtr parts = makePartSet({});
    std::uint32_t build = 0; /**< see buildHash() */
    std::uint32_t target = 0; /**< incarnation that crashed at requests with the parts; 0 for an answer to one */
    std::uint32_t observer = 0; /**< process that has decided about these requests, see processHash() */
    std::uint16_t requests = 0; /**< with the parts, which the crash broke */
    std::uint32_t ageMs = 0; /**< since the crash, or since the last answer */
    std::uint32_t heldMs = 0; /**< shortest time for which the target had such a request; number of an answer */
    std::vector<PartSetPtr> companions; /**< other parts that all these requests had as well, in sets that evidence of
                                           several crashes has in common */

    friend bool operator==(const PartEvidence &a, const PartEvidence &b)
    {
        const auto isEqual = [](const PartSetPtr &set, const PartSetPtr &other) {
            return *set == *other;
        };
        return *a.parts == *b.parts && a.build == b.build && a.target == b.target && a.observer == b.observer
            && a.requests == b.requests && a.ageMs == b.ageMs && a.heldMs == b.heldMs
            && std::equal(a.companions.begin(), a.companions.end(), b.companions.begin(), b.companions.end(), isEqual);
    }
};

/** Running order to roll a service out whose counts the sender knows; see VersionShare. */
struct RolloutShare
{
    std::uint32_t service = 0; /**< hash of the name */
    std::uint32_t version = 0; /**< hash of the name of the new version */
    std::uint32_t ageMs = 0; /**< since the fleet has read the order */
};

/** Requests to one software version on one route since the rollout began, on the decisions of one process. */
struct VersionShare
{
    std::uint32_t service = 0; /**< hash of the name */
    std::uint32_t version = 0; /**< hash of the name of the new version; 0 for all others together */
    std::uint32_t route = 0; /**< hash of the name */
    std::uint32_t process = 0; /**< that decided, see processHash() */
    std::uint32_t dispatched = 0;
    std::uint32_t good = 0;
    std::uint32_t bad = 0;
    std::uint32_t timed = 0; /**< see VersionCounts */
    float latencyLogSum = 0;
    float latencyLogSquareSum = 0;
};

/** Whether a failure domain is evacuated, as the sender knows it; see Evacuations. */
struct EvacuationShare
{
    std::string domain;
    bool evacuated = false;
    std::uint64_t era = 0; /**< of the metadata store at the position up to which this holds */
    std::uint64_t offset = 0; /**< position in the operator's topic up to which this holds */
};

/** State that each host sends several times a second to the candidate deciders. */
struct PeerReport
{
    std::string host;
    std::uint16_t port = 0; /**< of the sender, so that a peer can answer a host that it does not know yet */
    std::string address;
    std::string failureDomain;
    std::uint64_t incarnation = 0; /**< random number of the process */
    std::uint32_t sequence = 0;
    std::uint32_t uptimeMs = 0;
    std::int64_t reportSentAt = 0; /**< sender's clock in microseconds, echoed in the reply */
    float capacity = 0; /**< see KnownHost */
    bool stopping = false;
    std::uint64_t configuration = 0; /**< version; 0 before the first one */
    std::vector<TargetShare> targets;
    std::vector<ActiveRequest> active;
    std::vector<QuotaShare> quotas;
    std::vector<QuotaReturn> quotaReturns;
    std::vector<RolloutShare> rollouts;
    std::vector<VersionShare> versions;
    std::uint32_t statementsDigest = 0; /**< of all that the sender knows, see TargetStatements::digest() */
    std::vector<StatementShare> statements; /**< only sent if a recipient may know others */
    std::vector<SentShare> sent;
    std::vector<BackOffShare> backOffs;
    std::uint32_t suspectsDigest = 0; /**< see CrashSuspects::digest() */
    std::vector<PartEvidence> suspects; /**< only sent if a recipient may have other evidence */
    std::uint32_t evacuationsDigest = 0; /**< see Evacuations::digest() */
    std::vector<EvacuationShare> evacuations; /**< only sent if a recipient may know others */
};

} // namespace sapphirecove::coordination::entry
