#include "protocol/problemdocument.h"

#include "protocol/fieldwriter.h"

namespace sapphirecove::protocol {

namespace {

/** Returns the reason in words, for human readers. */
std::string titleOf(coordination::RefusalReason reason)
{
    std::string title(toString(reason));
    std::replace(title.begin(), title.end(), '_', ' ');
    return title;
}

} // namespace

std::string encodeProblem(const coordination::Refusal &refusal)
{
    json::object body;
    FieldWriter writer(body);
    writer("type", "urn:sapphirecove:problem:" + std::string(toString(refusal.reason)));
    writer("title", titleOf(refusal.reason));
    writer("status", httpStatus(refusal.reason));
    writer("reason", std::string(toString(refusal.reason)));
    writer("executed", std::string(toString(refusal.executed)));
    writer("detail", refusal.detail);
    if (const auto seconds = retryAfterSeconds(refusal)) {
        writer("retry_after_s", *seconds);
    }
    return json::serialize(body);
}

std::optional<std::int64_t> retryAfterSeconds(const coordination::Refusal &refusal)
{
    if (!refusal.retryAfter) {
        return std::nullopt;
    }
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(*refusal.retryAfter).count();
    return std::max<std::int64_t>(seconds, 1);
}

} // namespace sapphirecove::protocol
