#pragma once

#include <boost/beast/http/field.hpp>

namespace sapphirecove::transport {

/** Returns whether a header field applies to a single connection (hop-by-hop) or is recomputed for the next one. */
bool isHopByHop(boost::beast::http::field name);

} // namespace sapphirecove::transport
