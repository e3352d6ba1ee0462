#pragma once

#include "coordination/action.h"
#include "protocol/settings.h"
#include "state/failure.h"

#include <string_view>
#include <vector>

namespace sapphirecove::transport {

/** Sets the level and the destination of the log. Call it once before the threads start. */
state::Result<void> initializeLog(const protocol::LogSettings &settings);

/**
 * Writes the log to standard output from a separate thread. Lines that do not fit into a bounded buffer are dropped
 * and counted, so that a slow reader does not block the logging threads. Call it once before the threads start.
 */
state::Result<void> initializeStandardOutputLog(const std::string &level);

/** Writes one line of key=value pairs; callable from any thread. Values with special characters are quoted. */
void logEvent(std::string_view event, const std::vector<coordination::LogField> &fields);

/** Writes one warning with the step, peer and detail of @p failure. */
void logFailure(std::string_view event, const state::Failure &failure);

/** Returns the line that logEvent() writes, without time and level. */
std::string formatEvent(std::string_view event, const std::vector<coordination::LogField> &fields);

} // namespace sapphirecove::transport
