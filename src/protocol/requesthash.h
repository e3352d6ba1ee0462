#pragma once

#include "state/failure.h"

#include <cstdint>
#include <string_view>

namespace sapphirecove::protocol {

/**
 * Returns a number that the requests of a customer have in common if method, target with query and body are the same.
 * It is the same on all hosts. It is taken from a SHA-256, so that nobody finds a request with the number of another
 * customer's request. Fails only if OpenSSL does.
 */
state::Result<std::uint64_t>
requestHash(std::string_view method, std::string_view target, std::string_view customer, std::string_view body);

} // namespace sapphirecove::protocol
