#include "protocol/messagecodec.h"

#include "protocol/messagefields.h"

namespace sapphirecove::protocol {

namespace {

constexpr std::string_view Step = "peers.decode";

void readMessages(ReadContext &context, const json::array &array, std::vector<coordination::Message> &messages)
{
    std::size_t index = 0;
    for (const json::value &element : array) {
        context.enter(index++);
        readTagged(context, element, messages.emplace_back());
        context.leave();
        if (context.failed()) {
            return;
        }
    }
}

void readEnvelope(ReadContext &context, const json::value &document, coordination::Envelope &envelope)
{
    if (!document.is_object()) {
        context.reject("an object");
        return;
    }
    FieldReader reader(context, document.get_object());
    reader("from", envelope.from);
    reader("incarnation", envelope.incarnation);
    if (context.failed()) {
        return;
    }
    context.enter("messages");
    const json::value *messages = document.get_object().if_contains("messages");
    if (messages == nullptr || !messages->is_array()) {
        context.reject("an array");
    } else {
        readMessages(context, messages->get_array(), envelope.messages);
    }
    context.leave();
}

} // namespace

std::string encodeEnvelope(const coordination::Envelope &envelope)
{
    json::array messages;
    messages.reserve(envelope.messages.size());
    for (const coordination::Message &message : envelope.messages) {
        messages.push_back(writeTagged(message));
    }
    json::object document;
    FieldWriter writer(document);
    writer("from", envelope.from);
    writer("incarnation", envelope.incarnation);
    document.emplace("messages", std::move(messages));
    return json::serialize(document);
}

state::Result<coordination::Envelope> decodeEnvelope(std::string_view body, std::string_view peer)
{
    BOOST_LEAF_AUTO(document, parseJson(body, Step, peer));
    ReadContext context;
    coordination::Envelope envelope;
    readEnvelope(context, document, envelope);
    if (context.failed()) {
        return state::fail(Step, peer, context.detail());
    }
    return envelope;
}

} // namespace sapphirecove::protocol
