#pragma once

#include "protocol/fieldnames.h"
#include "protocol/fieldreader.h"
#include "protocol/typename.h"
#include "state/logrecord.h"

namespace sapphirecove::protocol {

template <>
inline constexpr std::string_view TypeName<state::ConfigurationPublished> = "published";
template <>
inline constexpr std::string_view TypeName<state::ConfigurationCheckpoint> = "checkpoint";
template <>
inline constexpr std::string_view TypeName<state::ClaimMade> = "claimed";
template <>
inline constexpr std::string_view TypeName<state::ClaimReleased> = "released";
template <>
inline constexpr std::string_view TypeName<state::ClaimFinished> = "finished";
template <>
inline constexpr std::string_view TypeName<state::LeaseTaken> = "taken";
template <>
inline constexpr std::string_view TypeName<state::VersionStep> = "step";

/** Visits the fields of a log record's struct by their JSON names. */
template <typename Visitor>
void visitFields(Visitor &visit, MaybeConst<state::ConfigurationPublished> auto &record)
{
    visit("publish_id", record.publishId);
    visit("base_generation", record.baseGeneration);
    visit("operator_name", record.operatorName);
    visit("document", record.document);
}

template <typename Visitor>
void visitFields(Visitor &visit, MaybeConst<state::ConfigurationCheckpoint> auto &record)
{
    visit("generation", record.generation);
    visit("publish_id", record.publishId);
    visit("operator_name", record.operatorName);
    visit("document", record.document);
    visit("read_to", record.readTo);
}

template <typename Visitor>
void visitFields(Visitor &visit, MaybeConst<state::ClaimMade> auto &record)
{
    visit("claim_id", record.claimId);
    visit("customer", record.customer);
    visit("key", record.key);
    visit("host", record.host);
    visit("incarnation", record.incarnation);
}

template <typename Visitor>
void visitFields(Visitor &visit, MaybeConst<state::ClaimReleased> auto &record)
{
    visit("claim_id", record.claimId);
    visit("customer", record.customer);
    visit("key", record.key);
}

template <typename Visitor>
void visitFields(Visitor &visit, MaybeConst<state::ClaimFinished> auto &record)
{
    visit("claim_id", record.claimId);
    visit("customer", record.customer);
    visit("key", record.key);
    visit("status", record.status, StatusBounds);
}

template <typename Visitor>
void visitFields(Visitor &visit, MaybeConst<state::LeaseTaken> auto &record)
{
    visit("name", record.name);
    visit("holder", record.holder);
    visit("incarnation", record.incarnation);
    visit("duration_us", record.duration);
    visit("sent_us", record.sent);
}

template <typename Visitor>
void visitFields(Visitor &visit, MaybeConst<state::VersionStep> auto &record)
{
    visit("change_id", record.changeId);
    visit("pool", record.pool);
    visit("version", record.version);
    visit("share_per_mille", record.sharePerMille, PerMilleBounds);
    visit("state", record.state);
    visit("reason", record.reason);
    visit("fencing", record.fencing);
    visit("holder", record.holder);
}

} // namespace sapphirecove::protocol
