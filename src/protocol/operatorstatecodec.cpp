#include "protocol/operatorstatecodec.h"

#include "protocol/json.h"
#include "protocol/utf8.h"

namespace sapphirecove::protocol {

std::string encodeOperatorState(const OperatorState &state)
{
    json::object records;
    for (const auto &[key, document] : state.records) {
        // A record that is not UTF-8 names nothing to use, and would keep other hosts from reading the others.
        if (isValidUtf8(key) && isValidUtf8(document)) {
            records.emplace(key, document);
        }
    }
    json::object object;
    object.emplace("next", state.next);
    if (state.era) {
        object.emplace("era", *state.era);
    }
    object.emplace("records", std::move(records));
    return json::serialize(object);
}

state::Result<OperatorState> decodeOperatorState(std::string_view document, std::string_view peer)
{
    constexpr std::string_view step = "operatorstate.decode";
    BOOST_LEAF_AUTO(value, parseJson(document, step, peer));
    const json::object *object = value.if_object();
    const json::value *next = object == nullptr ? nullptr : object->if_contains("next");
    const json::value *records = object == nullptr ? nullptr : object->if_contains("records");
    const bool complete =
        next != nullptr && next->is_int64() && next->get_int64() >= 0 && records != nullptr && records->is_object();
    if (!complete) {
        return state::fail(step, peer, "a field is missing or has the wrong type");
    }
    OperatorState state;
    state.next = static_cast<std::uint64_t>(next->get_int64());
    if (const json::value *era = object->if_contains("era")) {
        if (!era->is_int64() || era->get_int64() < 0) {
            return state::fail(step, peer, "the era is not a number");
        }
        state.era = static_cast<std::uint64_t>(era->get_int64());
    }
    for (const auto &member : records->get_object()) {
        const json::string *record = member.value().if_string();
        if (record == nullptr) {
            return state::fail(step, peer, "a record is not a string");
        }
        state.records.emplace(std::string(member.key().data(), member.key().size()), viewOf(*record));
    }
    return state;
}

} // namespace sapphirecove::protocol
