#include "protocol/chatrequest.h"

#include "protocol/fieldreader.h"
#include "protocol/prompt.h"

namespace sapphirecove::protocol {

namespace {

constexpr std::string_view Step = "request.read";

/** Returns the member @p name unless it is absent or null. */
const json::value *optionalMember(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(json::string_view(name.data(), name.size()));
    return value == nullptr || value->is_null() ? nullptr : value;
}

/** Appends the text of one content part; parts without text, such as images, are left out of the token estimate. */
void readPart(ReadContext &context, const json::value &part, std::string &text)
{
    if (!part.is_object()) {
        context.reject("an object");
        return;
    }
    if (const json::value *value = optionalMember(part.get_object(), "text")) {
        context.enter("text");
        std::string partText;
        FieldReader::read(context, *value, partText);
        text += partText;
        context.leave();
    }
}

void readContent(ReadContext &context, const json::value &content, std::string &text)
{
    if (content.is_string()) {
        text += viewOf(content.get_string());
        return;
    }
    if (!content.is_array()) {
        context.reject("a string, an array of parts or null");
        return;
    }
    std::size_t index = 0;
    for (const json::value &part : content.get_array()) {
        context.enter(index++);
        readPart(context, part, text);
        context.leave();
    }
}

void readMessage(ReadContext &context, const json::value &message, std::string &text)
{
    if (!message.is_object()) {
        context.reject("an object");
        return;
    }
    if (const json::value *content = optionalMember(message.get_object(), "content")) {
        context.enter("content");
        readContent(context, *content, text);
        context.leave();
    }
}

void readMessages(ReadContext &context, const json::object &body, std::string &text)
{
    context.enter("messages");
    const json::value *messages = body.if_contains("messages");
    if (messages == nullptr || !messages->is_array() || messages->get_array().empty()) {
        context.reject("an array of at least one message");
    } else {
        std::size_t index = 0;
        for (const json::value &message : messages->get_array()) {
            context.enter(index++);
            readMessage(context, message, text);
            context.leave();
        }
    }
    context.leave();
}

void readLimit(ReadContext &context, const json::object &body, std::string_view name, std::uint32_t &limit)
{
    const json::value *value = optionalMember(body, name);
    if (value == nullptr) {
        return;
    }
    context.enter(name);
    std::int64_t number = 0;
    if (readInteger(context, *value, number, { 1, HighestMaxOutputTokens })) {
        limit = static_cast<std::uint32_t>(number);
    }
    context.leave();
}

void readBody(ReadContext &context, const json::value &document, ChatRequest &request)
{
    if (!document.is_object()) {
        context.reject("an object");
        return;
    }
    const json::object &body = document.get_object();
    FieldReader reader(context, body);
    reader("model", request.model);
    if (optionalMember(body, "stream") != nullptr) {
        reader("stream", request.stream);
    }
    readLimit(context, body, "max_tokens", request.maxOutputTokens);
    readLimit(context, body, "max_completion_tokens", request.maxOutputTokens);
    readMessages(context, body, request.text);
}

} // namespace

state::Result<ChatRequest> readChatRequest(std::string_view body)
{
    BOOST_LEAF_AUTO(document, parseJson(body, Step, ""));
    ReadContext context;
    ChatRequest request;
    readBody(context, document, request);
    if (context.failed()) {
        return state::fail(Step, "", context.detail());
    }
    request.promptTokens = estimateTokens(request.text.size());
    request.prefixHashes = prefixHashes(request.text);
    return request;
}

} // namespace sapphirecove::protocol
