#include "protocol/objectreader.h"

#include <algorithm>
#include <sstream>

namespace sapphirecove::protocol {

namespace {

constexpr std::size_t MaxNameLength = 128;

const json::object NoMembers;
const json::array NoElements;

std::string numberText(double number)
{
    std::ostringstream text;
    text << number;
    return text.str();
}

} // namespace

bool isName(std::string_view text)
{
    const bool allowed = std::all_of(text.begin(), text.end(), [](char c) {
        const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
        return letter || (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
    });
    return allowed && !text.empty() && text.size() <= MaxNameLength;
}

ObjectReader::ObjectReader(const json::value &value, std::string pointer, DocumentReport &report)
    : m_object(value.if_object())
    , m_pointer(std::move(pointer))
    , m_report(report)
{
    if (m_object == nullptr) {
        m_report.add(m_pointer, "an object");
        m_object = &NoMembers;
    }
}

ObjectReader::ObjectReader(const json::object &object, std::string pointer, DocumentReport &report)
    : m_object(&object)
    , m_pointer(std::move(pointer))
    , m_report(report)
{
}

const json::value *ObjectReader::member(std::string_view name, Presence presence)
{
    m_known.emplace(name);
    const json::value *value = m_object->if_contains(json::string_view(name.data(), name.size()));
    if (value == nullptr && presence == Presence::Required) {
        reject(name, "this field");
    }
    return value;
}

ObjectReader ObjectReader::object(std::string_view name, Presence presence)
{
    const json::value *value = member(name, presence);
    return value == nullptr ? ObjectReader(NoMembers, pointerTo(name), m_report)
                            : ObjectReader(*value, pointerTo(name), m_report);
}

const json::array &ObjectReader::array(std::string_view name, Presence presence)
{
    const json::value *value = member(name, presence);
    if (value == nullptr) {
        return NoElements;
    }
    if (!value->is_array()) {
        reject(name, "an array");
        return NoElements;
    }
    return value->get_array();
}

void ObjectReader::readText(std::string_view name, std::string &result, Presence presence)
{
    const json::value *value = member(name, presence);
    if (value == nullptr) {
        return;
    }
    if (!value->is_string() || value->get_string().empty()) {
        reject(name, "a string that is not empty");
        return;
    }
    result = viewOf(value->get_string());
}

void ObjectReader::readName(std::string_view name, std::string &result, Presence presence)
{
    const json::value *value = member(name, presence);
    if (value == nullptr) {
        return;
    }
    if (!value->is_string() || !isName(viewOf(value->get_string()))) {
        reject(name, NameExpectation);
        return;
    }
    result = viewOf(value->get_string());
}

void ObjectReader::readFlag(std::string_view name, bool &result, Presence presence)
{
    const json::value *value = member(name, presence);
    if (value == nullptr) {
        return;
    }
    if (!value->is_bool()) {
        reject(name, "true or false");
        return;
    }
    result = value->get_bool();
}

void ObjectReader::readNumber(std::string_view name, double &result, NumberBounds bounds, Presence presence)
{
    const json::value *value = member(name, presence);
    if (value == nullptr) {
        return;
    }
    const double number = value->is_number() ? value->to_number<double>() : bounds.highest + 1;
    if (!(number >= bounds.lowest && number <= bounds.highest)) {
        reject(name, "a number from " + numberText(bounds.lowest) + " to " + numberText(bounds.highest));
        return;
    }
    result = number;
}

void ObjectReader::readInteger(std::string_view name, std::int64_t &result, IntegerBounds bounds, Presence presence)
{
    const json::value *value = member(name, presence);
    if (value == nullptr) {
        return;
    }
    const std::int64_t *number = value->if_int64();
    if (number == nullptr || *number < bounds.lowest || *number > bounds.highest) {
        reject(name, "an integer from " + std::to_string(bounds.lowest) + " to " + std::to_string(bounds.highest));
        return;
    }
    result = *number;
}

void ObjectReader::readInteger(std::string_view name, int &result, IntegerBounds bounds, Presence presence)
{
    std::int64_t number = result;
    readInteger(name, number, bounds, presence);
    result = static_cast<int>(number);
}

void ObjectReader::readMilliseconds(std::string_view name,
                                    state::Duration &result,
                                    IntegerBounds bounds,
                                    Presence presence)
{
    std::int64_t number = std::chrono::duration_cast<std::chrono::milliseconds>(result).count();
    readInteger(name, number, bounds, presence);
    result = std::chrono::milliseconds(number);
}

void ObjectReader::readEndpoint(std::string_view name, Endpoint &result, Presence presence)
{
    const json::value *value = member(name, presence);
    if (value == nullptr) {
        return;
    }
    const auto endpoint = value->is_string() ? parseEndpoint(viewOf(value->get_string())) : std::nullopt;
    if (!endpoint) {
        reject(name, "an IP address and port such as \"127.0.0.1:8000\"");
        return;
    }
    result = *endpoint;
}

void ObjectReader::finish()
{
    for (const json::key_value_pair &entry : *m_object) {
        const std::string_view key(entry.key().data(), entry.key().size());
        if (!m_known.contains(key)) {
            reject(
                key, "no such key; known keys are " + [&] {
                    std::string keys;
                    for (const std::string &known : m_known) {
                        keys += (keys.empty() ? "" : ", ") + known;
                    }
                    return keys;
                }());
        }
    }
}

std::string ObjectReader::pointerTo(std::string_view name) const
{
    std::string pointer = m_pointer;
    appendPointer(pointer, name);
    return pointer;
}

void ObjectReader::reject(std::string_view name, std::string_view expectation)
{
    m_report.add(pointerTo(name), expectation);
}

} // namespace sapphirecove::protocol
