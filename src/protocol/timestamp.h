#pragma once

#include "state/time.h"

#include <optional>
#include <string>
#include <string_view>

namespace sapphirecove::protocol {

/** Reads a time of the form "2026-12-05T06:00:00Z" (RFC 3339, UTC, whole seconds). */
std::optional<state::Time> parseTimestamp(std::string_view text);

/** Returns @p time in the same form, truncated to whole seconds. */
std::string formatTimestamp(state::Time time);

} // namespace sapphirecove::protocol
