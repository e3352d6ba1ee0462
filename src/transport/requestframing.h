#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

namespace sapphirecove::transport {

/**
 * Returns whether it is clear where the body of a request with @p header ends. Otherwise the next host could take a
 * part of it for another request (RFC 9112, section 6.3): it has a Transfer-Encoding other than chunked alone, or more
 * than one statement of its length.
 */
bool hasClearFraming(const boost::beast::http::request_header<> &header);

} // namespace sapphirecove::transport
