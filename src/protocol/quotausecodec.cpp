#include "protocol/quotausecodec.h"

#include "protocol/json.h"

#include <cmath>
#include <utility>

namespace sapphirecove::protocol {

using coordination::entry::QuotaUse;

std::string encodeQuotaUse(std::span<const QuotaUse> use)
{
    json::object object;
    for (const auto &entry : use) {
        json::array slices;
        for (const double amount : entry.slices) {
            slices.emplace_back(static_cast<std::int64_t>(std::llround(amount)));
        }
        object.emplace(json::string_view(entry.customer.data(), entry.customer.size()), std::move(slices));
    }
    return json::serialize(object);
}

state::Result<std::vector<QuotaUse>> decodeQuotaUse(std::string_view document)
{
    constexpr std::string_view step = "quotause.decode";
    BOOST_LEAF_AUTO(value, parseJson(document, step, ""));
    if (!value.is_object()) {
        return state::fail(step, "", "expected an object");
    }
    std::vector<QuotaUse> result;
    for (const auto &member : value.get_object()) {
        QuotaUse use;
        use.customer = std::string(member.key().data(), member.key().size());
        const json::array *slices = member.value().if_array();
        if (slices == nullptr || slices->size() != use.slices.size()) {
            return state::fail(step, use.customer, "expected an array with one number for each slice");
        }
        for (std::size_t i = 0; i < use.slices.size(); ++i) {
            const json::value &amount = (*slices)[i];
            use.slices[i] = amount.is_number() ? amount.to_number<double>() : -1;
            if (!std::isfinite(use.slices[i]) || use.slices[i] < 0) {
                return state::fail(step, use.customer, "an amount is negative or not a finite number");
            }
        }
        result.push_back(std::move(use));
    }
    return result;
}

} // namespace sapphirecove::protocol
