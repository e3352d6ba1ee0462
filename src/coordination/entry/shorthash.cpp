#include "coordination/entry/shorthash.h"

#include <xxhash.h>

namespace sapphirecove::coordination::entry {

std::uint32_t shortHash(std::string_view text)
{
    return static_cast<std::uint32_t>(XXH3_64bits(text.data(), text.size()));
}

std::uint64_t longHash(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

} // namespace sapphirecove::coordination::entry
