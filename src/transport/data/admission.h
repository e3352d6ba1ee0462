#pragma once

#include "coordination/refusal.h"
#include "coordination/requestinfo.h"
#include "transport/data/appliedconfiguration.h"

#include <boost/beast/http/fields.hpp>

#include <string>
#include <string_view>
#include <variant>

namespace sapphirecove::transport {

/** Highest value of X-Deadline-Ms. */
constexpr state::Duration MaxDeadline = std::chrono::hours(24);

/** Result of the checks of a request header, before the body is read. */
struct RequestHead
{
    const state::Customer *customer = nullptr;
    const state::Pool *pool = nullptr; /**< null for a chat request, whose body names the model */
    std::string targetPath; /**< path and query for the target */
    state::Tier tier = 0;
    std::optional<state::Duration> deadline; /**< from the arrival; absent if the tier's default applies */
    std::optional<std::string> idempotencyKey;
};

/** Header of a request as received. */
struct ReceivedHead
{
    std::string_view method;
    std::string_view path; /**< path and query */
    const boost::beast::http::fields &fields;
};

/**
 * Checks API key, route, tier, deadline and idempotency key of a request. The pointers in the result are valid as long
 * as the configuration in @p applied.
 */
std::variant<RequestHead, coordination::Refusal> checkHead(const AppliedConfiguration &applied,
                                                           const ReceivedHead &head);

/** Request that passed all checks of header and body. */
struct AdmittedRequest
{
    coordination::RequestInfo info; /**< without its id */
    state::PoolKind kind = state::PoolKind::Model;
    bool stream = false; /**< the caller asked for server-sent events */
};

/** Checks the body of a request that arrived at @p now. */
std::variant<AdmittedRequest, coordination::Refusal>
checkBody(const AppliedConfiguration &applied, const RequestHead &head, std::string_view body, state::Time now);

} // namespace sapphirecove::transport
