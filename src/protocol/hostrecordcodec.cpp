#include "protocol/hostrecordcodec.h"

#include "protocol/json.h"

#include <cmath>
#include <limits>

namespace sapphirecove::protocol {

using coordination::entry::KnownHost;

std::string encodeHostRecord(const KnownHost &host)
{
    json::object object;
    object.emplace("address", host.address);
    object.emplace("port", host.port);
    object.emplace("region", host.region);
    object.emplace("capacity", host.capacity);
    return json::serialize(object);
}

state::Result<KnownHost> decodeHostRecord(std::string_view name, std::string_view document)
{
    constexpr std::string_view step = "hostrecord.decode";
    BOOST_LEAF_AUTO(value, parseJson(document, step, name));
    const json::object *object = value.if_object();
    const json::value *address = object == nullptr ? nullptr : object->if_contains("address");
    const json::value *port = object == nullptr ? nullptr : object->if_contains("port");
    const json::value *region = object == nullptr ? nullptr : object->if_contains("region");
    const json::value *capacity = object == nullptr ? nullptr : object->if_contains("capacity");
    const bool complete = address != nullptr && address->is_string() && port != nullptr && port->is_int64()
        && region != nullptr && region->is_string() && capacity != nullptr && capacity->is_number();
    if (!complete) {
        return state::fail(step, name, "a field is missing or has the wrong type");
    }
    const std::int64_t number = port->get_int64();
    const double cores = capacity->to_number<double>();
    if (number <= 0 || number > std::numeric_limits<std::uint16_t>::max() || !(cores > 0) || !std::isfinite(cores)) {
        return state::fail(step, name, "port or capacity is out of range");
    }
    KnownHost host;
    host.name = name;
    host.address = viewOf(address->get_string());
    host.port = static_cast<std::uint16_t>(number);
    host.region = viewOf(region->get_string());
    host.capacity = cores;
    return host;
}

} // namespace sapphirecove::protocol
