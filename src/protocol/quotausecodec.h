#pragma once

#include "coordination/entry/quotatable.h"
#include "state/failure.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirecove::protocol {

/** Encodes quota usage as a JSON object that maps each customer to the costs in each slice of the window. */
std::string encodeQuotaUse(std::span<const coordination::entry::QuotaUse> use);

/** Decodes what encodeQuotaUse() wrote; fails if it is anything else. */
state::Result<std::vector<coordination::entry::QuotaUse>> decodeQuotaUse(std::string_view document);

} // namespace sapphirecove::protocol
