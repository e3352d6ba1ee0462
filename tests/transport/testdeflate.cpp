#include "transport/deflate.h"

#include <catch2/catch.hpp>

#include <random>

using namespace sapphirecove::transport;

// Guards against a small message that decompresses to more than the receiver permits.
TEST_CASE("decompression restores the text and enforces the size limit", "[deflate]")
{
    std::string text;
    for (int i = 0; i < 20000; ++i) {
        text += "{\"name\":\"route-" + std::to_string(i) + "\"}";
    }
    for (const std::string &sample : { std::string(), std::string("x"), text }) {
        const std::string bytes = deflate(sample);
        CHECK(inflate(bytes, text.size()) == sample);
    }
    CHECK(deflate(text).size() * 4 < text.size());
    CHECK_FALSE(inflate(deflate(text), 65536));
}

// Guards against truncated or damaged data that is accepted as whole or crashes the decompression.
TEST_CASE("malformed input does not crash the decompression", "[deflate][random]")
{
    const std::string bytes = deflate(std::string(5000, 'a') + "end");
    for (std::size_t size = 0; size + 1 < bytes.size(); ++size) {
        CHECK_FALSE(inflate(std::string_view(bytes).substr(0, size), 1 << 20));
    }
    std::mt19937 random(11);
    for (int i = 0; i < 3000; ++i) {
        std::string mutated = bytes;
        mutated[random() % mutated.size()] = static_cast<char>(random());
        inflate(mutated, 1 << 20); // Any result is allowed, but not a crash.
    }
}
