#pragma once

#include "coordination/entry/peerreport.h"
#include "state/failure.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirecove::protocol {

/** Encodes evidence about parts of prompts for the metadata store, in a binary format with a version. */
std::string encodePartEvidence(std::span<const coordination::entry::PartEvidence> evidence);

/** Decodes what encodePartEvidence() wrote; fails if it is anything else. */
state::Result<std::vector<coordination::entry::PartEvidence>> decodePartEvidence(std::string_view record);

} // namespace sapphirecove::protocol
