#pragma once

#include "coordination/message.h"
#include "state/time.h"

#include <cstdint>
#include <string>

namespace sapphirecove::coordination::testing {

/** Start of all tests, so that no time is near the epoch. */
constexpr state::Time Start = state::timeFromMicroseconds(1'700'000'000'000'000);

constexpr state::Duration milliseconds(std::int64_t count)
{
    return std::chrono::milliseconds(count);
}

/** Returns an ask with 100 prompt tokens, 10 output tokens and a deadline 60 s after Start. */
inline SlotRequest makeSlotRequest(std::string request, state::Tier tier = 0, std::string customer = "customer")
{
    SlotRequest ask;
    ask.request = std::move(request);
    ask.group = "pool@region#0";
    ask.customer = std::move(customer);
    ask.tier = tier;
    ask.promptTokens = 100;
    ask.maxOutputTokens = 10;
    ask.bodyBytes = 400;
    ask.deadline = Start + std::chrono::seconds(60);
    ask.sourceFailureDomain = "near";
    return ask;
}

} // namespace sapphirecove::coordination::testing
