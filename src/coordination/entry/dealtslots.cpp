#include "coordination/entry/dealtslots.h"

#include "coordination/entry/shorthash.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace sapphirecove::coordination::entry {

namespace {

/** Service and region; the slots of each such group are dealt in turn. A region without hosts is named "". */
using Group = std::pair<std::string_view, std::string_view>;

} // namespace

void DealtSlots::deal(std::span<TargetLoad *const> targets,
                      std::span<const DealtHost> hosts,
                      std::string_view self,
                      const std::map<std::string, std::string> &regionOfDomain)
{
    std::map<std::string_view, std::vector<std::string_view>> hostsOfRegion;
    std::vector<std::string_view> allHosts;
    for (const auto &host : hosts) {
        hostsOfRegion[host.region].push_back(host.name);
        allHosts.push_back(host.name);
    }
    std::map<Group, std::vector<const TargetLoad *>> groups;
    for (const TargetLoad *target : targets) {
        if (target->entry().draining) {
            continue;
        }
        const auto region = regionOfDomain.find(target->entry().failureDomain);
        const bool staffed = region != regionOfDomain.end() && hostsOfRegion.contains(region->second);
        const std::string_view name = staffed ? std::string_view(region->second) : std::string_view();
        groups[{ target->entry().service, name }].push_back(target);
    }
    m_own.clear();
    m_ownOfService.clear();
    for (auto &[group, members] : groups) {
        auto takers = group.second.empty() ? allHosts : hostsOfRegion.at(group.second);
        std::sort(takers.begin(), takers.end());
        std::sort(members.begin(), members.end(), [](const TargetLoad *a, const TargetLoad *b) {
            return a->entry().id < b->entry().id;
        });
        // Services begin with different hosts, so that the remainder does not always go to the same ones.
        std::size_t next = shortHash(group.first) % takers.size();
        for (const TargetLoad *target : members) {
            for (std::uint32_t slot = 0; slot < target->entry().slots; ++slot) {
                const std::uint32_t mine = takers[next] == self ? 1 : 0;
                m_own[target->hash()] += mine;
                m_ownOfService[target->entry().service] += mine;
                next = (next + 1) % takers.size();
            }
        }
    }
}

std::uint32_t DealtSlots::ownAt(const TargetLoad &target) const
{
    const auto found = m_own.find(target.hash());
    return found == m_own.end() ? 0 : found->second;
}

std::vector<TargetLoad *> DealtSlots::open(std::span<TargetLoad *const> targets, const SlotView &view) const
{
    std::vector<TargetLoad *> result;
    std::vector<TargetLoad *> borrowable;
    for (TargetLoad *target : targets) {
        if (mayUseOwn(*target, view)) {
            result.push_back(target);
        } else if (target->running() + view.unreported < target->entry().slots) {
            borrowable.push_back(target);
        }
    }
    if (result.empty() && !borrowable.empty() && mayBorrow(view)) {
        // The best of all would be the best for all hosts until the next reports.
        const std::size_t count = borrowable.size();
        result.push_back(borrowable[view.drawn % count]);
        result.push_back(borrowable[view.drawn / count % count]);
    }
    return result;
}

bool DealtSlots::mayUseOwn(const TargetLoad &target, const SlotView &view) const
{
    // Each change of the targets deals anew: what a host runs at its former slots counts against its new ones.
    const auto all = m_ownOfService.find(target.entry().service);
    const bool hasOwnLeft = all != m_ownOfService.end() && view.ownRunning < all->second;
    return hasOwnLeft && target.ownRunning() < ownAt(target) && target.running() < target.entry().slots;
}

bool DealtSlots::mayBorrow(const SlotView &view)
{
    const std::int64_t left = view.free - view.waitingAbove;
    if (left <= 0 || left > view.waitingBelow) {
        return left > 0;
    }
    const double chance = static_cast<double>(left) / static_cast<double>(view.waitingBelow + 1);
    return view.drawn < chance * std::numeric_limits<std::uint32_t>::max();
}

} // namespace sapphirecove::coordination::entry
