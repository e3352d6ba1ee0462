#pragma once

#include "coordination/entry/peerreport.h"
#include "protocol/binarycodec.h"
#include "state/failure.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirecove::protocol {

/** Writes evidence as a part of a message: first the sets of parts, each once, then the evidence that refers to them.
 */
void writeEvidence(BinaryWriter &writer, std::span<const coordination::entry::PartEvidence> evidence);

/** Reads what writeEvidence() wrote; marks the bytes as malformed if it is anything else. */
void readEvidence(BinaryReader &reader, std::vector<coordination::entry::PartEvidence> &evidence);

/** Encodes evidence about parts of prompts for the metadata store, in a binary format with a version. */
std::string encodePartEvidence(std::span<const coordination::entry::PartEvidence> evidence);

/** Decodes what encodePartEvidence() wrote; fails if it is anything else. */
state::Result<std::vector<coordination::entry::PartEvidence>> decodePartEvidence(std::string_view record);

} // namespace sapphirecove::protocol
