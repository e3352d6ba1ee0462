#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

namespace sapphirecove::transport {

/**
 * Returns whether it is clear where the body of the message with @p header ends. Otherwise the sender, this host and
 * the receiver could take different bytes for the next message (RFC 9112, section 6.3): it has a Transfer-Encoding
 * other than chunked alone, or more than one statement of its length.
 */
template <bool IsRequest>
bool hasClearFraming(const boost::beast::http::header<IsRequest> &header);

extern template bool hasClearFraming(const boost::beast::http::header<true> &header);
extern template bool hasClearFraming(const boost::beast::http::header<false> &header);

} // namespace sapphirecove::transport
