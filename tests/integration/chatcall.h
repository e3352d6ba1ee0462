#pragma once

#include "tests/integration/httpclient.h"

namespace sapphirecove::integration {

/** One chat-completions call. */
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

/** What the caller received. */
struct ChatOutcome
{
    int status = 0; /**< 0 if the connection failed */
    std::string content;
    bool isComplete = false; /**< the end marker, or the whole document, was received */
    std::string reason; /**< of a rejection */
    std::string executed; /**< of a rejection: no, yes or unknown */
    std::string bodyHash; /**< of the request's body, as the stand-ins record it */
    std::string expected; /**< answer that the prompt leads to */

    /** The complete and correct answer arrived. */
    bool isCorrect() const
    {
        return isComplete && status == 200 && content == expected;
    }
    /** What arrived is a prefix of the correct answer, so no byte of another answer is in it. */
    bool isPrefixOfExpected() const
    {
        return status != 200 || expected.starts_with(content);
    }
};

/** Makes the call and reads its whole answer. */
ChatOutcome chat(const ChatCall &call);

/** Returns the outcome of what @p stream has received. */
ChatOutcome outcomeOf(const ChatCall &call, const HttpStream &stream);

} // namespace sapphirecove::integration
