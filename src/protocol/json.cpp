#include "protocol/json.h"

#include "protocol/boundedmemoryresource.h"

#include <new>

namespace sapphirecove::protocol {

state::Result<json::value>
parseJson(std::string_view text, std::string_view step, std::string_view peer, StringBytes stringBytes)
{
    json::parse_options options;
    options.max_depth = MaxJsonDepth;
    options.allow_invalid_utf8 = stringBytes == StringBytes::Any;
    const std::size_t limit = text.size() * ParseMemoryPerByte + ParseMemoryBase;
    const json::storage_ptr memory = json::make_shared_resource<BoundedMemoryResource>(limit);
    try {
        json::parser parser(memory, options);
        parser.reset(memory);
        json::error_code error;
        parser.write(text.data(), text.size(), error);
        if (error) {
            return state::fail(step, peer, "malformed JSON: " + error.message());
        }
        return parser.release();
    } catch (const std::bad_alloc &) {
        return state::fail(step, peer, "JSON that takes more than " + std::to_string(limit) + " bytes of memory");
    }
}

void appendPointer(std::string &pointer, std::string_view token)
{
    pointer += '/';
    for (const char c : token) {
        if (c == '~') {
            pointer += "~0";
        } else if (c == '/') {
            pointer += "~1";
        } else {
            pointer += c;
        }
    }
}

} // namespace sapphirecove::protocol
