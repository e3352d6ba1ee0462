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

/** What this host knows of another host. */
struct PeerStatus
{
    state::HostId id;
    state::Incarnation incarnation = 0;
    bool listed = false;
    bool alive = false;
    bool draining = false;
    bool ready = false;
    state::Generation generation = 0;
    state::Duration timeSinceHeartbeat{}; /**< since the last heartbeat */
};

/** What an arbiter knows of a target. */
struct TargetStatus
{
    state::TargetId id;
    state::VersionName version;
    std::string state; /**< "live", "leaving", "unlisted" or "ejected" */
    int streams = 0; /**< granted and not released */
    std::int64_t prefillTokens = 0; /**< granted and not yet prefilled */
    double prefillTokensPerSecond = 0; /**< learned */
    double decodeTokensPerSecond = 0; /**< learned, per stream */
};

/** State of a group arbitrated by this host. */
struct GroupStatus
{
    state::GroupId group;
    GroupSummary summary;
    std::vector<TargetStatus> targets;
};

/** Change for the audit trail. */
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

/** State of a version change as the operator reads it. */
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

/** Outcome of a publication as this host read it from the log. */
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
