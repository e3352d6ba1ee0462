#pragma once

#include "protocol/json.h"
#include "state/failure.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace sapphirecove::protocol {

/** Token counts of one response, as reported by the engine. */
struct Usage
{
    std::uint32_t promptTokens = 0;
    std::uint32_t completionTokens = 0;
    std::uint32_t cachedTokens = 0; /**< prompt tokens taken from the prefix cache; 0 if not reported */
};

/** Returns the usage in a complete response or a chunk of a stream; absent if it is missing, null or malformed. */
std::optional<Usage> usageOf(const json::value &document);

/** Reads the usage of a complete JSON response; fails if @p body is malformed or has no valid usage. */
state::Result<Usage> readResponseUsage(std::string_view body, std::string_view peer);

} // namespace sapphirecove::protocol
