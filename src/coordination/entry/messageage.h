#pragma once

#include "state/time.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>

namespace sapphirecove::coordination::entry {

/** Returns the time from @p since to @p now in milliseconds as messages hold it: 0 if negative, at most about 49 days.
 */
inline std::uint32_t ageMs(state::Time since, state::Time now)
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - since).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, std::numeric_limits<std::uint32_t>::max()));
}

} // namespace sapphirecove::coordination::entry
