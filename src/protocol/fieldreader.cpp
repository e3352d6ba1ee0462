#include "protocol/fieldreader.h"

namespace sapphirecove::protocol {

bool readInteger(ReadContext &context, const json::value &value, std::int64_t &result, IntegerBounds bounds)
{
    const std::int64_t *number = value.if_int64();
    if (number == nullptr || *number < bounds.lowest || *number > bounds.highest) {
        context.reject("an integer from " + std::to_string(bounds.lowest) + " to " + std::to_string(bounds.highest));
        return false;
    }
    result = *number;
    return true;
}

bool readUnsigned(ReadContext &context, const json::value &value, std::uint64_t &result)
{
    const std::int64_t *signedNumber = value.if_int64();
    if (signedNumber != nullptr && *signedNumber >= 0) {
        result = static_cast<std::uint64_t>(*signedNumber);
        return true;
    }
    const std::uint64_t *unsignedNumber = value.if_uint64();
    if (unsignedNumber == nullptr) {
        context.reject("an integer from 0 to " + std::to_string(std::numeric_limits<std::uint64_t>::max()));
        return false;
    }
    result = *unsignedNumber;
    return true;
}

} // namespace sapphirecove::protocol
