#pragma once

#include "state/identifiers.h"
#include "state/time.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace sapphirecove::coordination {

/** State of a group as its arbiter announces it; entry hosts choose a group by it. */
struct GroupSummary
{
    state::GroupId group;
    std::uint32_t waiting = 0; /**< asks in the arbiter's queue */
    std::uint32_t freeStreams = 0; /**< streams that the group's targets can take now */
    state::Duration estimatedWait{}; /**< until a new ask of the lowest tier would be granted */
};

/** Announcement that asks of a tier are about to be shed; lower tiers must not be granted meanwhile. */
struct TierFloor
{
    state::PoolId pool;
    state::Tier tier = 0; /**< lowest tier that may still be granted */
    std::uint64_t sequence = 0; /**< of the announcing host, grows with each announcement */
    state::Duration remaining{}; /**< time for which the floor still holds */
};

/** Statement that a version is bad. It only ever grows, so it needs no agreement. */
struct VersionHalt
{
    state::PoolId pool;
    state::VersionName version;
    std::string reason;
    state::HostId detectedBy;
};

/** Periodic sign of life of a host. */
struct Heartbeat
{
    std::uint64_t sequence = 0;
    std::uint64_t acknowledged = 0; /**< highest heartbeat sequence received from the receiver's incarnation */
    state::Generation generation = 0;
    bool draining = false;
    bool ready = false;
    std::vector<GroupSummary> groups;
    std::vector<TierFloor> floors;
    std::vector<VersionHalt> halts;
};

/** Request for a slot on a target of a group; repeated with the same request id until it is answered. */
struct SlotRequest
{
    state::RequestId request;
    state::GroupId group;
    state::CustomerId customer;
    state::Tier tier = 0;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    std::uint32_t bodyBytes = 0;
    state::Time deadline{};
    std::vector<std::uint64_t> prefixHashes; /**< hashes of the prompt's prefixes, shortest first */
    std::string sourceFailureDomain; /**< failure domain of the entry host */
    std::vector<state::TargetId> excluded; /**< targets that refused a connection for this request */
};

/** Withdrawal of an ask whose caller has gone or whose deadline has passed. */
struct SlotWithdrawal
{
    state::RequestId request;
    state::GroupId group;
};

/** Permission to dispatch one request to one target until it expires. */
struct SlotGrant
{
    state::RequestId request;
    state::GroupId group;
    state::GrantId grant = 0;
    state::TargetId target;
    state::VersionName version;
    state::Duration validFor{}; /**< from the arbiter's decision; the host must start the dispatch within it */
};

/** Why an ask was denied. */
enum class DenialReason {
    Overloaded, /**< shed: the queue is full or too long for the deadline */
    DeadlineInfeasible, /**< could not finish in time even on an idle target */
    NoTarget, /**< no live target in the group */
    NotArbiter, /**< the receiver does not arbitrate this group */
};

/** Final answer to an ask that gets no slot. */
struct SlotDenial
{
    state::RequestId request;
    state::GroupId group;
    DenialReason reason = DenialReason::Overloaded;
    state::Duration retryAfter{}; /**< zero if coming back makes no sense */
};

/** How the use of a grant ended. */
enum class GrantOutcome {
    Unused, /**< returned without an attempt to connect */
    ConnectRefused, /**< nothing was sent */
    Complete,
    Failed, /**< the target answered with an error or a malformed answer */
    Interrupted, /**< the connection ended before the end of the answer */
    Cancelled, /**< by the caller */
};

/** Return of a grant with what was measured. */
struct SlotRelease
{
    state::RequestId request;
    state::GroupId group;
    state::GrantId grant = 0;
    state::TargetId target;
    state::VersionName version;
    GrantOutcome outcome = GrantOutcome::Unused;
    std::uint32_t promptTokens = 0;
    std::uint32_t cachedTokens = 0; /**< prompt tokens that the engine took from its prefix cache */
    std::uint32_t outputTokens = 0;
    state::Duration timeToFirstToken{}; /**< from dispatch; zero if no token came */
    state::Duration total{}; /**< from dispatch to the end */
};

/** One dispatched request in a report for a new arbiter. */
struct OutstandingDispatch
{
    state::RequestId request;
    state::GrantId grant = 0;
    state::TargetId target;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    bool firstTokenSeen = false;
};

/** What the sender has dispatched to a group and that has not ended. */
struct OutstandingReport
{
    state::GroupId group;
    bool complete = true; /**< false if only dispatches are listed that no earlier report named */
    std::vector<OutstandingDispatch> dispatches;
};

/** Request for the peer's configuration. */
struct ConfigurationRequest
{
    state::Generation generation = 0; /**< that the sender has */
};

/** Accepted configuration of a peer. */
struct ConfigurationOffer
{
    state::Generation generation = 0;
    state::Offset offset = 0; /**< first offset of the stream that the sender has not read; 0 if it cannot tell */
    std::string publishId;
    std::string operatorName;
    std::string document; /**< empty if the request named the same generation */
};

/** Message between hosts. */
using Message = std::variant<Heartbeat,
                             SlotRequest,
                             SlotWithdrawal,
                             SlotGrant,
                             SlotDenial,
                             SlotRelease,
                             OutstandingReport,
                             ConfigurationRequest,
                             ConfigurationOffer>;

/** Messages that travel together from one host to another. */
struct Envelope
{
    state::HostId from;
    state::Incarnation incarnation = 0;
    std::vector<Message> messages;
};

} // namespace sapphirecove::coordination
