#include "protocol/chatrequest.h"
#include "protocol/prompt.h"
#include "protocol/usage.h"

#include "tests/protocol/failuredetail.h"
#include "tests/protocol/mutation.h"

#include <catch2/catch.hpp>

#include <xxhash.h>

using namespace sapphirecove;
using protocol::ChatRequest;

namespace {

ChatRequest read(const std::string &body)
{
    return tests::valueOf([&] {
        return protocol::readChatRequest(body);
    });
}

std::string detailOf(const std::string &body)
{
    return tests::failureDetail([&] {
        return protocol::readChatRequest(body);
    });
}

} // namespace

// Guards against estimates that miss part of a prompt, which would overload a target's prefill.
TEST_CASE("a chat request is read", "[chatrequest]")
{
    const ChatRequest plain = read(R"({"model":"m","messages":[{"role":"user","content":"hello"}]})");
    CHECK(plain.model == "m");
    CHECK_FALSE(plain.stream);
    CHECK(plain.maxOutputTokens == 256);
    CHECK(plain.text == "hello");
    CHECK(plain.promptTokens == 2);
    CHECK(plain.prefixHashes.empty());

    const ChatRequest full = read(R"({"model":"m","stream":true,"max_tokens":9,"max_completion_tokens":7,"messages":[)"
                                  R"({"role":"system","content":"ab"},{"role":"assistant","content":null},)"
                                  R"({"role":"user","content":[{"type":"text","text":"cd"},{"type":"image_url"}]}]})");
    CHECK(full.stream);
    CHECK(full.maxOutputTokens == 7);
    CHECK(full.text == "abcd");
    CHECK(full.promptTokens == 1);
    CHECK(read(R"({"model":"m","max_tokens":9,"stream":null,"messages":[{}]})").maxOutputTokens == 9);
}

// Guards against errors that do not tell the caller which field to correct.
TEST_CASE("problems of a chat request name the JSON pointer", "[chatrequest]")
{
    CHECK_THAT(detailOf("{\"model\""), Catch::StartsWith("malformed JSON"));
    CHECK(detailOf("[]") == "document: expected an object");
    CHECK(detailOf(R"({"messages":[{}]})") == "/model: expected this field");
    CHECK(detailOf(R"({"model":1,"messages":[{}]})") == "/model: expected a string");
    CHECK(detailOf(R"({"model":"m"})") == "/messages: expected an array of at least one message");
    CHECK(detailOf(R"({"model":"m","messages":[]})") == "/messages: expected an array of at least one message");
    CHECK(detailOf(R"({"model":"m","messages":[{},{"content":7}]})")
          == "/messages/1/content: expected a string, an array of parts or null");
    CHECK(detailOf(R"({"model":"m","messages":[{"content":[{"text":1}]}]})")
          == "/messages/0/content/0/text: expected a string");
    CHECK(detailOf(R"({"model":"m","stream":1,"messages":[{}]})") == "/stream: expected true or false");
    CHECK(detailOf(R"({"model":"m","max_tokens":0,"messages":[{}]})")
          == "/max_tokens: expected an integer from 1 to 1000000");
}

// Guards against hashes that differ from those of the engines' cache events, which would hide cached prefixes.
TEST_CASE("prefixes are hashed in chained blocks at the boundaries", "[prompt]")
{
    std::string text;
    for (int i = 0; text.size() < 130 * 1024; ++i) {
        text += "guest " + std::to_string(i) + "\n";
    }
    std::vector<std::uint64_t> chain;
    for (std::size_t block = 0; block < 128; ++block) {
        chain.push_back(XXH64(text.data() + block * 1024, 1024, chain.empty() ? 0 : chain.back()));
    }
    const std::vector<std::uint64_t> expected{ chain[0],  chain[1],  chain[3],  chain[7],
                                               chain[15], chain[31], chain[63], chain[127] };
    CHECK(protocol::prefixHashes(text) == expected);
    CHECK(protocol::prefixHashes(std::string_view(text).substr(0, 1023)).empty());
    CHECK(protocol::prefixHashes(std::string_view(text).substr(0, 3 * 1024))
          == std::vector(expected.begin(), expected.begin() + 2));
    CHECK(protocol::estimateTokens(0) == 0);
    CHECK(protocol::estimateTokens(4) == 1);
    CHECK(protocol::estimateTokens(5) == 2);
}

// Guards against usage that is not recognized, so that every prefill would count as wasted.
TEST_CASE("usage of a complete response is read", "[usage]")
{
    const auto usage = tests::valueOf([] {
        return protocol::readResponseUsage(R"({"choices":[{"message":{"content":"x"}}],"usage":{"prompt_tokens":10,)"
                                           R"("completion_tokens":3,"prompt_tokens_details":{"cached_tokens":8}}})",
                                           "t");
    });
    CHECK(usage.promptTokens == 10);
    CHECK(usage.completionTokens == 3);
    CHECK(usage.cachedTokens == 8);
    const auto detail = [](const std::string &body) {
        return tests::failureDetail([&] {
            return protocol::readResponseUsage(body, "t");
        });
    };
    CHECK(detail(R"({"usage":{"prompt_tokens":10,"completion_tokens":3}})").empty());
    CHECK(detail("{}") == "/usage: expected an object");
    CHECK(detail(R"({"usage":{"prompt_tokens":10,"completion_tokens":-3}})")
          == "/usage/completion_tokens: expected an integer from 0 to 4294967295");
    CHECK_FALSE(detail("{\"usage\"").empty());
}

// Guards against a body of the permitted size whose parsed form takes most of a host's memory, and against a bound that
// rejects real bodies.
TEST_CASE("parsing takes memory in proportion to the body", "[chatrequest]")
{
    const auto body = [](const std::string &message, std::size_t count) {
        std::string text = R"({"model":"m","messages":[)" + message;
        for (std::size_t i = 1; i < count; ++i) {
            text += ',' + message;
        }
        return text + "]}";
    };
    CHECK_THAT(detailOf(body("0", 500'000)), Catch::StartsWith("JSON that takes more than "));
    CHECK(detailOf(body(R"({"role":"user","content":"a"})", 50'000)).empty());
    CHECK(detailOf(body(R"({"content":")" + std::string(4 << 20, 'a') + "\"}", 1)).empty());
    CHECK(detailOf(body(R"({"content":[{"type":"text","text":"a"}]})", 50'000)).empty());
}

// Guards against callers' input that crashes a host.
TEST_CASE("mutated chat requests never crash the reader", "[chatrequest]")
{
    std::mt19937_64 random(7);
    const std::string valid =
        R"({"model":"m","stream":true,"max_tokens":9,"messages":[{"role":"user","content":"hello"},)"
        R"({"role":"user","content":[{"type":"text","text":"cd \u00e9"}]}]})";
    for (int round = 0; round < 3000; ++round) {
        detailOf(tests::mutate(valid, random));
    }
    CHECK(detailOf(valid).empty());
}
