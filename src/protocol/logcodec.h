#pragma once

#include "state/failure.h"
#include "state/logrecord.h"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirecove::protocol {

/** Stored record that is malformed or belongs to another stream. */
struct UnreadableRecord
{
    state::Offset offset = 0;
    std::string detail;
};

/** Response of the log to a read. */
struct LogReadResponse
{
    state::Offset first = 0; /**< oldest retained offset */
    state::Offset next = 0; /**< offset after the last record of the response */
    std::vector<state::StoredRecord> records;
    std::vector<UnreadableRecord> unreadable;
};

/** Response of the log to an append. */
struct LogAppendResponse
{
    state::Offset offset = 0; /**< of the first record */
    std::uint64_t count = 0;
};

/** Returns the path that appends to a stream. */
std::string appendPath(state::Stream stream);

/** Returns the path that reads up to @p limit records from @p from on, waiting up to @p wait for a new record. */
std::string readPath(state::Stream stream, state::Offset from, std::size_t limit, state::Duration wait);

/** Returns the body of an append. */
std::string encodeAppendBody(std::span<const state::LogRecord> records);

/** Decodes the response to an append. */
state::Result<LogAppendResponse> decodeAppendResponse(std::string_view body, std::string_view peer);

/**
 * Decodes the response to a read of @p stream. A record whose value is malformed or belongs to another stream is
 * reported in @c unreadable and does not fail the whole response, since one bad record must not keep a host from
 * reading on.
 */
state::Result<LogReadResponse> decodeReadResponse(state::Stream stream, std::string_view body, std::string_view peer);

} // namespace sapphirecove::protocol
