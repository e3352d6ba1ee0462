#pragma once

#include <boost/json.hpp>

#include <chrono>
#include <cstdint>
#include <set>
#include <string>

namespace sapphirecove::standins {

/**
 * Sets the members of @p options that the JSON object @p value contains. Options types provide `visit(options, f)`,
 * which calls f(name, member) for each member.
 *
 * Returns an empty string, or a description of an unknown name or a wrong type: a test with a misspelt fault must fail
 * instead of running without the fault.
 */
template <typename Options>
std::string applyJson(Options &options, const boost::json::value &value)
{
    const auto *object = value.if_object();
    if (object == nullptr) {
        return "expected an object";
    }
    std::set<std::string> known;
    std::string problem;
    visit(options, [&](const char *name, auto &member) {
        known.insert(name);
        const auto *field = object->if_contains(name);
        if (field == nullptr) {
            return;
        }
        const auto result = boost::json::try_value_to<std::decay_t<decltype(member)>>(*field);
        if (result.has_value()) {
            member = *result;
        } else {
            problem = std::string("wrong type: ") + name;
        }
    });
    for (const auto &field : *object) {
        if (!known.contains(std::string(field.key()))) {
            problem = "unknown name: " + std::string(field.key());
        }
    }
    return problem;
}

/** Wall clock in microseconds since the Unix epoch. */
inline std::int64_t wallClockUs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

/** Parses @p text; returns null if it is not JSON. */
inline boost::json::value parseOrNull(boost::json::string_view text)
{
    boost::system::error_code error;
    auto value = boost::json::parse(text, error);
    return error ? boost::json::value() : value;
}

} // namespace sapphirecove::standins
