#include "transport/data/admission.h"

#include "protocol/chatrequest.h"
#include "protocol/keyhash.h"
#include "transport/httpserver.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace sapphirecove::transport {

using coordination::Executed;
using coordination::Refusal;
using coordination::RefusalReason;

namespace {

constexpr std::string_view ChatPath = "/v1/chat/completions";
constexpr std::string_view ServicesPrefix = "/services/";

/** Deadline of a tier that the configuration does not declare. */
constexpr state::Duration FallbackDeadline = std::chrono::seconds(60);

Refusal refuse(RefusalReason reason, std::string detail)
{
    return Refusal{ reason, Executed::No, std::nullopt, std::move(detail) };
}

bool pathStartsWith(std::string_view path, std::string_view prefix)
{
    return path.substr(0, prefix.size()) == prefix;
}

/** Returns the route with the longest matching prefix, or null. */
const state::Route *routeOf(const state::Pool &pool, std::string_view method, std::string_view path)
{
    const state::Route *best = nullptr;
    for (const auto &route : pool.routes) {
        const bool methodMatches = route.method == "*" || route.method == method;
        if (!methodMatches || !pathStartsWith(path, route.pathPrefix)) {
            continue;
        }
        if (best == nullptr || route.pathPrefix.size() > best->pathPrefix.size()) {
            best = &route;
        }
    }
    return best;
}

/** Finds the pool of a call of a plain service and the path for its target. */
std::optional<Refusal> readServicePath(const AppliedConfiguration &applied, std::string_view path, CallHead &result)
{
    const auto rest = path.substr(ServicesPrefix.size());
    const auto end = rest.find_first_of("/?");
    const auto name = std::string(rest.substr(0, end));
    const auto &pools = applied.configuration().pools;
    const auto found = pools.find(name);
    if (found == pools.end() || found->second.kind != state::PoolKind::Service) {
        return refuse(RefusalReason::NoRoute, "no service pool of this name");
    }
    result.pool = &found->second;
    result.targetPath = end == std::string_view::npos ? std::string() : std::string(rest.substr(end));
    if (result.targetPath.empty() || result.targetPath.front() != '/') {
        result.targetPath.insert(0, 1, '/');
    }
    return std::nullopt;
}

std::optional<Refusal> readTier(const AppliedConfiguration &applied,
                                const ReceivedHead &head,
                                std::optional<state::Tier> routeTier,
                                CallHead &result)
{
    const auto highest = result.customer->highestTier;
    const auto name = fieldValue(head.fields, "X-Tier");
    if (name.empty()) {
        // A route's tier is a default; it does not raise a customer above its highest tier.
        result.tier = std::max(routeTier.value_or(result.customer->defaultTier), highest);
        return std::nullopt;
    }
    const auto &tiers = applied.configuration().tiers;
    const auto found = std::find_if(tiers.begin(), tiers.end(), [&](const auto &entry) {
        return entry.second.name == name;
    });
    if (found == tiers.end()) {
        return refuse(RefusalReason::BadRequest, "X-Tier names no tier");
    }
    if (found->first < highest) {
        return refuse(RefusalReason::BadRequest, "X-Tier is above the highest tier of the customer");
    }
    result.tier = found->first;
    return std::nullopt;
}

std::optional<Refusal> readDeadline(const ReceivedHead &head, CallHead &result)
{
    const auto text = fieldValue(head.fields, "X-Deadline-Ms");
    if (text.empty()) {
        return std::nullopt;
    }
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const auto highest = std::chrono::duration_cast<std::chrono::milliseconds>(LongestDeadline).count();
    if (error != std::errc() || end != text.data() + text.size() || value <= 0 || value > highest) {
        return refuse(RefusalReason::BadRequest, "X-Deadline-Ms must be whole milliseconds from 1 to 24 hours");
    }
    result.deadline = std::chrono::milliseconds(value);
    return std::nullopt;
}

std::optional<Refusal> readIdempotencyKey(const ReceivedHead &head, const state::Route *route, CallHead &result)
{
    const auto key = fieldValue(head.fields, "Idempotency-Key");
    const bool present = head.fields.find("Idempotency-Key") != head.fields.end();
    if (present && !protocol::isValidIdempotencyKey(key)) {
        return refuse(RefusalReason::BadRequest, "Idempotency-Key must be 1 to 255 visible ASCII characters");
    }
    if (!present && route != nullptr && !route->idempotent && route->requireIdempotencyKey) {
        return refuse(RefusalReason::KeyRequired, "this route needs an Idempotency-Key");
    }
    if (present) {
        result.idempotencyKey = std::string(key);
    }
    return std::nullopt;
}

state::Duration defaultDeadline(const AppliedConfiguration &applied, state::Tier tier)
{
    const auto &tiers = applied.configuration().tiers;
    const auto found = tiers.find(tier);
    return found == tiers.end() ? FallbackDeadline : found->second.defaultDeadline;
}

std::optional<Refusal> readChatBody(const AppliedConfiguration &applied, std::string_view body, AdmittedCall &result)
{
    std::string problem;
    const auto chat = state::handleFailure(
        [&] {
            return protocol::readChatRequest(body);
        },
        [&](const state::Failure &failure) {
            problem = failure.detail.empty() ? "malformed body" : failure.detail;
            return protocol::ChatRequest();
        });
    if (!problem.empty()) {
        return refuse(RefusalReason::BadRequest, problem);
    }
    const auto *pool = applied.poolOfModel(chat.model);
    if (pool == nullptr) {
        return refuse(RefusalReason::UnknownModel, "no pool serves this model");
    }
    result.info.pool = pool->id;
    result.info.promptTokens = chat.promptTokens;
    result.info.maxOutputTokens = chat.maxOutputTokens;
    result.info.prefixHashes = chat.prefixHashes;
    result.stream = chat.stream;
    return std::nullopt;
}

} // namespace

