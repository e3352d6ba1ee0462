#include "transport/entry/responses.h"

#include "transport/beaststring.h"
#include "transport/hopbyhop.h"

#include <boost/beast/http/field.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <charconv>
#include <cstdio>
#include <string>
#include <vector>

namespace sapphirecove::transport::entry {

namespace http = boost::beast::http;

namespace {

/** Media type and body format of the host's own error responses. */
constexpr const char *ProblemType = "application/problem+json";
constexpr std::string_view ReasonPrefix = R"({"reason":")";
constexpr std::string_view ReasonSuffix = R"("})";

/** Longest idle timeout that is accepted from a Keep-Alive field. */
constexpr int MaxKeepAliveSeconds = 3600;

} // namespace

Response makeErrorResponse(http::status status, std::string_view reason, std::optional<state::Duration> retryAfter)
{
    Response response(status, 11);
    response.set(http::field::content_type, ProblemType);
    if (retryAfter) {
        setRetryAfter(response, *retryAfter);
    }
    response.body() = std::string(ReasonPrefix) + std::string(reason) + std::string(ReasonSuffix);
    return response;
}

void setRetryAfter(Response &response, state::Duration retryAfter)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.3f", state::toSeconds(retryAfter));
    response.set(http::field::retry_after, text);
}

std::string_view errorReason(const Response &response)
{
    std::string_view body = response.body();
    if (response[http::field::content_type] != ProblemType || !body.starts_with(ReasonPrefix)
        || !body.ends_with(ReasonSuffix)) {
        return {};
    }
    body.remove_prefix(ReasonPrefix.size());
    body.remove_suffix(ReasonSuffix.size());
    return body;
}

void removeHopByHopFields(http::fields &fields, const WireCodec &codec)
{
    std::vector<std::string> named;
    const auto connection = fields.equal_range(http::field::connection);
    for (auto field = connection.first; field != connection.second; ++field) {
        for (const auto &token : http::token_list(field->value())) {
            if (!codec.isEndToEnd(toView(token)) && !boost::beast::iequals(token, "Host")) {
                named.emplace_back(token.data(), token.size());
            }
        }
    }
    for (const auto &field : fields) {
        // Content-Length stays for responses to HEAD; code that frames the body again sets its own.
        const bool framing = isHopByHop(field.name()) && field.name() != http::field::content_length;
        if (framing || field.name() == http::field::expect) {
            named.emplace_back(toView(field.name_string()));
        }
    }
    for (const auto &name : named) {
        fields.erase(toBeast(name));
    }
}

state::Duration keepAliveTimeout(const http::fields &fields, state::Duration fallback)
{
    const std::string_view text = toView(fields[http::field::keep_alive]);
    constexpr std::string_view name = "timeout=";
    const std::size_t start = text.find(name);
    if (start == std::string_view::npos) {
        return fallback;
    }
    int seconds = 0;
    const char *first = text.data() + start + name.size();
    const auto [end, error] = std::from_chars(first, text.data() + text.size(), seconds);
    if (error != std::errc() || seconds < 0 || seconds > MaxKeepAliveSeconds) {
        return fallback;
    }
    return std::chrono::seconds(seconds);
}

} // namespace sapphirecove::transport::entry
