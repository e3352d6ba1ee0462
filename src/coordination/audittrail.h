#pragma once

#include "coordination/statusreport.h"

#include <deque>
#include <string>

namespace sapphirecove::coordination {

/**
 * Changes of configuration, versions and leases that this host knows of, newest last.
 *
 * Every host derives the same entries from the log; after a restart the trail starts with the oldest kept record.
 */
class AuditTrail
{
public:
    /** Adds an entry and drops the oldest one above the limit. */
    void add(AuditEntry entry);

    const std::deque<AuditEntry> &entries() const;

private:
    std::deque<AuditEntry> m_entries;
};

} // namespace sapphirecove::coordination
