#include "coordination/arbiter.h"

#include "coordination/grouparbiter.h"

namespace sapphirecove::coordination {

state::Result<std::unique_ptr<Arbiter>> Arbiter::create(const state::GroupId &group,
                                                        const ArbiterOptions &options,
                                                        std::unique_ptr<placement::Placement> placement)
{
    if (group.empty() || options.pool.empty() || options.self.empty()) {
        return state::fail("arbiter.create", group, "group, pool or host has no name");
    }
    if (options.gate == nullptr || placement == nullptr) {
        return state::fail("arbiter.create", group, "the tier gate or the placement policy is missing");
    }
    return std::make_unique<GroupArbiter>(group, options, std::move(placement));
}

} // namespace sapphirecove::coordination
