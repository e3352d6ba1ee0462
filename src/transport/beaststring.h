#pragma once

#include <boost/beast/core/string.hpp>

#include <string_view>

namespace sapphirecove::transport {

/** Converts a Beast string view to a standard one. */
inline std::string_view toView(boost::beast::string_view text)
{
    return { text.data(), text.size() };
}

/** Converts a standard string view to a Beast one. */
inline boost::beast::string_view toBeast(std::string_view text)
{
    return { text.data(), text.size() };
}

} // namespace sapphirecove::transport
