#pragma once

#include <cstdint>

namespace sapphirecove::coordination::entry {

/** What the header of a target's response says about the rate of requests that the target accepts. */
struct RateStatement
{
    enum class Kind : std::uint8_t {
        None, /**< the response states no limit */
        Limit,
        Malformed, /**< the response states a limit that is not a number, so that nothing is known */
    };

    Kind kind = Kind::None;
    double requestsPerSecond = 0; /**< from all hosts together; finite, not negative; only valid for a limit */
};

} // namespace sapphirecove::coordination::entry
