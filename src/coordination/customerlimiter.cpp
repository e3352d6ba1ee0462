#include "coordination/customerlimiter.h"

#include <algorithm>

namespace sapphirecove::coordination {

namespace {

// Size of the token bucket in seconds of the rate.
constexpr double BurstSeconds = 2.0;
constexpr state::Duration ConcurrencyRetryAfter = std::chrono::seconds(1);

double burstOf(double rate)
{
    return std::max(1.0, rate * BurstSeconds);
}

} // namespace

std::optional<state::Duration>
CustomerLimiter::admit(const state::Customer &customer, std::size_t liveHosts, state::Time now)
{
    Bucket &bucket = m_buckets[customer.id];
    if (customer.maxConcurrent > 0 && bucket.inProgress >= customer.maxConcurrent) {
        return ConcurrencyRetryAfter;
    }
    if (customer.requestsPerSecond > 0) {
        const double rate = customer.requestsPerSecond / static_cast<double>(std::max<std::size_t>(1, liveHosts));
        refill(bucket, rate, now);
        if (bucket.tokens < 1.0) {
            return state::durationFromSeconds((1.0 - bucket.tokens) / rate);
        }
        bucket.tokens -= 1.0;
    }
    ++bucket.inProgress;
    return std::nullopt;
}

void CustomerLimiter::finish(const state::CustomerId &customer)
{
    const auto found = m_buckets.find(customer);
    if (found != m_buckets.end() && found->second.inProgress > 0) {
        --found->second.inProgress;
    }
}

void CustomerLimiter::refill(Bucket &bucket, double rate, state::Time now)
{
    if (bucket.refilledAt == state::Time{}) {
        bucket.tokens = burstOf(rate);
    } else {
        bucket.tokens = std::min(burstOf(rate), bucket.tokens + rate * state::toSeconds(now - bucket.refilledAt));
    }
    bucket.refilledAt = now;
}

} // namespace sapphirecove::coordination
