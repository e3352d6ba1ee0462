#include "coordination/entry/decidermessages.h"

#include "coordination/entry/shorthash.h"

namespace sapphirecove::coordination::entry {

std::uint32_t processHash(std::string_view host, std::uint64_t incarnation)
{
    return shortHash(std::string(host) + '#' + std::to_string(incarnation));
}

} // namespace sapphirecove::coordination::entry
