#pragma once

#include "coordination/entry/ratestatement.h"
#include "state/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace sapphirecove::coordination::entry {

/** Limit on the rate of requests that a target accepts from all hosts together. */
struct TargetLimit
{
    double requestsPerSecond = 0; /**< as the target stated it last */
    bool ended = false; /**< the target no longer states it */
    state::Time statedAt{}; /**< last response that stated it, or the first one that did not after its end */
};

/** Limits that targets state in their responses. Targets are identified by TargetLoad::hash(). */
class TargetLimits
{
public:
    /**
     * Processes the statement of a response of @p target. A malformed one changes nothing. Returns whether the known
     * limit has changed.
     */
    bool responded(std::uint32_t target, const RateStatement &statement, state::Time now);

    /** Returns the limit of @p target; nullptr if it has never stated one. */
    const TargetLimit *find(std::uint32_t target) const;

    /** Returns the number of targets that state a limit at present. */
    std::size_t inForce() const;

private:
    std::unordered_map<std::uint32_t, TargetLimit> m_limits;
};

} // namespace sapphirecove::coordination::entry
