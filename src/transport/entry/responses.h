#pragma once

#include "state/time.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>
#include <string_view>

namespace sapphirecove::transport::entry {

using Request = boost::beast::http::request<boost::beast::http::string_body>;
using Response = boost::beast::http::response<boost::beast::http::string_body>;

/** Returns an answer of the host itself, with @p reason in its body and the time to come back if there is one. */
Response makeErrorResponse(boost::beast::http::status status,
                           std::string_view reason,
                           std::optional<state::Duration> retryAfter = {});

/** Returns the reason in an answer of the host itself; empty for an answer of a target. */
std::string_view errorReason(const Response &response);

/** Removes the fields that concern one connection only (RFC 9110, section 7.6.1). */
void removeHopByHopFields(boost::beast::http::fields &fields);

/** Returns the idle time that a Keep-Alive field grants; @p fallback if it grants none. */
state::Duration keepAliveTimeout(const boost::beast::http::fields &fields, state::Duration fallback);

} // namespace sapphirecove::transport::entry
