#include "coordination/audittrail.h"

namespace sapphirecove::coordination {

namespace {

constexpr std::size_t MaxEntries = 2000;

} // namespace

void AuditTrail::add(AuditEntry entry)
{
    m_entries.push_back(std::move(entry));
    if (m_entries.size() > MaxEntries) {
        m_entries.pop_front();
    }
}

const std::deque<AuditEntry> &AuditTrail::entries() const
{
    return m_entries;
}

} // namespace sapphirecove::coordination
