#include "coordination/grantidgenerator.h"

#include <xxhash.h>

#include <string>

namespace sapphirecove::coordination {

namespace {

/** Bits that count; 16 million grants pass before the count reaches the hashed bits. */
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
