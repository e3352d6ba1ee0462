#pragma once

#include "coordination/entry/decidermessages.h"
#include "state/failure.h"
#include "state/time.h"

#include <string>
#include <string_view>
#include <variant>

namespace sapphirecove::protocol {

/** Message between a host and a host that decides for it. */
using DeciderMessage = std::variant<coordination::entry::DecisionRequest,
                                    coordination::entry::DecisionReply,
                                    coordination::entry::AttemptUpdate,
                                    coordination::entry::ReportReply>;

/** Returns whether @p datagram carries a DeciderMessage, and not a report. */
bool isDeciderMessage(std::string_view datagram);

/**
 * Encodes @p message in a compact binary form. Times of a request travel as spans from @p now, since the clocks of two
 * hosts have nothing in common. @p deployment keeps messages of other deployments out.
 */
std::string encodeDeciderMessage(const DeciderMessage &message, std::uint32_t deployment, state::Time now);

/** Decodes a datagram; fails if it is malformed or of another deployment. */
state::Result<DeciderMessage>
decodeDeciderMessage(std::string_view datagram, std::uint32_t deployment, state::Time now);

} // namespace sapphirecove::protocol
