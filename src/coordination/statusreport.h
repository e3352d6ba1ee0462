#pragma once

#include "coordination/message.h"
#include "state/identifiers.h"
#include "state/logrecord.h"
#include "state/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sapphirecove::coordination {

/** State of another host, as known to this host. */
struct PeerStatus
{
    state::HostId id;
    state::Incarnation incarnation = 0;
    bool listed = false;
    bool alive = false;
    bool draining = false;
    bool ready = false;
    state::Generation generation = 0;
    state::Duration timeSinceHeartbeat{};
};

/** State of a target, as known to its arbiter. */
struct TargetStatus
{
    state::TargetId id;
    state::VersionName version;
    std::string state; /**< "live", "leaving", "unlisted" or "ejected" */
    int streams = 0; /**< in grants that have not been released */
    std::int64_t prefillTokens = 0; /**< of granted requests, not yet prefilled */
    double prefillTokensPerSecond = 0; /**< estimated from past requests */
    double decodeTokensPerSecond = 0; /**< per stream, estimated from past requests */
};

/** State of a group arbitrated by this host. */
struct GroupStatus
{
    state::GroupId group;
    GroupSummary summary;
    std::vector<TargetStatus> targets;
};

/** Entry of the audit trail: one change. */
struct AuditEntry
{
    state::Time time{};
    std::string actor;
    std::string kind; /**< "configuration", "version" or "lease" */
    std::string subject;
    std::string base;
    std::string outcome;
    std::string detail;
};

/** State of a version change, for operators. */
struct VersionChangeStatus
{
    std::string id;
    state::PoolId pool;
    state::VersionName from;
    state::VersionName to;
    state::Time deadline{};
    state::ChangeState state = state::ChangeState::Loading;
    int sharePerMille = 0;
    std::string reason;
};

/** Outcome of a publication, as read from the log by this host. */
struct PublicationStatus
{
    std::string publishId;
    bool accepted = false;
    state::Generation generation = 0;
    std::string detail;
};

/** State of this host for operators. */
struct StatusReport
{
    state::HostId host;
    state::Incarnation incarnation = 0;
    bool ready = false;
    bool draining = false;
    state::Generation generation = 0;
    std::string publishId; /**< of the configuration in force */
    std::size_t requests = 0; /**< accepted and not finished */
    std::vector<PeerStatus> peers;
    std::vector<GroupStatus> groups;
    std::vector<VersionChangeStatus> changes;
    std::vector<PublicationStatus> publications;
    std::vector<AuditEntry> audit;
    std::map<std::string, std::uint64_t> counters;
};

} // namespace sapphirecove::coordination
