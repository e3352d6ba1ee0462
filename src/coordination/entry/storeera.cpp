#include "coordination/entry/storeera.h"

namespace sapphirecove::coordination::entry {

StoreEra::Change StoreEra::observe(std::optional<std::uint64_t> stated)
{
    if (!stated || stated == m_current) {
        return Change::None;
    }
    if (m_current && *stated < *m_current) {
        return Change::Outdated;
    }
    const bool isFirst = !m_current;
    m_current = stated;
    return isFirst ? Change::None : Change::Restored;
}

} // namespace sapphirecove::coordination::entry
