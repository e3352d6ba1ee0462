#pragma once

#include "tests/integration/httpclient.h"

namespace sapphirecove::integration {

/** Parameters of one chat-completions request. */
struct ChatCall
{
    std::uint16_t port = 0;
    std::string key; /**< bearer key */
    std::string model;
    std::string prompt;
    int maxTokens = 16;
    bool isStreamed = true;
    Headers headers;
    std::chrono::milliseconds timeout = std::chrono::seconds(30);

    std::string body() const;
    HttpCall toHttp() const;
};

/** Result of a chat-completions request as the caller received it. */
struct ChatOutcome
{
    int status = 0; /**< 0 if the connection failed */
    std::string content;
    bool isComplete = false; /**< the `[DONE]` event, or the whole document, was received */
    std::string reason; /**< of a rejection */
    std::string executed; /**< of a rejection: no, yes or unknown */
    std::string bodyHash; /**< of the request's body, as the stand-ins record it */
    std::string expected; /**< completion that the stand-in engine derives from the prompt */

    /** Returns whether the complete, correct completion arrived. */
    bool isCorrect() const
    {
        return isComplete && status == 200 && content == expected;
    }
    /** Returns whether the content is a prefix of the correct completion, so no byte of another completion is in it. */
    bool isPrefixOfExpected() const
    {
        return status != 200 || expected.starts_with(content);
    }
};

/** Sends the request and reads the whole response. */
ChatOutcome chat(const ChatCall &call);

/** Returns the outcome of @p call from the part of the response that @p stream has received so far. */
ChatOutcome outcomeOf(const ChatCall &call, const HttpStream &stream);

} // namespace sapphirecove::integration
