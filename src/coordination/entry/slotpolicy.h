#pragma once

#include "coordination/entry/targetload.h"

#include <cstdint>
#include <span>
#include <vector>

namespace sapphirecove::coordination::entry {

/** What a host knows of the competition for a service's slots when one of its requests looks for one. */
struct SlotView
{
    std::uint32_t ownRunning = 0; /**< requests of this host at all targets of the service */
    std::int64_t free = 0; /**< slots that look free, by the latest reports */
    std::int64_t waitingAbove = 0; /**< requests at live peers that rank above the request */
    std::int64_t waitingBelow = 0; /**< the other waiting requests at live peers */
    double unreported = 0; /**< requests that each target has probably got since the latest reports */
    std::uint32_t drawn = 0; /**< random number of the request, another one with each interval of reports */
};

/** Decides which slots a host may use for a request. An interface, since what serves best depends on how late reports
 * are. */
class SlotPolicy
{
public:
    virtual ~SlotPolicy() = default;

    /** Returns those of @p targets at which the request may start now. */
    virtual std::vector<TargetLoad *> open(std::span<TargetLoad *const> targets, const SlotView &view) const = 0;
};

} // namespace sapphirecove::coordination::entry
