#pragma once

#include "protocol/json.h"
#include "state/failure.h"
#include "state/logrecord.h"

#include <optional>
#include <string>
#include <string_view>

namespace sapphirecove::protocol {

/** Returns the stream's name in the log's paths: "config", "claims", "leases" or "versions". */
std::string_view streamName(state::Stream stream);

/** Returns the stream called @p name, if there is one. */
std::optional<state::Stream> streamFromName(std::string_view name);

/** Returns the stream that keeps records of this type. */
state::Stream streamOf(const state::LogRecord &record);

/** Returns a record as the log's "value". */
json::object recordToJson(const state::LogRecord &record);

/** Reads a record from the log's "value". */
state::Result<state::LogRecord> recordFromJson(const json::value &value, std::string_view peer);

/** Returns a record as JSON text. */
std::string encodeRecord(const state::LogRecord &record);

/** Reads a record from JSON text; @p peer is named in the Failure. */
state::Result<state::LogRecord> decodeRecord(std::string_view text, std::string_view peer);

} // namespace sapphirecove::protocol
