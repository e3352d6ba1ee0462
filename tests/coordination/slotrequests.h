#pragma once

#include "coordination/message.h"
#include "state/time.h"

#include <cstdint>
#include <string>

namespace sapphirecove::coordination::testing {

/** Time at which all tests start; far from the epoch. */
constexpr state::Time Start = state::timeFromMicroseconds(1'700'000'000'000'000);

constexpr state::Duration milliseconds(std::int64_t count)
{
    return std::chrono::milliseconds(count);
}

/** Returns a slot request with 100 prompt tokens, 10 output tokens and a deadline 60 s after Start. */
inline SlotRequest makeSlotRequest(std::string request, state::Tier tier = 0, std::string customer = "customer")
{
    SlotRequest slotRequest;
    slotRequest.request = std::move(request);
    slotRequest.group = "pool@region#0";
    slotRequest.customer = std::move(customer);
    slotRequest.tier = tier;
    slotRequest.promptTokens = 100;
    slotRequest.maxOutputTokens = 10;
    slotRequest.bodyBytes = 400;
    slotRequest.deadline = Start + std::chrono::seconds(60);
    slotRequest.sourceFailureDomain = "near";
    return slotRequest;
}

} // namespace sapphirecove::coordination::testing
