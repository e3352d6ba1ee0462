#pragma once

#include "state/time.h"

#include "transport/entry/wirecodec.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>
#include <string_view>

namespace sapphirecove::transport::entry {

using Request = boost::beast::http::request<boost::beast::http::string_body>;
using Response = boost::beast::http::response<boost::beast::http::string_body>;

/** Returns an error response of the host itself, with @p reason in its body and Retry-After if @p retryAfter is set. */
Response makeErrorResponse(boost::beast::http::status status,
                           std::string_view reason,
                           std::optional<state::Duration> retryAfter = {});

/** Sets the time after which the caller may return. */
void setRetryAfter(Response &response, state::Duration retryAfter);

/** Returns the reason in an error response of the host itself; empty for a response of a target. */
std::string_view errorReason(const Response &response);

/**
 * Removes the fields that apply to one connection only (RFC 9110, section 7.6.1). Those that @p codec needs at the
 * receiver stay, whatever Connection names.
 */
void removeHopByHopFields(boost::beast::http::fields &fields, const WireCodec &codec);

/** Returns the idle timeout in a Keep-Alive field; @p fallback if there is no valid one. */
state::Duration keepAliveTimeout(const boost::beast::http::fields &fields, state::Duration fallback);

} // namespace sapphirecove::transport::entry
