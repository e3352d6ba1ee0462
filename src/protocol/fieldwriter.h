#pragma once

#include "protocol/fieldnames.h"
#include "protocol/json.h"
#include "protocol/utf8.h"
#include "state/time.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace sapphirecove::protocol {

/** Longest time or duration in JSON, in microseconds (about 285 years); keeps sums of two of them in range. */
constexpr std::int64_t MaxMicroseconds = 9'000'000'000'000'000;

/**
 * Writes the fields of a struct into a JSON object. Times and durations outside 0..MaxMicroseconds are clamped and
 * invalid UTF-8 is replaced, so that FieldReader accepts every text that FieldWriter writes.
 */
class FieldWriter
{
public:
    explicit FieldWriter(json::object &object)
        : m_object(object)
    {
    }

    /** Writes one field. Bounds are checked by readers only. */
    template <typename T, typename... Bounds>
    void operator()(std::string_view name, const T &value, const Bounds &.../*bounds*/)
    {
        m_object.emplace(json::string_view(name.data(), name.size()), toJson(value));
    }

    static json::value toJson(bool value)
    {
        return value;
    }

    static json::value toJson(const std::string &value)
    {
        return json::string(toValidUtf8(value));
    }

    static json::value toJson(state::Duration value)
    {
        return std::clamp<std::int64_t>(value.count(), 0, MaxMicroseconds);
    }

    static json::value toJson(state::Time value)
    {
        return toJson(value.time_since_epoch());
    }

    template <typename Number>
    requires(std::is_arithmetic_v<Number>) static json::value toJson(Number value)
    {
        if constexpr (std::is_floating_point_v<Number>) {
            return std::isfinite(value) ? value : 0; // JSON cannot represent infinity or NaN
        }
        return value;
    }

    template <typename Enum>
    requires(std::is_enum_v<Enum>) static json::value toJson(Enum value)
    {
        const std::string_view name = nameOf(value);
        return json::string(name.data(), name.size());
    }

    template <typename Value>
    static json::value toJson(const std::map<std::string, Value> &values)
    {
        json::object object;
        for (const auto &[name, value] : values) {
            object.emplace(toValidUtf8(name), toJson(value));
        }
        return object;
    }

    template <typename Item>
    static json::value toJson(const std::vector<Item> &items)
    {
        json::array array;
        array.reserve(items.size());
        for (const Item &item : items) {
            array.push_back(toJson(item));
        }
        return array;
    }

    template <typename Struct>
    requires(std::is_class_v<Struct>) static json::value toJson(const Struct &value)
    {
        json::object object;
        FieldWriter writer(object);
        visitFields(writer, value);
        return object;
    }

private:
    json::object &m_object;
};

} // namespace sapphirecove::protocol
