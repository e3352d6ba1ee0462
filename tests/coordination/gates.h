#pragma once

#include "coordination/tiergate.h"

#include <memory>

namespace sapphirecove::coordination::testing {

/** Returns the tier gate of a host, or a null pointer if it cannot be created. */
inline std::unique_ptr<TierGate> makeGate(const state::HostId &self)
{
    return state::handleFailure(
        [&] {
            return TierGate::create(self);
        },
        [](const state::Failure &) {
            return std::unique_ptr<TierGate>();
        });
}

} // namespace sapphirecove::coordination::testing
