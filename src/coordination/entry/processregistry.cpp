#include "coordination/entry/processregistry.h"

#include <algorithm>

namespace sapphirecove::coordination::entry {

ProcessRegistry::Sender ProcessRegistry::heard(std::string_view host, std::uint64_t incarnation, state::Time now)
{
    auto found = m_items.find(host);
    if (found == m_items.end()) {
        m_items.emplace(std::string(host), Item{ incarnation, now, {} });
        return Sender::Successor;
    }
    Item &item = found->second;
    if (item.incarnation == incarnation) {
        item.heardAt = now;
        return Sender::Current;
    }
    const auto ended = std::find(item.ended.begin(), item.ended.end(), incarnation);
    if (ended != item.ended.end()) {
        if (now - item.heardAt <= SilentFor) {
            return Sender::Ended;
        }
        item.ended.erase(ended);
    }
    item.ended.push_back(item.incarnation);
    if (item.ended.size() > MaxEnded) {
        item.ended.pop_front();
    }
    item.incarnation = incarnation;
    item.heardAt = now;
    return Sender::Successor;
}

void ProcessRegistry::expire(state::Time now)
{
    std::erase_if(m_items, [now](const auto &entry) {
        return now - entry.second.heardAt > ForgetAfter;
    });
}

} // namespace sapphirecove::coordination::entry
