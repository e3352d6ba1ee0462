#pragma once

#include "state/failure.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace sapphirecove::protocol {

/** Newest records of the operator's topic, as one host sends them to another. */
struct OperatorState
{
    std::uint64_t next = 0; /**< offset after the last record of the topic */
    std::optional<std::uint64_t> era; /**< of the store to which the offset belongs; none if it states none */
    std::map<std::string, std::string> records; /**< documents by key */
};

/** Encodes @p state as JSON. */
std::string encodeOperatorState(const OperatorState &state);

/** Decodes what encodeOperatorState() wrote; fails if it is malformed. */
state::Result<OperatorState> decodeOperatorState(std::string_view document, std::string_view peer);

} // namespace sapphirecove::protocol
