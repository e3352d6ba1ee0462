#include "protocol/decidercodec.h"

#include "coordination/entry/messageage.h"
#include "protocol/binarycodec.h"
#include "protocol/partevidencecodec.h"

#include <algorithm>
#include <span>

namespace sapphirecove::protocol {

namespace {

using coordination::entry::AttemptOutcome;
using coordination::entry::AttemptUpdate;
using coordination::entry::Decision;
using coordination::entry::DecisionReply;
using coordination::entry::DecisionRequest;
using coordination::entry::RefusalReason;
using coordination::entry::ReportReply;
using coordination::entry::ScheduledRequest;

/** First four bytes of each message; the last of them is the version of the format. */
constexpr std::uint32_t Magic = 0x53434408;

/** Encodes an absent number; a number that is present is never negative. */
constexpr double NoNumber = -1;

/** Most parts of a prompt in a message, so that a datagram has room for it; see ScheduledRequest::MaxParts. */
constexpr std::size_t MaxParts = ScheduledRequest::MaxParts;

/** Most back-offs of targets in a message; a request meets few of them, as its host reports them as well. */
constexpr std::size_t MaxBackOffs = 32;

/** Most regions that a message names, more than a fleet has. */
constexpr std::size_t MaxRegions = 64;

/** Visits a number that is not negative or absent. All visit functions serve BinaryWriter and BinaryReader. */
template <typename Codec, typename Number>
void visitOptional(Codec &codec, Number &number)
{
    double value = number.value_or(NoNumber);
    codec.real(value);
    if constexpr (!std::is_const_v<Number>) {
        number = value >= 0 ? std::optional(value) : std::nullopt;
    }
}

/** Visits a duration, in microseconds. */
template <typename Codec, typename Duration>
void visitDuration(Codec &codec, Duration &duration)
{
    if constexpr (std::is_const_v<Duration>) {
        codec.signedNumber(duration.count());
    } else {
        std::int64_t count = 0;
        codec.signedNumber(count);
        duration = state::Duration(count);
    }
}

/** Visits a list: its length, then each element with @p visitElement. */
template <typename Codec, typename List, typename VisitElement>
void visitList(Codec &codec, List &list, VisitElement visitElement)
{
    auto count = static_cast<std::uint16_t>(list.size());
    codec.number(count);
    if constexpr (!std::is_const_v<List>) {
        for (std::uint16_t i = 0; i < count && !codec.failed(); ++i) {
            visitElement(list.emplace_back());
        }
    } else {
        for (const auto &element : list) {
            visitElement(element);
        }
    }
}

template <typename Codec, typename Value>
void visitEnum(Codec &codec, Value &value, Value last)
{
    if constexpr (std::is_same_v<Codec, BinaryWriter>) {
        codec.number(static_cast<std::uint8_t>(value));
    } else {
        std::uint8_t number = 0;
        codec.number(number);
        if (number > static_cast<std::uint8_t>(last)) {
            codec.fail();
            return;
        }
        value = static_cast<Value>(number);
    }
}

void write(BinaryWriter &writer, const ScheduledRequest &request, state::Time now)
{
    writer.number(request.id);
    writer.text(request.service);
    writer.text(request.route);
    writer.text(request.failureDomain);
    writer.text(request.customer);
    writer.real(request.cost);
    writer.number(static_cast<std::uint8_t>(request.priority));
    visitDuration(writer, request.latencyTarget);
    visitDuration(writer, request.pauseTarget);
    const state::Duration age = now - request.arrived;
    const state::Duration remaining = request.deadline - now;
    visitDuration(writer, age);
    visitDuration(writer, remaining);
    writer.flag(request.model);
    writer.real(request.promptTokens);
    visitOptional(writer, request.expectedOutputTokens);
    writer.number(static_cast<std::uint8_t>(request.excludedTargets.size()));
    for (const auto &target : request.excludedTargets) {
        writer.text(target);
    }
    const std::size_t parts = std::min(request.parts.size(), MaxParts);
    writer.number(static_cast<std::uint16_t>(parts));
    for (const std::uint64_t part : std::span(request.parts).first(parts)) {
        writer.number(part);
    }
    const std::size_t backOffs = std::min(request.backOffs.size(), MaxBackOffs);
    writer.number(static_cast<std::uint8_t>(backOffs));
    for (const auto &backOff : std::span(request.backOffs).first(backOffs)) {
        writer.number(backOff.target);
        writer.number(coordination::entry::ageMs(now, backOff.until));
    }
    writer.flag(request.permittedRegions.has_value());
    if (request.permittedRegions) {
        const std::size_t regions = std::min(request.permittedRegions->size(), MaxRegions);
        writer.number(static_cast<std::uint8_t>(regions));
        for (const auto &region : std::span(*request.permittedRegions).first(regions)) {
            writer.text(region);
        }
    }
}

void read(BinaryReader &reader, ScheduledRequest &request, state::Time now)
{
    reader.number(request.id);
    reader.text(request.service);
    reader.text(request.route);
    reader.text(request.failureDomain);
    reader.text(request.customer);
    reader.real(request.cost);
    std::uint8_t priority = 0;
    reader.number(priority);
    request.priority = priority;
    visitDuration(reader, request.latencyTarget);
    visitDuration(reader, request.pauseTarget);
    state::Duration age{};
    state::Duration remaining{};
    visitDuration(reader, age);
    visitDuration(reader, remaining);
    request.arrived = now - age;
    request.deadline = now + remaining;
    reader.flag(request.model);
    reader.real(request.promptTokens);
    visitOptional(reader, request.expectedOutputTokens);
    std::uint8_t excluded = 0;
    reader.number(excluded);
    for (std::uint8_t i = 0; i < excluded && !reader.failed(); ++i) {
        reader.text(request.excludedTargets.emplace_back());
    }
    std::uint16_t parts = 0;
    reader.number(parts);
    for (std::uint16_t i = 0; i < parts && !reader.failed(); ++i) {
        reader.number(request.parts.emplace_back());
    }
    std::uint8_t backOffs = 0;
    reader.number(backOffs);
    for (std::uint8_t i = 0; i < backOffs && !reader.failed(); ++i) {
        auto &backOff = request.backOffs.emplace_back();
        std::uint32_t remainingMs = 0;
        reader.number(backOff.target);
        reader.number(remainingMs);
        backOff.until = now + std::chrono::milliseconds(remainingMs);
    }
    bool bound = false;
    reader.flag(bound);
    if (bound) {
        std::uint8_t regions = 0;
        reader.number(regions);
        auto &allowed = request.permittedRegions.emplace();
        for (std::uint8_t i = 0; i < regions && !reader.failed(); ++i) {
            reader.text(allowed.emplace_back());
        }
    }
}

template <typename Codec, typename Value>
requires std::same_as<std::remove_const_t<Value>, Decision>
void visit(Codec &codec, Value &decision)
{
    codec.number(decision.request);
    bool refused = decision.refusal.has_value();
    codec.flag(refused);
    if (refused) {
        RefusalReason reason = decision.refusal.value_or(RefusalReason::Overloaded);
        visitEnum(codec, reason, RefusalReason::CrashesTargets);
        visitDuration(codec, decision.retryAfter);
        if constexpr (!std::is_const_v<Value>) {
            decision.refusal = reason;
        }
        return;
    }
    auto &target = decision.target;
    codec.text(target.id);
    codec.text(target.service);
    codec.text(target.address);
    codec.number(target.port);
    codec.text(target.failureDomain);
    codec.text(target.softwareVersion);
    codec.number(target.slots);
    codec.number(decision.targetHash);
    codec.number(decision.targetRunning);
    visitOptional(codec, decision.targetLimit);
    codec.real(decision.expectedFirstMs);
    codec.flag(decision.isTrial);
}

template <typename Codec, typename Value>
requires std::same_as<std::remove_const_t<Value>, DecisionReply>
void visit(Codec &codec, Value &reply)
{
    codec.text(reply.decider);
    codec.number(reply.deciderIncarnation);
    codec.number(reply.requesterIncarnation);
    codec.signedNumber(reply.requestSent);
    visitDuration(codec, reply.held);
    visitDuration(codec, reply.targetsAge);
    auto state = reply.state;
    visitEnum(codec, state, DecisionReply::State::Declined);
    if constexpr (!std::is_const_v<Value>) {
        reply.state = state;
    }
    visit(codec, reply.decision);
}

template <typename Codec, typename Value>
requires std::same_as<std::remove_const_t<Value>, AttemptUpdate>
void visit(Codec &codec, Value &update)
{
    codec.text(update.host);
    codec.number(update.incarnation);
    codec.number(update.decider);
    codec.number(update.request);
    auto kind = update.kind;
    auto outcome = update.outcome;
    visitEnum(codec, kind, AttemptUpdate::Kind::Withdrawn);
    visitEnum(codec, outcome, AttemptOutcome::Crashed);
    if constexpr (!std::is_const_v<Value>) {
        update.kind = kind;
        update.outcome = outcome;
    }
    codec.number(update.events);
}

template <typename Codec, typename Value>
requires std::same_as<std::remove_const_t<Value>, ReportReply>
void visit(Codec &codec, Value &reportReply)
{
    codec.text(reportReply.host);
    codec.number(reportReply.incarnation);
    codec.number(reportReply.reporterIncarnation);
    codec.signedNumber(reportReply.reportSentAt);
    codec.flag(reportReply.canDecide);
    codec.flag(reportReply.qualified);
    visitDuration(codec, reportReply.targetsAge);
    codec.number(reportReply.configuration);
    codec.number(reportReply.storeEra);
    visitDuration(codec, reportReply.confirmedAge);
    codec.number(reportReply.liveHosts);
    visitList(codec, reportReply.quotas, [&codec](auto &quota) {
        visitQuota(codec, quota);
    });
    codec.number(reportReply.statementsDigest);
    visitList(codec, reportReply.statements, [&codec](auto &statement) {
        visitStatement(codec, statement);
    });
    codec.number(reportReply.suspectsDigest);
    if constexpr (std::is_const_v<Value>) {
        writeEvidence(codec, reportReply.suspects);
    } else {
        readEvidence(codec, reportReply.suspects);
    }
    codec.number(reportReply.evacuationsDigest);
    visitList(codec, reportReply.evacuations, [&codec](auto &evacuation) {
        visitEvacuation(codec, evacuation);
    });
}

void write(BinaryWriter &writer, const DecisionRequest &decisionRequest, state::Time now)
{
    writer.text(decisionRequest.requester.host);
    writer.number(decisionRequest.requester.incarnation);
    writer.text(decisionRequest.requester.address);
    writer.number(decisionRequest.requester.port);
    writer.signedNumber(decisionRequest.sent);
    write(writer, decisionRequest.request, now);
}

void read(BinaryReader &reader, DecisionRequest &decisionRequest, state::Time now)
{
    reader.text(decisionRequest.requester.host);
    reader.number(decisionRequest.requester.incarnation);
    reader.text(decisionRequest.requester.address);
    reader.number(decisionRequest.requester.port);
    reader.signedNumber(decisionRequest.sent);
    read(reader, decisionRequest.request, now);
}

template <typename Message>
DeciderMessage readMessage(BinaryReader &reader, state::Time now)
{
    Message message;
    if constexpr (std::is_same_v<Message, DecisionRequest>) {
        read(reader, message, now);
    } else {
        visit(reader, message);
    }
    return message;
}

} // namespace

bool isDeciderMessage(std::string_view datagram)
{
    BinaryReader reader(datagram);
    std::uint32_t magic = 0;
    reader.number(magic);
    return !reader.failed() && magic == Magic;
}

std::string encodeDeciderMessage(const DeciderMessage &message, std::uint32_t deployment, state::Time now)
{
    BinaryWriter writer;
    writer.number(Magic);
    writer.number(deployment);
    writer.number(static_cast<std::uint8_t>(message.index()));
    std::visit(
        [&](const auto &content) {
            if constexpr (std::is_same_v<std::decay_t<decltype(content)>, DecisionRequest>) {
                write(writer, content, now);
            } else {
                visit(writer, content);
            }
        },
        message);
    return writer.take();
}

state::Result<DeciderMessage> decodeDeciderMessage(std::string_view datagram, std::uint32_t deployment, state::Time now)
{
    constexpr std::string_view step = "decidermessage.decode";
    BinaryReader reader(datagram);
    std::uint32_t magic = 0;
    std::uint32_t senderDeployment = 0;
    std::uint8_t kind = 0;
    reader.number(magic);
    reader.number(senderDeployment);
    reader.number(kind);
    if (reader.failed() || magic != Magic || senderDeployment != deployment
        || kind >= std::variant_size_v<DeciderMessage>) {
        return state::fail(step, "", "not a message of this deployment");
    }
    using ReadFunction = DeciderMessage (*)(BinaryReader &, state::Time);
    constexpr std::array<ReadFunction, std::variant_size_v<DeciderMessage>> readers{
        readMessage<DecisionRequest>, readMessage<DecisionReply>, readMessage<AttemptUpdate>, readMessage<ReportReply>
    };
    DeciderMessage message = readers.at(kind)(reader, now);
    if (reader.failed() || !reader.atEnd()) {
        return state::fail(step, "", "malformed, truncated or followed by extra bytes");
    }
    return message;
}

} // namespace sapphirecove::protocol