std::variant<CallHead, Refusal> checkHead(const AppliedConfiguration &applied, const ReceivedHead &head)
{
    CallHead result;
    result.customer = applied.customerOf(bearerKey(head.fields));
    if (result.customer == nullptr) {
        return refuse(RefusalReason::Unauthorized, "no customer has this key");
    }
    const state::Route *route = nullptr;
    if (pathStartsWith(head.path, ServicesPrefix)) {
        if (auto refusal = readServicePath(applied, head.path, result)) {
            return *refusal;
        }
        route = routeOf(*result.pool, head.method, result.targetPath);
    } else if (head.path == ChatPath && head.method == "POST") {
        result.targetPath = ChatPath;
    } else {
        return refuse(RefusalReason::NoRoute, "no such path or method");
    }
    if (auto refusal = readTier(applied, head, route != nullptr ? route->tier : std::nullopt, result)) {
        return *refusal;
    }
    if (auto refusal = readDeadline(head, result)) {
        return *refusal;
    }
    if (auto refusal = readIdempotencyKey(head, route, result)) {
        return *refusal;
    }
    return result;
}

std::variant<AdmittedCall, Refusal>
checkBody(const AppliedConfiguration &applied, const CallHead &head, std::string_view body, state::Time now)
{
    AdmittedCall result;
    result.info.customer = head.customer->id;
    result.info.tier = head.tier;
    result.info.bodyBytes = static_cast<std::uint32_t>(body.size());
    result.info.deadline = now + head.deadline.value_or(defaultDeadline(applied, head.tier));
    result.info.idempotencyKey = head.idempotencyKey;
    if (head.pool != nullptr) {
        result.kind = state::PoolKind::Service;
        result.info.pool = head.pool->id;
        return result;
    }
    if (auto refusal = readChatBody(applied, body, result)) {
        return *refusal;
    }
    return result;
}

} // namespace sapphirecove::transport
