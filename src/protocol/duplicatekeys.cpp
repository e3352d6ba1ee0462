#include "protocol/duplicatekeys.h"

#include "protocol/json.h"

#include <boost/json/basic_parser_impl.hpp>

#include <cstdint>
#include <limits>
#include <set>

namespace sapphirecove::protocol {

namespace {

/** Object or array that is being parsed. */
struct Frame
{
    bool isObject = false;
    std::set<std::string> keys;
    std::string key; /**< of the member being read */
    std::size_t index = 0; /**< of the element being read */
};

/** Handler of boost::json::basic_parser, whose interface prescribes the names of its members. */
// NOLINTBEGIN(readability-identifier-naming)
struct Handler
{
    static constexpr std::size_t max_array_size = std::numeric_limits<std::size_t>::max();
    static constexpr std::size_t max_object_size = std::numeric_limits<std::size_t>::max();
    static constexpr std::size_t max_string_size = std::numeric_limits<std::size_t>::max();
    static constexpr std::size_t max_key_size = std::numeric_limits<std::size_t>::max();

    std::vector<Frame> frames;
    std::string partialKey;
    std::vector<std::string> duplicates;

    bool open(bool isObject)
    {
        frames.emplace_back().isObject = isObject;
        return true;
    }

    bool close()
    {
        frames.pop_back();
        return finishValue();
    }

    bool finishValue()
    {
        if (!frames.empty()) {
            ++frames.back().index;
        }
        return true;
    }

    bool finishKey()
    {
        Frame &frame = frames.back();
        frame.key = std::move(partialKey);
        partialKey.clear();
        if (!frame.keys.insert(frame.key).second) {
            duplicates.push_back(pointer());
        }
        return true;
    }

    std::string pointer() const
    {
        std::string text;
        for (const Frame &frame : frames) {
            appendPointer(text, frame.isObject ? frame.key : std::to_string(frame.index));
        }
        return text;
    }

    bool on_document_begin(json::error_code &)
    {
        return true;
    }
    bool on_document_end(json::error_code &)
    {
        return true;
    }
    bool on_array_begin(json::error_code &)
    {
        return open(false);
    }
    bool on_array_end(std::size_t, json::error_code &)
    {
        return close();
    }
    bool on_object_begin(json::error_code &)
    {
        return open(true);
    }
    bool on_object_end(std::size_t, json::error_code &)
    {
        return close();
    }
    bool on_string_part(json::string_view, std::size_t, json::error_code &)
    {
        return true;
    }
    bool on_string(json::string_view, std::size_t, json::error_code &)
    {
        return finishValue();
    }
    bool on_key_part(json::string_view part, std::size_t, json::error_code &)
    {
        partialKey.append(part.data(), part.size());
        return true;
    }
    bool on_key(json::string_view part, std::size_t, json::error_code &)
    {
        partialKey.append(part.data(), part.size());
        return finishKey();
    }
    bool on_number_part(json::string_view, json::error_code &)
    {
        return true;
    }
    bool on_int64(std::int64_t, json::string_view, json::error_code &)
    {
        return finishValue();
    }
    bool on_uint64(std::uint64_t, json::string_view, json::error_code &)
    {
        return finishValue();
    }
    bool on_double(double, json::string_view, json::error_code &)
    {
        return finishValue();
    }
    bool on_bool(bool, json::error_code &)
    {
        return finishValue();
    }
    bool on_null(json::error_code &)
    {
        return finishValue();
    }
    bool on_comment_part(json::string_view, json::error_code &)
    {
        return true;
    }
    bool on_comment(json::string_view, json::error_code &)
    {
        return true;
    }
};
// NOLINTEND(readability-identifier-naming)

} // namespace

std::vector<std::string> findDuplicateKeys(std::string_view text)
{
    json::parse_options options;
    options.max_depth = MaxJsonDepth;
    json::basic_parser<Handler> parser(options);
    json::error_code error;
    parser.write_some(false, text.data(), text.size(), error);
    return parser.handler().duplicates;
}

} // namespace sapphirecove::protocol
