#pragma once

#include <boost/beast/core/string.hpp>

#include <string_view>

namespace sapphirecove::transport {

/** Returns @p text as a view of the standard library. */
inline std::string_view toView(boost::beast::string_view text)
{
    return { text.data(), text.size() };
}

/** Returns @p text as a view of Beast. */
inline boost::beast::string_view toBeast(std::string_view text)
{
    return { text.data(), text.size() };
}

} // namespace sapphirecove::transport
