#pragma once

#include "coordination/entry/targetlimits.h"
#include "state/time.h"

#include <cstdio>
#include <string>

namespace sapphirecove::transport::entry {

/** Returns @p duration in whole milliseconds, for the log. */
inline std::string milliseconds(state::Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

/** Returns @p limit with its unit and the age of the statement, or "none", for the log. */
inline std::string describeLimit(const coordination::entry::TargetLimit *limit, state::Time now)
{
    if (limit == nullptr || limit->ended) {
        return "none";
    }
    char text[64];
    std::snprintf(
        text,
        sizeof text,
        "%.3g/s,age_ms:%lld",
        limit->requestsPerSecond,
        static_cast<long long>(std::chrono::duration_cast<std::chrono::milliseconds>(now - limit->statedAt).count()));
    return text;
}

} // namespace sapphirecove::transport::entry
