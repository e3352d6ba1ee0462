#pragma once

#include "state/time.h"

#include <string>

namespace sapphirecove::transport::entry {

/** Returns @p duration in whole milliseconds, for the log. */
inline std::string milliseconds(state::Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

} // namespace sapphirecove::transport::entry
