#pragma once

#include "coordination/entry/slotpolicy.h"

namespace sapphirecove::coordination::entry {

/**
 * Any slot that the reports show as free may be used, unless peers hold as many requests of a higher rank.
 *
 * Load pattern: few hosts, whose reports arrive within a small part of the time that a request holds a slot.
 */
class ReportedSlots final : public SlotPolicy
{
public:
    std::vector<TargetLoad *> open(std::span<TargetLoad *const> targets, const SlotView &view) const override;
};

} // namespace sapphirecove::coordination::entry
