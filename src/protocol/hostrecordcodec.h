#pragma once

#include "coordination/entry/deciderdirectory.h"
#include "state/failure.h"

#include <string>
#include <string_view>

namespace sapphirecove::protocol {

/** Encodes the record that a host publishes about itself in the metadata store; the host's name is the key. */
std::string encodeHostRecord(const coordination::entry::KnownHost &host);

/** Decodes the record of the host @p name; fails if a field is missing, of another type or out of range. */
state::Result<coordination::entry::KnownHost> decodeHostRecord(std::string_view name, std::string_view document);

} // namespace sapphirecove::protocol
