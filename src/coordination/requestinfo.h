#pragma once

#include "state/identifiers.h"
#include "state/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sapphirecove::coordination {

/** Properties of an accepted request that scheduling needs; its body stays in the transport layer. */
struct RequestInfo
{
    state::RequestId id;
    state::CustomerId customer;
    state::PoolId pool;
    state::Tier tier = 0;
    std::uint32_t promptTokens = 0; /**< estimate; 0 for plain services */
    std::uint32_t maxOutputTokens = 0; /**< 0 for plain services */
    std::uint32_t bodyBytes = 0;
    std::vector<std::uint64_t> prefixHashes; /**< hashes of the prompt's prefixes at block boundaries, shortest first */
    state::Time deadline{};
    std::optional<std::string> idempotencyKey;
};

} // namespace sapphirecove::coordination
