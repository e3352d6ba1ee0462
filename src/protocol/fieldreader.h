#pragma once

#include "protocol/fieldnames.h"
#include "protocol/fieldwriter.h"
#include "protocol/json.h"
#include "protocol/readcontext.h"
#include "state/time.h"

#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace sapphirecove::protocol {

/** Bounds of an integer, both inclusive. */
struct IntegerBounds
{
    std::int64_t lowest = 0;
    std::int64_t highest = 0;
};

/** Valid range of tier numbers. */
constexpr IntegerBounds TierBounds{ 0, 255 };

/** HTTP status codes; 0 means none. */
constexpr IntegerBounds StatusBounds{ 0, 999 };

/** Shares in thousandths. */
constexpr IntegerBounds PerMilleBounds{ 0, 1000 };

/** Valid range of ports. */
constexpr IntegerBounds PortBounds{ 1, 65535 };

/** Reads an integer within @p bounds. */
bool readInteger(ReadContext &context, const json::value &value, std::int64_t &result, IntegerBounds bounds);

/** Reads an integer from 0 to the highest 64-bit number. */
bool readUnsigned(ReadContext &context, const json::value &value, std::uint64_t &result);

/**
 * Reads the fields of a struct from a JSON object. All fields are required; unknown ones are ignored, so that hosts of
 * different versions understand each other. After the first problem nothing more is read.
 */
class FieldReader
{
public:
    FieldReader(ReadContext &context, const json::object &object)
        : m_context(context)
        , m_object(object)
    {
    }

    /** Reads one required field. */
    template <typename T, typename... Bounds>
    void operator()(std::string_view name, T &result, const Bounds &...bounds)
    {
        if (m_context.failed()) {
            return;
        }
        m_context.enter(name);
        const json::value *value = m_object.if_contains(json::string_view(name.data(), name.size()));
        if (value == nullptr) {
            m_context.reject("this field");
        } else {
            read(m_context, *value, result, bounds...);
        }
        m_context.leave();
    }

    static void read(ReadContext &context, const json::value &value, bool &result)
    {
        if (!value.is_bool()) {
            context.reject("true or false");
            return;
        }
        result = value.get_bool();
    }

    static void read(ReadContext &context, const json::value &value, std::string &result)
    {
        if (!value.is_string()) {
            context.reject("a string");
            return;
        }
        result = viewOf(value.get_string());
    }

    static void read(ReadContext &context, const json::value &value, std::uint64_t &result)
    {
        readUnsigned(context, value, result);
    }

    static void read(ReadContext &context, const json::value &value, std::uint32_t &result)
    {
        std::int64_t number = 0;
        readInteger(context, value, number, { 0, std::numeric_limits<std::uint32_t>::max() });
        result = static_cast<std::uint32_t>(number);
    }

    static void read(ReadContext &context, const json::value &value, std::uint16_t &result, IntegerBounds bounds)
    {
        std::int64_t number = 0;
        readInteger(context, value, number, bounds);
        result = static_cast<std::uint16_t>(number);
    }

    static void read(ReadContext &context, const json::value &value, int &result, IntegerBounds bounds)
    {
        std::int64_t number = 0;
        readInteger(context, value, number, bounds);
        result = static_cast<int>(number);
    }

    static void read(ReadContext &context, const json::value &value, std::int64_t &result, IntegerBounds bounds)
    {
        readInteger(context, value, result, bounds);
    }

    static void read(ReadContext &context, const json::value &value, double &result)
    {
        if (!value.is_number()) {
            context.reject("a number");
            return;
        }
        result = value.to_number<double>();
    }

    static void read(ReadContext &context, const json::value &value, state::Duration &result)
    {
        std::int64_t number = 0;
        readInteger(context, value, number, { 0, MaxMicroseconds });
        result = state::Duration(number);
    }

    static void read(ReadContext &context, const json::value &value, state::Time &result)
    {
        state::Duration sinceEpoch{};
        read(context, value, sinceEpoch);
        result = state::Time(sinceEpoch);
    }

    template <typename Enum>
    requires(std::is_enum_v<Enum>) static void read(ReadContext &context, const json::value &value, Enum &result)
    {
        std::string name;
        read(context, value, name);
        const auto found = enumFromName<Enum>(name);
        if (!found) {
            context.reject("one of " + namesOf<Enum>());
            return;
        }
        result = *found;
    }

    static void read(ReadContext &context, const json::value &value, std::map<std::string, std::uint64_t> &result)
    {
        if (!value.is_object()) {
            context.reject("an object");
            return;
        }
        for (const auto &member : value.get_object()) {
            const std::string name(member.key().data(), member.key().size());
            context.enter(std::string_view(name));
            read(context, member.value(), result[name]);
            context.leave();
        }
    }

    template <typename Item>
    static void read(ReadContext &context, const json::value &value, std::vector<Item> &result)
    {
        if (!value.is_array()) {
            context.reject("an array");
            return;
        }
        result.clear();
        std::size_t index = 0;
        for (const json::value &element : value.get_array()) {
            context.enter(index++);
            read(context, element, result.emplace_back());
            context.leave();
            if (context.failed()) {
                return;
            }
        }
    }

    template <typename Struct>
    requires(std::is_class_v<Struct>) static void read(ReadContext &context, const json::value &value, Struct &result)
    {
        if (!value.is_object()) {
            context.reject("an object");
            return;
        }
        FieldReader reader(context, value.get_object());
        visitFields(reader, result);
    }

private:
    template <typename Enum>
    static std::string namesOf()
    {
        std::string names;
        for (const auto &entry : EnumNames<Enum>) {
            names += names.empty() ? "" : ", ";
            names += entry.name;
        }
        return names;
    }

    ReadContext &m_context;
    const json::object &m_object;
};

} // namespace sapphirecove::protocol
