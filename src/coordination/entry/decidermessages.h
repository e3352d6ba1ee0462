#pragma once

#include "coordination/entry/peerreport.h"
#include "coordination/entry/scheduledrequest.h"
#include "coordination/entry/targetload.h"
#include "state/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sapphirecove::coordination::entry {

/**
 * Time for which a placement may be used, by the requester's clock: several round trips between regions. Deciders keep
 * the slot for longer.
 */
constexpr state::Duration PlacementLifetime = std::chrono::milliseconds(500);

/** Identity and address of a host's process. */
struct HostProcess
{
    std::string host;
    std::uint64_t incarnation = 0; /**< random number of the process */
    std::string address;
    std::uint16_t port = 0;

    friend bool operator==(const HostProcess &, const HostProcess &) = default;
};

/** Asks a decider when and where a request may run. Sent again until it is answered. */
struct DecisionRequest
{
    HostProcess requester;
    std::int64_t sent = 0; /**< requester's clock in microseconds */
    ScheduledRequest request; /**< with the requester's id */
};

/** Reply to a DecisionRequest. */
struct DecisionReply
{
    enum class State : std::uint8_t {
        Queued, /**< the request waits at the decider */
        Decided,
        Declined, /**< the host does not decide now */
    };

    std::string decider; /**< name of the host */
    std::uint64_t deciderIncarnation = 0;
    std::uint64_t requesterIncarnation = 0; /**< of the process that asked; its successor has requests of its own */
    std::int64_t requestSent = 0; /**< DecisionRequest::sent of the first request that the decider got */
    state::Duration held{}; /**< from that request to the decision, by the decider's clock */
    state::Duration targetsAge{}; /**< of the decider's list of targets at the decision */
    State state = State::Queued;
    Decision decision; /**< if decided; with the requester's id */
};

/** Progress or end of a request that a decider placed or keeps waiting. */
struct AttemptUpdate
{
    enum class Kind : std::uint8_t {
        FirstEvent,
        Finished,
        Withdrawn, /**< the requester no longer waits for it */
    };

    std::string host;
    std::uint64_t incarnation = 0;
    std::uint32_t decider = 0; /**< processHash() of the process that decided; 0 for any process of the host */
    std::uint64_t request = 0; /**< the requester's id */
    Kind kind = Kind::Finished;
    AttemptOutcome outcome = AttemptOutcome::Abandoned;
    std::uint32_t events = 0;
};

/** Reply of a candidate decider to a PeerReport. */
struct ReportReply
{
    std::string host;
    std::uint64_t incarnation = 0;
    std::uint64_t reporterIncarnation = 0; /**< of the process that reported; clocks of others don't compare */
    std::int64_t reportSentAt = 0; /**< PeerReport::reportSentAt of the answered report */
    bool canDecide = false; /**< knows the targets and takes decision requests */
    bool qualified = false; /**< gets reports of most hosts that it knows, and its list of targets is current */
    state::Duration targetsAge{}; /**< since its list of targets was last known to be complete */
    std::uint64_t configuration = 0; /**< version; 0 before the first one */
    std::uint64_t storeEra = 0; /**< newest era of the metadata store that the sender has heard of; 0 for none */
    state::Duration confirmedAge{}; /**< since the metadata store last certainly held that version as its newest */
    std::uint32_t liveHosts = 0; /**< hosts whose reports it gets, itself included */
    std::vector<QuotaShare> quotas; /**< use by all hosts */
    std::uint32_t statementsDigest = 0; /**< see TargetStatements::digest() */
    std::vector<StatementShare> statements; /**< only sent if the digest differs from that of the report */
    std::uint32_t suspectsDigest = 0; /**< see CrashSuspects::digest() */
    std::vector<PartEvidence> suspects; /**< only sent if the digest differs from that of the report */
    std::uint32_t evacuationsDigest = 0; /**< see Evacuations::digest() */
    std::vector<EvacuationShare> evacuations; /**< only sent if the digest differs from that of the report */
};

/** Returns a hash that identifies a process in reports. */
std::uint32_t processHash(std::string_view host, std::uint64_t incarnation);

} // namespace sapphirecove::coordination::entry
