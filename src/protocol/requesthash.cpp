#include "protocol/requesthash.h"

#include <boost/endian/conversion.hpp>

#include <openssl/evp.h>

#include <array>
#include <memory>

namespace sapphirecove::protocol {

state::Result<std::uint64_t>
requestHash(std::string_view method, std::string_view target, std::string_view customer, std::string_view body)
{
    const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
    bool hashed = context && EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr) == 1;
    for (const std::string_view field : { method, target, customer, body }) {
        // The length keeps fields apart whose texts together are the same.
        std::array<unsigned char, sizeof(std::uint64_t)> length{};
        boost::endian::store_big_u64(length.data(), field.size());
        hashed = hashed && EVP_DigestUpdate(context.get(), length.data(), length.size()) == 1
            && EVP_DigestUpdate(context.get(), field.data(), field.size()) == 1;
    }
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    if (!hashed || EVP_DigestFinal_ex(context.get(), digest.data(), nullptr) != 1) {
        return state::fail("request.hash", "", "SHA-256 is not available");
    }
    return boost::endian::load_big_u64(digest.data());
}

} // namespace sapphirecove::protocol
