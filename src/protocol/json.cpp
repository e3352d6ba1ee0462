#include "protocol/json.h"

namespace sapphirecove::protocol {

state::Result<json::value> parseJson(std::string_view text, std::string_view step, std::string_view peer)
{
    json::parse_options options;
    options.max_depth = MaxJsonDepth;
    json::error_code error;
    json::value value = json::parse(json::string_view(text.data(), text.size()), error, {}, options);
    if (error) {
        return state::fail(step, peer, "malformed JSON: " + error.message());
    }
    return value;
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
