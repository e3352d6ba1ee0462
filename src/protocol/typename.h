#pragma once

#include "protocol/fieldreader.h"
#include "protocol/fieldwriter.h"

#include <string_view>
#include <utility>
#include <variant>

namespace sapphirecove::protocol {

/** Value of "type" that identifies Struct in JSON; specialized next to the struct's field list. */
template <typename Struct>
inline constexpr std::string_view TypeName{};

/** Returns @p tagged as a JSON object whose "type" names the alternative. */
template <typename... Structs>
json::object writeTagged(const std::variant<Structs...> &tagged)
{
    return std::visit(
        []<typename Struct>(const Struct &value) {
            json::object object;
            object.emplace("type", json::string(TypeName<Struct>.data(), TypeName<Struct>.size()));
            FieldWriter writer(object);
            visitFields(writer, value);
            return object;
        },
        tagged);
}

/** Reads the alternative that "type" of @p value names into @p result. */
template <typename... Structs>
void readTagged(ReadContext &context, const json::value &value, std::variant<Structs...> &result)
{
    if (!value.is_object()) {
        context.reject("an object");
        return;
    }
    FieldReader reader(context, value.get_object());
    std::string type;
    reader("type", type);
    if (context.failed()) {
        return;
    }
    const auto readIfNamed = [&]<typename Struct>(std::in_place_type_t<Struct>) {
        if (type != TypeName<Struct>) {
            return false;
        }
        visitFields(reader, result.template emplace<Struct>());
        return true;
    };
    const bool known = (readIfNamed(std::in_place_type<Structs>) || ...);
    if (!known) {
        context.enter("type");
        context.reject("a known type");
        context.leave();
    }
}

} // namespace sapphirecove::protocol
