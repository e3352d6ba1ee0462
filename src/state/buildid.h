#pragma once

#include <string_view>

namespace sapphirecove::state {

/**
 * Returns the commit that this program was built from, abbreviated to 12 digits; "-changed" follows if the sources
 * differed from it. "unknown" if they were built without the project's history.
 */
std::string_view buildCommit();

/** Returns the first 12 digits of a SHA-256 over the content of the sources that this program was built from. */
std::string_view buildSources();

} // namespace sapphirecove::state
