#pragma once

#include "coordination/refusal.h"

#include <cstdint>
#include <optional>
#include <string>

namespace sapphirecove::protocol {

/** Media type of problem documents (RFC 9457). */
constexpr std::string_view ProblemMediaType = "application/problem+json";

/** Returns the body of the response to a refused request. */
std::string encodeProblem(const coordination::Refusal &refusal);

/** Returns the value of Retry-After: whole seconds, rounded up, at least 1; absent if a retry makes no sense. */
std::optional<std::int64_t> retryAfterSeconds(const coordination::Refusal &refusal);

} // namespace sapphirecove::protocol
