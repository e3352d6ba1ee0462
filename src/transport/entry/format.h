#pragma once

#include "coordination/entry/targetstatements.h"
#include "state/time.h"

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <optional>
#include <span>
#include <string>

namespace sapphirecove::transport::entry {

/** Returns @p duration in whole milliseconds, for the log. */
inline std::string milliseconds(state::Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

/** Returns the first of @p parts in hexadecimal, separated by commas, or "none", for the log. */
inline std::string describeParts(std::span<const std::uint64_t> parts)
{
    constexpr std::size_t maxLogged = 8;
    std::string text;
    for (const std::uint64_t part : parts.first(std::min(parts.size(), maxLogged))) {
        char digits[24];
        std::snprintf(digits, sizeof digits, "%s%llx", text.empty() ? "" : ",", static_cast<unsigned long long>(part));
        text += digits;
    }
    return text.empty() ? "none" : text;
}

/** Returns @p requestsPerSecond with its unit, or "none", for the log. */
inline std::string describeRate(std::optional<double> requestsPerSecond)
{
    if (!requestsPerSecond) {
        return "none";
    }
    char text[32];
    std::snprintf(text, sizeof text, "%.3g/s", *requestsPerSecond);
    return text;
}

/** Returns @p limit with its unit and the age of the statement, or "none", for the log. */
inline std::string describeLimit(const coordination::entry::TargetLimit *limit, state::Time now)
{
    if (limit == nullptr || limit->ended) {
        return "none";
    }
    return describeRate(limit->requestsPerSecond) + ",age_ms:" + milliseconds(now - limit->statedAt)
        + ",revision:" + std::to_string(limit->revision);
}

} // namespace sapphirecove::transport::entry
