#pragma once

#include "coordination/message.h"
#include "protocol/fieldnames.h"
#include "protocol/fieldreader.h"
#include "protocol/typename.h"

namespace sapphirecove::protocol {

template <>
inline constexpr std::string_view TypeName<coordination::Heartbeat> = "heartbeat";
template <>
inline constexpr std::string_view TypeName<coordination::SlotRequest> = "slot_ask";
template <>
inline constexpr std::string_view TypeName<coordination::SlotWithdrawal> = "slot_withdraw";
template <>
inline constexpr std::string_view TypeName<coordination::SlotGrant> = "slot_grant";
template <>
inline constexpr std::string_view TypeName<coordination::SlotDenial> = "slot_deny";
template <>
inline constexpr std::string_view TypeName<coordination::SlotRelease> = "slot_release";
template <>
inline constexpr std::string_view TypeName<coordination::OutstandingReport> = "outstanding_report";
template <>
inline constexpr std::string_view TypeName<coordination::ConfigurationRequest> = "configuration_request";
template <>
inline constexpr std::string_view TypeName<coordination::ConfigurationOffer> = "configuration_offer";

/** Visits the fields of a message's struct by their JSON names. */
template <typename Visitor>
void visitFields(Visitor &visit, MaybeConst<coordination::GroupSummary> auto &summary)
{
    visit("group", summary.group);
    visit("waiting", summary.waiting);
    visit("free_streams", summary.freeStreams);
    visit("estimated_wait_us", summary.estimatedWait);
}

template <typename Visitor>
void visitFields(Visitor &visit, MaybeConst<coordination::TierFloor> auto &floor)
{
    visit("pool", floor.pool);
    visit("tier", floor.tier, TierBounds);
    visit("sequence", floor.sequence);
    visit("remaining_us", floor.remaining);
}

template <typename Visitor>
void visitFields(Visitor &visit, MaybeConst<coordination::VersionHalt> auto &halt)
{
    visit("pool", halt.pool);
    visit("version", halt.version);
    visit("reason", halt.reason);
    visit("noticed_by", halt.detectedBy);
}

template <typename Visitor>
void visitFields(Visitor &visit, MaybeConst<coordination::Heartbeat> auto &heartbeat)
{
    visit("sequence", heartbeat.sequence);
    visit("acknowledged", heartbeat.acknowledged);
    visit("generation", heartbeat.generation);
    visit("draining", heartbeat.draining);
    visit("ready", heartbeat.ready);
    visit("groups", heartbeat.groups);
    visit("floors", heartbeat.floors);
    visit("halts", heartbeat.halts);
}

template <typename Visitor>
void visitFields(Visitor &visit, MaybeConst<coordination::SlotRequest> auto &slotRequest)
{
    visit("request", slotRequest.request);
    visit("group", slotRequest.group);
    visit("customer", slotRequest.customer);
    visit("tier", slotRequest.tier, TierBounds);
    visit("prompt_tokens", slotRequest.promptTokens);
    visit("max_output_tokens", slotRequest.maxOutputTokens);
    visit("body_bytes", slotRequest.bodyBytes);
    visit("deadline_us", slotRequest.deadline);
    visit("prefix_hashes", slotRequest.prefixHashes);
    visit("source_failure_domain", slotRequest.sourceFailureDomain);
    visit("excluded", slotRequest.excluded);
}

template <typename Visitor>
void visitFields(Visitor &visit, MaybeConst<coordination::SlotWithdrawal> auto &withdrawal)
{
    visit("request", withdrawal.request);
    visit("group", withdrawal.group);
}

template <typename Visitor>
void visitFields(Visitor &visit, MaybeConst<coordination::SlotGrant> auto &grant)
{
    visit("request", grant.request);
    visit("group", grant.group);
    visit("grant", grant.grant);
    visit("target", grant.target);
    visit("version", grant.version);
    visit("valid_for_us", grant.validFor);
}

template <typename Visitor>
void visitFields(Visitor &visit, MaybeConst<coordination::SlotDenial> auto &denial)
{
    visit("request", denial.request);
    visit("group", denial.group);
    visit("reason", denial.reason);
    visit("retry_after_us", denial.retryAfter);
}

template <typename Visitor>
void visitFields(Visitor &visit, MaybeConst<coordination::SlotRelease> auto &release)
{
    visit("request", release.request);
    visit("group", release.group);
    visit("grant", release.grant);
    visit("target", release.target);
    visit("version", release.version);
    visit("outcome", release.outcome);
    visit("prompt_tokens", release.promptTokens);
    visit("cached_tokens", release.cachedTokens);
    visit("output_tokens", release.outputTokens);
    visit("time_to_first_token_us", release.timeToFirstToken);
    visit("total_us", release.total);
}

template <typename Visitor>
void visitFields(Visitor &visit, MaybeConst<coordination::OutstandingDispatch> auto &dispatch)
{
    visit("request", dispatch.request);
    visit("grant", dispatch.grant);
    visit("target", dispatch.target);
    visit("prompt_tokens", dispatch.promptTokens);
    visit("max_output_tokens", dispatch.maxOutputTokens);
    visit("first_token_seen", dispatch.firstTokenSeen);
}

template <typename Visitor>
void visitFields(Visitor &visit, MaybeConst<coordination::OutstandingReport> auto &report)
{
    visit("group", report.group);
    visit("dispatches", report.dispatches);
    visit("complete", report.complete);
}

template <typename Visitor>
void visitFields(Visitor &visit, MaybeConst<coordination::ConfigurationRequest> auto &request)
{
    visit("generation", request.generation);
}

template <typename Visitor>
void visitFields(Visitor &visit, MaybeConst<coordination::ConfigurationOffer> auto &offer)
{
    visit("generation", offer.generation);
    visit("offset", offer.offset);
    visit("publish_id", offer.publishId);
    visit("operator_name", offer.operatorName);
    visit("document", offer.document);
}

} // namespace sapphirecove::protocol
