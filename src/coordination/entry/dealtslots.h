#pragma once

#include "coordination/entry/slotpolicy.h"

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

namespace sapphirecove::coordination::entry {

/** Host that takes part in the dealing of slots. */
struct DealtHost
{
    std::string_view name;
    std::string_view region;
};

/**
 * The slots of a region's targets are dealt out in turn to the region's live hosts. Each host uses its own slots
 * without regard to peers, while their targets are not full, and borrows others that the reports show as free. As many
 * requests borrow, over all hosts, as slots look free: the highest ranks first, drawn by lot among the others, each
 * between two targets only (M. Mitzenmacher, "How useful is old information?", 2000). All hosts that know the same
 * targets and hosts deal alike.
 *
 * Load pattern: many hosts and nearly full targets, where more requests begin between two reports than slots are free.
 * Hosts that trust such reports all send to the same slot, or leave it to each other.
 */
class DealtSlots final : public SlotPolicy
{
public:
    /** Deals the slots of @p targets to @p hosts, of which @p self is this one. */
    void deal(std::span<TargetLoad *const> targets,
              std::span<const DealtHost> hosts,
              std::string_view self,
              const std::map<std::string, std::string> &regionOfDomain);

    /** Returns this host's own slots at @p target. */
    std::uint32_t ownAt(const TargetLoad &target) const;

    std::vector<TargetLoad *> open(std::span<TargetLoad *const> targets, const SlotView &view) const override;

private:
    bool mayUseOwn(const TargetLoad &target, const SlotView &view) const;
    static bool mayBorrow(const SlotView &view);

    std::unordered_map<std::uint32_t, std::uint32_t> m_own; /**< slots by hash of the target */
    std::map<std::string, std::uint32_t, std::less<>> m_ownOfService; /**< slots at all targets of a service */
};

} // namespace sapphirecove::coordination::entry
