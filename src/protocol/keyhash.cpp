#include "protocol/keyhash.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <span>

namespace sapphirecove::protocol {

namespace {

constexpr std::string_view HexDigits = "0123456789abcdef";
constexpr std::size_t MaxIdempotencyKeyLength = 255;

} // namespace

state::Result<std::string> hashKey(std::string_view key)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    if (EVP_Digest(key.data(), key.size(), digest.data(), &length, EVP_sha256(), nullptr) != 1) {
        return state::fail("key.hash", "", "SHA-256 is not available");
    }
    std::string text;
    for (const unsigned char byte : std::span(digest).first(length)) {
        text += HexDigits[byte >> 4U];
        text += HexDigits[byte & 0x0FU];
    }
    return text;
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

bool isValidIdempotencyKey(std::string_view key)
{
    const bool visible = std::all_of(key.begin(), key.end(), [](char c) {
        return c >= '!' && c <= '~';
    });
    return !key.empty() && key.size() <= MaxIdempotencyKeyLength && visible;
}

} // namespace sapphirecove::protocol
