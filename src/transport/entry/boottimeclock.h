#pragma once

#include "transport/systemclock.h"

namespace sapphirecove::transport::entry {

/**
 * Time since the machine was booted. It never jumps and includes the time for which the machine was suspended, so that
 * state from before a suspension counts as old after it.
 */
class BootTimeClock final : public TimeSource
{
public:
    state::Time now() const override;
};

} // namespace sapphirecove::transport::entry
