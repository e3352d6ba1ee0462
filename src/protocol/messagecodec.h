#pragma once

#include "coordination/message.h"
#include "state/failure.h"

#include <string>
#include <string_view>

namespace sapphirecove::protocol {

/** Returns the body of POST /peers/v1/messages. */
std::string encodeEnvelope(const coordination::Envelope &envelope);

/**
 * Reads the body of POST /peers/v1/messages; @p peer is named in the Failure.
 * Fails as a whole if any message is malformed or of an unknown type.
 */
state::Result<coordination::Envelope> decodeEnvelope(std::string_view body, std::string_view peer);

} // namespace sapphirecove::protocol
