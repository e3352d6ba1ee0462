#pragma once

#include <boost/beast/http/field.hpp>

namespace sapphirecove::transport {

/** Returns whether a field holds for one connection only, or is computed anew for the next one. */
bool isHopByHop(boost::beast::http::field name);

} // namespace sapphirecove::transport
