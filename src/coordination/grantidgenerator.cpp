#include "coordination/grantidgenerator.h"

#include <xxhash.h>

#include <string>

namespace sapphirecove::coordination {

namespace {

/** Low bits used as a counter; it reaches the hashed bits only after 16 million grants. */
constexpr unsigned CounterBits = 24;

} // namespace

GrantIdGenerator::GrantIdGenerator(const state::GroupId &group,
                                   const state::HostId &host,
                                   state::Incarnation incarnation)
{
    const std::string name = group + ' ' + host;
    m_next = XXH64(name.data(), name.size(), incarnation) >> CounterBits << CounterBits;
}

state::GrantId GrantIdGenerator::next()
{
    return m_next++;
}

} // namespace sapphirecove::coordination
