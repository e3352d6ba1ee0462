#pragma once

#include "state/identifiers.h"

namespace sapphirecove::coordination {

/**
 * Generates the grant ids of one arbiter.
 * The high bits are a hash of group, host and incarnation, which makes it very unlikely that two arbiters of a group
 * generate the same id.
 */
class GrantIdGenerator
{
public:
    GrantIdGenerator(const state::GroupId &group, const state::HostId &host, state::Incarnation incarnation);

    /** Returns an id that this object has not returned before. */
    state::GrantId next();

private:
    state::GrantId m_next;
};

} // namespace sapphirecove::coordination
