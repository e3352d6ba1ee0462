#include "tests/integration/chatcall.h"

#include "standins/completions.h"

namespace sapphirecove::integration {

namespace json = boost::json;

namespace {

const json::value *firstChoice(const json::value &document)
{
    const auto *object = document.if_object();
    const auto *choices = object == nullptr ? nullptr : object->if_contains("choices");
    if (choices == nullptr || !choices->is_array() || choices->get_array().empty()) {
        return nullptr;
    }
    return &choices->get_array().front();
}

std::string contentOf(const json::value &document, const char *memberName)
{
    const auto *choice = firstChoice(document);
    const auto *member =
        choice == nullptr || !choice->is_object() ? nullptr : choice->get_object().if_contains(memberName);
    return member == nullptr ? std::string() : textField(*member, "content");
}

/** Reads reason and execution state of a problem document; an event stream has it as the data of its last event. */
void readProblem(ChatOutcome &outcome, const std::string &text)
{
    boost::system::error_code error;
    const auto document = json::parse(text, error);
    if (!error && !textField(document, "reason").empty()) {
        outcome.reason = textField(document, "reason");
        outcome.executed = textField(document, "executed");
    }
}

} // namespace

std::string ChatCall::body() const
{
    return json::serialize(json::value{
        { "model", model },
        { "stream", isStreamed },
        { "max_tokens", maxTokens },
        { "messages", json::array{ json::object{ { "role", "user" }, { "content", prompt } } } },
    });
}

HttpCall ChatCall::toHttp() const
{
    HttpCall call{ port, "POST", "/v1/chat/completions", body(), headers, timeout };
    call.headers["Authorization"] = "Bearer " + key;
    return call;
}

ChatOutcome outcomeOf(const ChatCall &call, const HttpStream &stream)
{
    ChatOutcome outcome;
    outcome.status = stream.status();
    outcome.bodyHash = standins::bodyHash(call.body());
    outcome.expected = standins::expectedCompletion(call.prompt, call.maxTokens);
    if (stream.status() != 200) {
        readProblem(outcome, stream.body());
        return outcome;
    }
    if (!call.isStreamed) {
        boost::system::error_code error;
        outcome.content = contentOf(json::parse(stream.body(), error), "message");
        outcome.isComplete = stream.isComplete();
        return outcome;
    }
    for (const auto &event : stream.events()) {
        if (event.data == "[DONE]") {
            outcome.isComplete = true;
            continue;
        }
        boost::system::error_code error;
        const auto chunk = json::parse(event.data, error);
        outcome.content += error ? std::string() : contentOf(chunk, "delta");
        readProblem(outcome, event.data);
    }
    return outcome;
}

ChatOutcome chat(const ChatCall &call)
{
    HttpStream stream(call.toHttp());
    stream.readAll();
    return outcomeOf(call, stream);
}

} // namespace sapphirecove::integration
