#pragma once

#include "coordination/entry/decidermessages.h"
#include "state/failure.h"
#include "state/time.h"

#include <string>
#include <string_view>
#include <variant>

namespace sapphirecove::protocol {

/** Message between a host and the decider that schedules its requests. */
using DeciderMessage = std::variant<coordination::entry::DecisionRequest,
                                    coordination::entry::DecisionReply,
                                    coordination::entry::AttemptUpdate,
                                    coordination::entry::ReportReply>;

/** Returns whether @p datagram carries a DeciderMessage, as opposed to a PeerReport. */
bool isDeciderMessage(std::string_view datagram);

/**
 * Encodes @p message in a compact binary form. The times of a request are sent as durations relative to @p now, since
 * hosts do not share a clock. @p deployment lets receivers reject messages of other deployments.
 */
std::string encodeDeciderMessage(const DeciderMessage &message, std::uint32_t deployment, state::Time now);

/** Decodes a datagram; fails if it is malformed or of another deployment. */
state::Result<DeciderMessage>
decodeDeciderMessage(std::string_view datagram, std::uint32_t deployment, state::Time now);

} // namespace sapphirecove::protocol
