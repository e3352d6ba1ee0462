#include "protocol/documenttext.h"

#include "protocol/duplicatekeys.h"
#include "protocol/utf8.h"

#include <algorithm>
#include <fstream>
#include <vector>

namespace sapphirecove::protocol {

namespace {

/** Returns @p value with the members of all objects in ascending order of their keys. */
json::value withSortedKeys(const json::value &value)
{
    if (const json::array *array = value.if_array()) {
        json::array result;
        result.reserve(array->size());
        for (const json::value &element : *array) {
            result.push_back(withSortedKeys(element));
        }
        return result;
    }
    const json::object *object = value.if_object();
    if (object == nullptr) {
        return value;
    }
    std::vector<const json::key_value_pair *> members;
    for (const json::key_value_pair &member : *object) {
        members.push_back(&member);
    }
    std::sort(members.begin(), members.end(), [](const auto *left, const auto *right) {
        return left->key() < right->key();
    });
    json::object result;
    result.reserve(members.size());
    for (const json::key_value_pair *member : members) {
        result.emplace(member->key(), withSortedKeys(member->value()));
    }
    return result;
}

std::string lineNumberAt(std::string_view text, std::size_t position)
{
    const std::string_view before = text.substr(0, position);
    return std::to_string(1 + std::count(before.begin(), before.end(), '\n'));
}

} // namespace

std::optional<std::string> readDocumentFile(const std::filesystem::path &path, DocumentReport &report)
{
    std::error_code error;
    if (!std::filesystem::is_regular_file(path, error)) {
        report.addToFile(path.string(), "", "a file that can be read");
        return std::nullopt;
    }
    if (std::filesystem::file_size(path, error) > MaxDocumentBytes) {
        report.addToFile(path.string(), "", "a file of at most " + std::to_string(MaxDocumentBytes) + " bytes");
        return std::nullopt;
    }
    std::ifstream stream(path, std::ios::binary);
    std::string text((std::istreambuf_iterator<char>(stream)), std::istreambuf_iterator<char>());
    if (stream.bad() || !stream.is_open()) {
        report.addToFile(path.string(), "", "a file that can be read");
        return std::nullopt;
    }
    return text;
}

std::optional<json::object> parseDocument(std::string_view text, std::string_view file, DocumentReport &report)
{
    const std::size_t validLength = validUtf8Length(text);
    if (validLength != text.size()) {
        report.addToFile(file, "", "valid UTF-8, but byte " + std::to_string(validLength) + " is not");
        return std::nullopt;
    }
    json::parse_options options;
    options.max_depth = MaxJsonDepth;
    json::stream_parser parser({}, options);
    json::error_code error;
    const std::size_t position = parser.write_some(text.data(), text.size(), error);
    if (!error && position < text.size()) {
        error = json::error::extra_data;
    }
    if (!error) {
        parser.finish(error);
    }
    if (error == json::error::too_deep) {
        report.addToFile(file, "", "at most " + std::to_string(MaxJsonDepth) + " levels of nesting");
        return std::nullopt;
    }
    if (error) {
        report.addToFile(
            file, "", "well-formed JSON: " + error.message() + " near line " + lineNumberAt(text, position));
        return std::nullopt;
    }
    for (const std::string &pointer : findDuplicateKeys(text)) {
        report.addToFile(file, pointer, "a key that occurs once in its object");
    }
    json::value value = parser.release();
    if (!value.is_object()) {
        report.addToFile(file, "", "an object");
        return std::nullopt;
    }
    return std::move(value.get_object());
}

std::string canonicalText(const json::value &value)
{
    return json::serialize(withSortedKeys(value));
}

} // namespace sapphirecove::protocol
