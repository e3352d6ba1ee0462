#pragma once

#include "state/configuration.h"
#include "state/identifiers.h"
#include "state/time.h"

#include <optional>
#include <unordered_map>

namespace sapphirecove::coordination {

/**
 * Limits of customers on one host: a token bucket for the rate and a count of requests in progress.
 *
 * The configured rate holds for the fleet. Each host applies an equal share of it, because the load balancer spreads
 * the requests of a customer evenly.
 */
class CustomerLimiter
{
public:
    /** Admits a request, or returns the time after which the caller should retry. */
    std::optional<state::Duration> admit(const state::Customer &customer, std::size_t liveHosts, state::Time now);

    /** Ends a request that was admitted. */
    void finish(const state::CustomerId &customer);

private:
    struct Bucket
    {
        double tokens = 0;
        state::Time refilledAt{};
        int inProgress = 0;
    };

    static void refill(Bucket &bucket, double rate, state::Time now);

    std::unordered_map<state::CustomerId, Bucket> m_buckets;
};

} // namespace sapphirecove::coordination
