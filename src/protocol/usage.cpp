#include "protocol/usage.h"

#include "protocol/fieldreader.h"

namespace sapphirecove::protocol {

namespace {

void readUsage(ReadContext &context, const json::object &document, Usage &usage)
{
    context.enter("usage");
    const json::value *value = document.if_contains("usage");
    if (value == nullptr || !value->is_object()) {
        context.reject("an object");
        return;
    }
    FieldReader reader(context, value->get_object());
    reader("prompt_tokens", usage.promptTokens);
    reader("completion_tokens", usage.completionTokens);
    const json::value *details = value->get_object().if_contains("prompt_tokens_details");
    if (details != nullptr && details->is_object() && details->get_object().contains("cached_tokens")) {
        context.enter("prompt_tokens_details");
        FieldReader detailReader(context, details->get_object());
        detailReader("cached_tokens", usage.cachedTokens);
        context.leave();
    }
    context.leave();
}

} // namespace

std::optional<Usage> usageOf(const json::value &document)
{
    if (!document.is_object()) {
        return std::nullopt;
    }
    ReadContext context;
    Usage usage;
    readUsage(context, document.get_object(), usage);
    return context.failed() ? std::nullopt : std::optional(usage);
}

state::Result<Usage> readResponseUsage(std::string_view body, std::string_view peer)
{
    BOOST_LEAF_AUTO(document, parseJson(body, "answer.read", peer));
    if (!document.is_object()) {
        return state::fail("answer.read", peer, "expected an object");
    }
    ReadContext context;
    Usage usage;
    readUsage(context, document.get_object(), usage);
    if (context.failed()) {
        return state::fail("answer.read", peer, context.detail());
    }
    return usage;
}

} // namespace sapphirecove::protocol
