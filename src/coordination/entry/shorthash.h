#pragma once

#include <cstdint>
#include <string_view>

namespace sapphirecove::coordination::entry {

/** Returns a hash that identifies @p text in messages between hosts; it is the same on all hosts. */
std::uint32_t shortHash(std::string_view text);

/** Like shortHash(), for texts of which there may be millions. */
std::uint64_t longHash(std::string_view text);

} // namespace sapphirecove::coordination::entry
