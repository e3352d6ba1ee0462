#pragma once

#include "coordination/statusreport.h"

#include <deque>
#include <string>

namespace sapphirecove::coordination {

/**
 * Changes of configuration, versions and leases known to this host, oldest first.
 *
 * Every host derives the same entries from the log. After a restart the trail starts with the oldest record that the
 * log keeps.
 */
class AuditTrail
{
public:
    /** Adds an entry; above the limit, the oldest entry is dropped. */
    void add(AuditEntry entry);

    const std::deque<AuditEntry> &entries() const;

private:
    std::deque<AuditEntry> m_entries;
};

} // namespace sapphirecove::coordination
