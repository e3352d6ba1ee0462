#include "coordination/entry/reportedslots.h"

#include <algorithm>
#include <iterator>

namespace sapphirecove::coordination::entry {

std::vector<TargetLoad *> ReportedSlots::open(std::span<TargetLoad *const> targets, const SlotView &view) const
{
    std::vector<TargetLoad *> result;
    if (view.free <= view.waitingAbove) {
        return result;
    }
    std::copy_if(targets.begin(), targets.end(), std::back_inserter(result), [](const TargetLoad *target) {
        return target->hasRoom();
    });
    return result;
}

} // namespace sapphirecove::coordination::entry
